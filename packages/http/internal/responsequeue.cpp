#include "http/internal/responsequeue.h"

#include "core/error.h"

#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace cyclamenwalk {

ResponseQueue::ResponseQueue()
    : m_Event(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (m_Event < 0)
    throw Error(ResultCode::Internal, "cannot create an eventfd");
}

ResponseQueue::~ResponseQueue() { close(m_Event); }

void ResponseQueue::post(std::uint64_t Exchange, HttpResponse Response) {
  bool IsAsleep = false;
  {
    std::lock_guard<std::mutex> Lock(m_Mutex);
    m_Responses.push_back({Exchange, std::move(Response)});
    IsAsleep = std::exchange(m_IsAsleep, false);
  }
  if (IsAsleep)
    wakeUp();
}

void ResponseQueue::wakeUp() {
  // Fails only on a full counter, which wakes the thread as well.
  [[maybe_unused]] auto Written = eventfd_write(m_Event, 1);
}

bool ResponseQueue::trySleep() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_IsAsleep = m_Responses.empty();
  return m_IsAsleep;
}

std::vector<PostedResponse> ResponseQueue::take() {
  std::vector<PostedResponse> Taken;
  std::lock_guard<std::mutex> Lock(m_Mutex);
  m_IsAsleep = false;
  Taken.swap(m_Responses);
  return Taken;
}

} // namespace cyclamenwalk
