#include "worker/internal/evidencerules.h"

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
bool mustBeListed(const Run &Subject, const NotListed &List) {
  if (!usesResources(Subject) || !List.m_HasAllEnds)
    return false;
  bool HadStarted =
      Subject.m_StartedAt != TimePoint{} && Subject.m_StartedAt < List.m_SentAt;
  bool IsFenced = Subject.m_State != RunState::Starting &&
                  Subject.m_OrderToken < List.m_ConfirmedToken;
  return HadStarted || IsFenced;
}

struct RunRules {
  const Run &m_Subject;

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
    if (!mustBeListed(m_Subject, List))
      return std::nullopt;
    return RunEvent::Missing;
  }
};

struct ServerRules {
  const KnownServer &m_Known;

  /// The first reply settles which incarnation was announced; later ones can
  /// only state a later incarnation.
  std::optional<SessionEvent> operator()(const OwnStartTime &Stated) const {
    if (Stated.m_StartedAt == Duration::zero())
      return std::nullopt;
    bool IsFirst = m_Known.m_OwnStart == Duration::zero();
    if (IsFirst && m_Known.m_AnnouncedStart != Duration::zero() &&
        m_Known.m_AnnouncedStart != Stated.m_StartedAt)
      return SessionEvent::Misannounced;
    if (IsFirst || Stated.m_StartedAt <= m_Known.m_OwnStart)
      return std::nullopt;
    return SessionEvent::Restarted;
  }
  /// Two instances do not use one address at the same time. An instance that
  /// never replied there has started nothing.
  std::optional<SessionEvent>
  operator()(const OtherInstanceReplied &Reply) const {
    if (m_Known.m_FirstReplyAt == TimePoint{})
      return SessionEvent::Misannounced;
    if (Reply.m_SentAt < m_Known.m_FirstReplyAt)
      return std::nullopt;
    return SessionEvent::BackendLost;
  }
  std::optional<SessionEvent> operator()(const LeaseLapsed &) const {
    return SessionEvent::BackendLost;
  }
  /// Says nothing about the runs, only that no order arrives for now.
  std::optional<SessionEvent> operator()(const ConnectionRefused &) const {
    return SessionEvent::NotReached;
  }
  /// Anybody may have written it; the server's own reply decides.
  std::optional<SessionEvent> operator()(const LaterAnnouncement &) const {
    return std::nullopt;
  }
  /// Announces the end of the server, which may be seconds away.
  std::optional<SessionEvent> operator()(const Deregistration &) const {
    return SessionEvent::Deregistered;
  }
};

} // namespace

std::optional<RunEvent> eventFor(const Run &Subject,
                                 const RunEvidence &Evidence) {
  return std::visit(RunRules{Subject}, Evidence);
}

std::optional<SessionEvent> eventFor(const KnownServer &Known,
                                     const ServerEvidence &Evidence) {
  return std::visit(ServerRules{Known}, Evidence);
}

bool isFromEarlierIncarnation(const KnownServer &Known,
                              const OwnStartTime &Stated) {
  return Stated.m_StartedAt != Duration::zero() &&
         Stated.m_StartedAt < Known.m_OwnStart;
}

} // namespace cyclamenwalk
