#ifndef CYCLAMENWALK_FORWARD_IFORWARDINGSERVICE_H
#define CYCLAMENWALK_FORWARD_IFORWARDINGSERVICE_H

#include "batch/ijobsubmission.h"
#include "membership/types/peer.h"

namespace cyclamenwalk {

/// Gives each job of a caller to one owner, which is this entry or another one
/// that sees more workers, and owns jobs for other entries. Only the owner
/// places tasks.
class IForwardingService : public IJobSubmission {
public:
  virtual void entryUp(const Peer &Entry) = 0;
  virtual void entryDown(const Peer &Entry) = 0;

  /// Returns false if the message is not about forwarded jobs.
  virtual bool receive(Incarnation Entry, Message &Body) = 0;

  /// Tells the other entries that this one owns no more jobs for them; those
  /// it has are finished.
  virtual void drain() = 0;

  /// Whether this entry owns a job of \p Entry that has not ended.
  virtual bool ownsJobsOf(Incarnation Entry) const = 0;

  /// When all entries were confirmed alive of which this one owns jobs that
  /// have not ended; TimePoint::max() if there are none.
  virtual TimePoint forwardersAliveAt() const = 0;

  /// Whether this entry or another one can place jobs.
  virtual bool hasPlacers() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_FORWARD_IFORWARDINGSERVICE_H
