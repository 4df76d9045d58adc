#ifndef CYCLAMENWALK_TESTS_SUPPORT_CROWD_H
#define CYCLAMENWALK_TESTS_SUPPORT_CROWD_H

#include "core/types/time.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// What each connection of a crowd sends before it falls silent, open.
struct CrowdScript {
  std::string m_Prefix;
  /// Sent m_PieceCount times after the prefix.
  std::string m_Piece;
  std::size_t m_PieceCount = 0;
  std::string m_Suffix;
  /// Least time between two pieces of a connection; zero sends all at once.
  Duration m_PiecePeriod{};
};

/// Raw connections to one address that all follow one script. Used on one
/// thread; each wait is bounded.
class Crowd {
public:
  /// Connects \p Count sockets to \p Port on loopback.
  Crowd(int Port, std::size_t Count, CrowdScript Script);
  ~Crowd();

  Crowd(const Crowd &) = delete;
  Crowd &operator=(const Crowd &) = delete;

  /// Sends, and discards what arrives, until \p IsDone or \p Timeout. Calls
  /// \p IsDone at least every 20 ms.
  void run(Duration Timeout, const std::function<bool()> &IsDone);

  /// Whether each connection has sent everything or was closed by the peer.
  bool isSent() const;

  /// Connections that the peer has not closed.
  std::size_t openCount() const;

private:
  struct Member {
    int m_Socket = -1;
    std::string m_Unsent;
    std::size_t m_PiecesLeft = 0;
    bool m_HasSuffix = true;
    TimePoint m_NextPieceAt;
  };

  void refill(Member &Sender) const;
  void send(Member &Sender) const;
  static void receive(Member &Sender);
  static void disconnect(Member &Sender);
  static bool isSent(const Member &Sender);

  const CrowdScript m_Script;
  std::vector<Member> m_Members;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SUPPORT_CROWD_H
