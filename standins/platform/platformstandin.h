#ifndef CYCLAMENWALK_STANDINS_PLATFORM_PLATFORMSTANDIN_H
#define CYCLAMENWALK_STANDINS_PLATFORM_PLATFORMSTANDIN_H

#include "http/httpserver.h"
#include "store/memorystore.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>

namespace cyclamenwalk {

/// The platform's store of rows and objects in memory, with faults that
/// tests switch on and off over HTTP.
class PlatformStandin {
public:
  explicit PlatformStandin(HttpServer &Server);

private:
  /// What is wrong with the service now.
  enum class Fault { None, Down, Slow, ReplyLost };

  HttpServer::Handler withFaults(HttpServer::Handler Serve);
  HttpResponse setFault(const HttpRequest &Request);
  HttpResponse transact(const HttpRequest &Request);
  HttpResponse read(const HttpRequest &Request);
  HttpResponse feed(const HttpRequest &Request);
  HttpResponse put(const HttpRequest &Request);
  HttpResponse get(const HttpRequest &Request);

  std::mutex m_Mutex;
  MemoryStore m_Store;
  /// Counts the transactions that took effect.
  std::uint64_t m_Version = 0;
  /// In which of them each row was written or removed last.
  std::map<RowKey, std::uint64_t> m_Changed;
  std::condition_variable m_HasChanged;
  std::atomic<Fault> m_Fault = Fault::None;
  std::atomic<std::uint64_t> m_Reads = 0;
  std::atomic<std::uint64_t> m_Writes = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STANDINS_PLATFORM_PLATFORMSTANDIN_H
