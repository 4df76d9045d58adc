#ifndef CYCLAMENWALK_STANDINS_PLATFORM_PLATFORMSTANDIN_H
#define CYCLAMENWALK_STANDINS_PLATFORM_PLATFORMSTANDIN_H

#include "http/httpserver.h"
#include "store/memorystore.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>

namespace cyclamenwalk {

/// In-memory implementation of the platform's row and object store. Tests
/// inject faults over HTTP.
class PlatformStandin {
public:
  explicit PlatformStandin(HttpServer &Server);

private:
  /// Injected fault: refuse all calls, delay them, or commit writes and then
  /// answer as if the service were unavailable.
  enum class Fault { None, Down, Slow, ReplyLost };

  HttpServer::Handler injectFaults(HttpServer::Handler Handle);
  HttpResponse setFault(const HttpRequest &Request);
  HttpResponse transact(const HttpRequest &Request);
  HttpResponse readRows(const HttpRequest &Request);
  HttpResponse waitForChanges(const HttpRequest &Request);
  HttpResponse putObject(const HttpRequest &Request);
  HttpResponse getObject(const HttpRequest &Request);

  std::mutex m_Mutex;
  MemoryStore m_Store;
  /// Number of committed transactions.
  std::uint64_t m_StoreVersion = 0;
  /// Store version at which each row was last written or removed.
  std::map<RowKey, std::uint64_t> m_RowVersions;
  std::condition_variable m_RowsChanged;
  std::atomic<Fault> m_Fault = Fault::None;
  std::atomic<std::uint64_t> m_ReadCount = 0;
  std::atomic<std::uint64_t> m_WriteCount = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STANDINS_PLATFORM_PLATFORMSTANDIN_H
