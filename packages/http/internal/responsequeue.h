#ifndef CYCLAMENWALK_HTTP_INTERNAL_RESPONSEQUEUE_H
#define CYCLAMENWALK_HTTP_INTERNAL_RESPONSEQUEUE_H

#include "http/types/httpmessage.h"

#include <cstdint>
#include <mutex>
#include <vector>

namespace cyclamenwalk {

/// A response on its way to the polling thread.
struct PostedResponse {
  std::uint64_t m_Exchange = 0;
  HttpResponse m_Response;
};

/// Passes responses from any thread to the polling thread. Handlers keep a
/// reference, so it outlives its server.
class ResponseQueue {
public:
  ResponseQueue();
  ResponseQueue(const ResponseQueue &) = delete;
  ResponseQueue &operator=(const ResponseQueue &) = delete;
  ~ResponseQueue();

  void post(std::uint64_t Exchange, HttpResponse Response);
  /// Wakes the polling thread.
  void wakeUp();

  /// The following are called on the polling thread. Readable after wakeUp(),
  /// or after a response was posted while the thread slept.
  int descriptor() const { return m_Event; }
  /// Whether nothing was posted, so that the thread may wait for descriptor().
  bool trySleep();
  std::vector<PostedResponse> take();

private:
  const int m_Event;
  std::mutex m_Mutex;
  std::vector<PostedResponse> m_Responses;
  bool m_IsAsleep = false;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_HTTP_INTERNAL_RESPONSEQUEUE_H
