#include "worker/internal/runjudge.h"

namespace cyclamenwalk {

namespace {

RunEvent eventOf(const StartReplied &Reply) {
  switch (Reply.m_Outcome) {
  case OrderOutcome::Done:
    return RunEvent::Accepted;
  case OrderOutcome::Fenced:
  case OrderOutcome::LeaseExpired:
    return RunEvent::Fenced;
  case OrderOutcome::StaleRun:
    return RunEvent::Stale;
  case OrderOutcome::Refused:
  case OrderOutcome::WrongInstance:
  case OrderOutcome::NotSent:
    return RunEvent::Refused;
  case OrderOutcome::Unanswered:
    return RunEvent::Unanswered;
  }
  return RunEvent::Unanswered;
}

/// A list must contain a run that had started when the hold was sent. A list
/// that confirms a later token than that of the run's order must contain the
/// run if it ever started, since the order is void from then on.
bool mustBeListed(const Run &Judged, const NotListed &List) {
  if (!usesResources(Judged))
    return false;
  bool HadStarted =
      Judged.m_StartedAt != TimePoint{} && Judged.m_StartedAt < List.m_SentAt;
  bool IsFenced = Judged.m_State != RunState::Starting &&
                  Judged.m_OrderToken < List.m_ConfirmedToken;
  return HadStarted || IsFenced;
}

struct RunJudge {
  const Run &m_Judged;

  std::optional<RunEvent> operator()(const StartReplied &Reply) const {
    return eventOf(Reply);
  }
  std::optional<RunEvent> operator()(const ListedRunning &) const {
    return RunEvent::Listed;
  }
  std::optional<RunEvent> operator()(const ListedEnd &) const {
    return RunEvent::Ended;
  }
  std::optional<RunEvent> operator()(const NotListed &List) const {
    if (!mustBeListed(m_Judged, List))
      return std::nullopt;
    return RunEvent::Missing;
  }
};

struct ServerJudge {
  const KnownServer &m_Known;

  std::optional<SessionEvent> operator()(const OwnStartTime &Stated) const {
    bool IsKnown = Stated.m_StartedAt != Duration::zero() &&
                   m_Known.m_AnnouncedStart != Duration::zero();
    if (!IsKnown || Stated.m_StartedAt == m_Known.m_AnnouncedStart)
      return std::nullopt;
    return SessionEvent::BackendLost;
  }
  std::optional<SessionEvent> operator()(const OtherInstanceReplied &) const {
    return SessionEvent::BackendLost;
  }
  std::optional<SessionEvent> operator()(const LeaseLapsed &) const {
    return SessionEvent::BackendLost;
  }
  /// Says nothing about the runs, only that no order arrives for now.
  std::optional<SessionEvent> operator()(const ConnectionRefused &) const {
    return SessionEvent::NotReached;
  }
  std::optional<SessionEvent> operator()(const LaterAnnouncement &) const {
    return SessionEvent::BackendLost;
  }
  /// Announces the end of the server, which may be seconds away.
  std::optional<SessionEvent> operator()(const Deregistration &) const {
    return SessionEvent::Deregistered;
  }
};

} // namespace

std::optional<RunEvent> judge(const Run &Judged, const RunEvidence &Evidence) {
  return std::visit(RunJudge{Judged}, Evidence);
}

std::optional<SessionEvent> judge(const KnownServer &Known,
                                  const ServerEvidence &Evidence) {
  return std::visit(ServerJudge{Known}, Evidence);
}

} // namespace cyclamenwalk
