#ifndef CYCLAMENWALK_FORWARD_INTERNAL_FORWARDEDJOB_H
#define CYCLAMENWALK_FORWARD_INTERNAL_FORWARDEDJOB_H

#include "batch/types/batchanswer.h"
#include "core/itimerservice.h"
#include "statechart/boundchart.h"

#include <set>
#include <vector>

namespace cyclamenwalk {

enum class ForwardedJobState : std::uint8_t { Offered, Cancelling, Answered };
enum class ForwardedJobEvent { Refused, Answered, OwnerLost, Cancel, Deadline };

template <> struct ChartNames<ForwardedJobState> {
  static constexpr std::array<std::string_view, 3> Values{
      "offered", "cancelling", "answered"};
};
template <> struct ChartNames<ForwardedJobEvent> {
  static constexpr std::array<std::string_view, 5> Values{
      "refused", "answered", "ownerLost", "cancel", "deadline"};
};

/// A job at the entry that its callers are connected to.
struct ForwardedJob {
  ForwardedJobState m_State = ForwardedJobState::Offered;
  std::uint64_t m_Request = 0;
  BatchSpec m_Spec;
  TimePoint m_ArrivedAt;
  TimerId m_Timer = 0;
  /// The current owner, and all that the job was offered to.
  Incarnation m_Owner;
  std::set<Incarnation> m_TriedOwners;
  /// Another one to offer the job to, chosen when the current one refuses.
  std::optional<Incarnation> m_NextOwner;
  /// Set while this entry is the owner.
  JobId m_OwnJob;
  BatchAnswer m_Answer;
  std::vector<BatchCallback> m_Callbacks;
  /// Callers in m_Callbacks that have disconnected.
  std::size_t m_DisconnectedCallers = 0;
};

using ForwardedJobChart =
    BoundChart<ForwardedJob, ForwardedJobState, ForwardedJobEvent>;

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_FORWARD_INTERNAL_FORWARDEDJOB_H
