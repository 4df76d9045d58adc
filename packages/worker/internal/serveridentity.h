#ifndef CYCLAMENWALK_WORKER_INTERNAL_SERVERIDENTITY_H
#define CYCLAMENWALK_WORKER_INTERNAL_SERVERIDENTITY_H

#include "worker/internal/evidencerules.h"

namespace cyclamenwalk {

/// What becomes of an announcement under the name of a known instance.
enum class AnnouncementUse {
  /// Outdated, or written by somebody else.
  Ignored,
  /// Replaces the earlier announcement.
  Adopted,
  /// Kept for the next session.
  Kept,
  /// States another incarnation of the instance, which the server is to
  /// confirm.
  Unconfirmed
};

/// Which incarnation of an instance a session is held with. Announcements are
/// hints; only the server's own replies tell its incarnations apart.
class ServerIdentity {
public:
  explicit ServerIdentity(BackendAnnouncement Announcement);

  const BackendAnnouncement &announcement() const { return m_Announcement; }
  const KnownServer &known() const { return m_Known; }

  /// The start of the instance as stated by itself, or else as announced.
  Duration startTime() const;

  /// \p IsInUse tells whether runs are placed, \p IsClosing whether the session
  /// is ending.
  AnnouncementUse receive(const BackendAnnouncement &Received, bool IsInUse,
                          bool IsClosing, TimePoint Now);

  /// Learns from a reply which incarnation the server is, and drops a kept
  /// announcement that it refutes.
  void recordReply(Duration StartedAt, TimePoint SentAt, TimePoint Now);

  /// The announcement that was kept for the next session, if any.
  std::optional<BackendAnnouncement> takeSuccessor();

private:
  struct Successor {
    BackendAnnouncement m_Announcement;
    TimePoint m_KeptAt;
  };

  bool isOutdated(const BackendAnnouncement &Received) const;
  AnnouncementUse keepOtherIncarnation(const BackendAnnouncement &Received,
                                       TimePoint Now);

  BackendAnnouncement m_Announcement;
  KnownServer m_Known;
  std::optional<Successor> m_Successor;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_SERVERIDENTITY_H
