#include "worker/internal/serveridentity.h"

#include <utility>

namespace cyclamenwalk {

ServerIdentity::ServerIdentity(BackendAnnouncement Announcement)
    : m_Announcement(std::move(Announcement)) {
  m_Known.m_AnnouncedStart = m_Announcement.m_InstanceStartedAt;
}

Duration ServerIdentity::startTime() const {
  return m_Known.m_OwnStart != Duration::zero() ? m_Known.m_OwnStart
                                                : m_Known.m_AnnouncedStart;
}

AnnouncementUse ServerIdentity::receive(const BackendAnnouncement &Received,
                                        bool IsInUse, bool IsClosing,
                                        TimePoint Now) {
  if (Received.m_InstanceStartedAt != startTime())
    return keepOtherIncarnation(Received, Now);
  if (isOutdated(Received))
    return AnnouncementUse::Ignored;
  bool HasMoved = Received.m_Address != m_Announcement.m_Address;
  if (IsClosing || HasMoved) {
    m_Successor = Successor{Received, Now};
    return AnnouncementUse::Kept;
  }
  bool IsForeign = Received.m_Service != m_Announcement.m_Service && IsInUse;
  if (IsForeign)
    return AnnouncementUse::Ignored;
  m_Announcement = Received;
  return AnnouncementUse::Adopted;
}

/// Sequences of different incarnations, or senders, cannot be compared.
bool ServerIdentity::isOutdated(const BackendAnnouncement &Received) const {
  return Received.m_InstanceStartedAt == m_Announcement.m_InstanceStartedAt &&
         Received.m_Service == m_Announcement.m_Service &&
         Received.m_Sequence < m_Announcement.m_Sequence;
}

AnnouncementUse
ServerIdentity::keepOtherIncarnation(const BackendAnnouncement &Received,
                                     TimePoint Now) {
  bool IsEarlier = Received.m_InstanceStartedAt < startTime();
  if (IsEarlier && m_Known.m_OwnStart != Duration::zero())
    return AnnouncementUse::Ignored;
  bool IsKept =
      m_Successor && m_Successor->m_Announcement.m_InstanceStartedAt ==
                         Received.m_InstanceStartedAt;
  if (IsKept) {
    m_Successor->m_Announcement = Received;
    return AnnouncementUse::Kept;
  }
  m_Successor = Successor{Received, Now};
  return AnnouncementUse::Unconfirmed;
}

void ServerIdentity::recordReply(Duration StartedAt, TimePoint SentAt,
                                 TimePoint Now) {
  if (m_Known.m_FirstReplyAt == TimePoint{})
    m_Known.m_FirstReplyAt = Now;
  if (StartedAt == Duration::zero())
    return;
  m_Known.m_OwnStart = StartedAt;
  bool IsRefuted = m_Successor && SentAt >= m_Successor->m_KeptAt &&
                   m_Successor->m_Announcement.m_InstanceStartedAt != StartedAt;
  if (IsRefuted)
    m_Successor.reset();
}

std::optional<BackendAnnouncement> ServerIdentity::takeSuccessor() {
  if (!m_Successor)
    return std::nullopt;
  return std::exchange(m_Successor, std::nullopt)->m_Announcement;
}

} // namespace cyclamenwalk
