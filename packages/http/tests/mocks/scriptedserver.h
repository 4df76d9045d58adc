#ifndef CYCLAMENWALK_HTTP_TESTS_MOCKS_SCRIPTEDSERVER_H
#define CYCLAMENWALK_HTTP_TESTS_MOCKS_SCRIPTEDSERVER_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// A request as it arrived, complete with its body.
struct ReceivedRequest {
  /// Both count from 1.
  int m_Number = 0;
  int m_Connection = 0;
  std::string m_Text;
};

/// What the server does once it has read a request.
struct ServerReaction {
  enum class Ending { KeepOpen, Close, Reset };

  /// Bytes to write; none leaves the request without a response.
  std::string m_Bytes;
  Ending m_Ending = Ending::KeepOpen;
  /// Closes the listening socket first, so that new connections are refused.
  bool m_StopsListening = false;
  /// Writes m_Bytes to all open connections.
  bool m_AnswersAll = false;
};

/// A TCP server on a free port of the loopback that reads requests and reacts
/// as \p React tells it, on a thread of its own.
class ScriptedServer {
public:
  using Reaction = std::function<ServerReaction(const ReceivedRequest &)>;

  explicit ScriptedServer(Reaction React);
  ~ScriptedServer();

  /// IP:PORT of the server.
  std::string address() const;

  /// The requests received so far whose text contains \p Part.
  int received(const std::string &Part) const;

  /// Blocks until the server has closed \p Count connections.
  void awaitClosed(int Count) const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// A response with \p Status and a JSON \p Body.
std::string makeHttpText(int Status, const std::string &Body);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_TESTS_MOCKS_SCRIPTEDSERVER_H
