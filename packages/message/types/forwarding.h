#ifndef CYCLAMENWALK_MESSAGE_TYPES_FORWARDING_H
#define CYCLAMENWALK_MESSAGE_TYPES_FORWARDING_H

#include "core/types/resultcode.h"
#include "message/types/batchspec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// The room of the workers of one service that an entry is linked to.
struct ServiceRoom {
  std::string m_Service;
  /// Thousandths of a core, over the workers that accept tasks.
  std::int64_t m_FreeMilliCores = 0;
  std::int64_t m_CapacityMilliCores = 0;
  /// The racks of these workers.
  std::vector<std::string> m_Racks;
  bool operator==(const ServiceRoom &) const = default;
};

/// Entry to entry: whether the sender places jobs of other entries, and the
/// room it has for them.
struct PlacerState {
  bool m_IsAccepting = false;
  std::vector<ServiceRoom> m_Rooms;
  bool operator==(const PlacerState &) const = default;
};

/// Entry to entry: own this job. The receiver answers once, with
/// ForwardedJobAnswer. It cancels the job when the link to the sender is lost.
struct ForwardJob {
  /// Chosen by the sender, unique during its life.
  std::uint64_t m_Request = 0;
  BatchSpec m_Spec;
};

/// The owner's answer to a ForwardJob.
struct ForwardedJobAnswer {
  std::uint64_t m_Request = 0;
  ResultCode m_Code = ResultCode::Ok;
  /// When the caller may retry a job that did not run; zero for none.
  Duration m_RetryAfter{};
  /// Piggybacked, to save a message.
  PlacerState m_State;
};

/// Entry to entry: no caller waits for the job any more.
struct CancelForwardedJob {
  std::uint64_t m_Request = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MESSAGE_TYPES_FORWARDING_H
