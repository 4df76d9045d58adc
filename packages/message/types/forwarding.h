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

/// The work of one group of jobs that the sender has decided on as their owner.
/// Earlier work counts less.
struct GroupWork {
  std::string m_Route;
  /// Of the entries that received the jobs from their callers.
  std::string m_FailureDomain;
  /// Zero for jobs of usual width.
  std::uint32_t m_WidthClass = 0;
  /// Of the latest job.
  std::uint32_t m_Priority = 0;
  double m_OfferedJobs = 0;
  /// Those that were admitted and have not failed.
  double m_ServedJobs = 0;
  /// Of the offered jobs: cores times seconds, by the estimates of the callers.
  double m_OfferedWork = 0;
};

/// Entry to entry: whether the sender places jobs of other entries, and the
/// room it has for them.
struct PlacerState {
  bool m_IsAccepting = false;
  std::vector<ServiceRoom> m_Rooms;
  /// Only in messages to entries that place jobs. Empty says nothing.
  std::vector<GroupWork> m_GroupWork{};
  /// Without m_GroupWork, which changes with time alone.
  bool operator==(const PlacerState &Other) const {
    return m_IsAccepting == Other.m_IsAccepting && m_Rooms == Other.m_Rooms;
  }
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
