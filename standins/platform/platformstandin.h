#ifndef CYCLAMENWALK_STANDINS_PLATFORM_PLATFORMSTANDIN_H
#define CYCLAMENWALK_STANDINS_PLATFORM_PLATFORMSTANDIN_H

#include "http/httpserver.h"
#include "platform/memorystore.h"

#include <atomic>
#include <mutex>

namespace cyclamenwalk {

/// The platform's table service and object store in memory, with faults that
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
  HttpResponse scan(const HttpRequest &Request);
  HttpResponse put(const HttpRequest &Request);
  HttpResponse get(const HttpRequest &Request);

  std::mutex m_Mutex;
  MemoryStore m_Store;
  std::atomic<Fault> m_Fault = Fault::None;
  std::atomic<std::uint64_t> m_Reads = 0;
  std::atomic<std::uint64_t> m_Writes = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STANDINS_PLATFORM_PLATFORMSTANDIN_H
