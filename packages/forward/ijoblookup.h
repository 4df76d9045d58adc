#ifndef CYCLAMENWALK_FORWARD_IJOBLOOKUP_H
#define CYCLAMENWALK_FORWARD_IJOBLOOKUP_H

#include "core/types/resultcode.h"
#include "membership/types/peer.h"

#include <functional>
#include <string>

namespace cyclamenwalk {

/// Finds and cancels jobs by name, whichever entry runs them. That no entry
/// runs a job is proved only by the word of every member: neither silence nor a
/// missing link counts as one.
class IJobLookup {
public:
  /// Gets Ok when an entry runs the job, JobNotKnown when every member has said
  /// that it does not, LookupIncomplete when neither is known in time.
  using Callback = std::function<void(ResultCode)>;

  virtual ~IJobLookup() = default;

  /// Cancels the job at every member, Ok coming with the first one that ran it.
  /// Members that are linked later are asked as well until \p Within has
  /// passed.
  virtual void cancel(const std::string &Name, Duration Within,
                      Callback Done) = 0;

  /// Whether any member runs the job.
  virtual void find(const std::string &Name, Duration Within,
                    Callback Done) = 0;

  /// Ends all searches, with LookupIncomplete where there is no answer yet, and
  /// each later one at once. For a process that is about to end.
  virtual void close() = 0;

  virtual void entryUp(const Peer &Entry) = 0;
  virtual void entryDown(const Peer &Entry) = 0;

  /// Returns false if the message is not about a lookup.
  virtual bool receive(Incarnation Entry, Message &Body) = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_FORWARD_IJOBLOOKUP_H
