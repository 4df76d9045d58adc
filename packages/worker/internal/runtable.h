#ifndef CYCLAMENWALK_WORKER_INTERNAL_RUNTABLE_H
#define CYCLAMENWALK_WORKER_INTERNAL_RUNTABLE_H

#include "policy/types/lookahead.h"
#include "worker/internal/run.h"

#include <functional>
#include <map>
#include <vector>

namespace cyclamenwalk {

/// The runs of one backend server, the queue of those that wait, and the
/// resources that the others use.
class RunTable {
public:
  explicit RunTable(Resources Capacity) : m_Capacity(Capacity) {}

  const Resources &capacity() const { return m_Capacity; }
  void setCapacity(const Resources &Value) { m_Capacity = Value; }

  Resources free() const { return m_Capacity - m_Used; }

  /// The number of runs that use resources.
  std::size_t activeCount() const { return m_ActiveCount; }

  void add(const RunPointer &Added);
  void erase(const Run &Erased);
  RunPointer find(const RunId &Id) const;

  /// Whether a run of the task, with any number, has not ended.
  bool hasTask(const std::string &Task) const;
  std::vector<RunPointer> runs() const;
  std::size_t size() const { return m_Runs.size(); }

  void enqueue(const RunPointer &Waiting);
  void dequeue(const Run &Waiting);

  /// The first run of the queue that fits into the free resources. A large run
  /// that does not fit is overtaken by smaller ones only while its order key is
  /// well ahead, so that they cannot starve it.
  /// Runs for which \p MayStart returns false are passed over.
  RunPointer
  nextToStart(TimePoint Now,
              const std::function<bool(const Run &)> &MayStart) const;

  /// The runs of the queue for which \p MayStart returns true, in its order.
  std::vector<RunPointer>
  waiting(const std::function<bool(const Run &)> &MayStart) const;

  /// Counts the resources of a run as used until releaseResources().
  void reserveResources(const Run &Started);
  void releaseResources(const Run &Ended);

  /// Expected queue time of one more run of \p Job.
  Duration forecastWait(const PlacedJob &Job, TimePoint Now,
                        double Slowness) const;

  /// The same from the expected ends of the runs in progress.
  Duration forecastWaitByEnds(const PlacedJob &Job, TimePoint Now,
                              double Slowness) const;

  /// The work in the queue, sorted by order key.
  std::vector<WaitingWork> waitingWork(TimePoint Now) const;

  /// Mean expected time until a run ends, weighted by cores.
  Duration meanRemaining(TimePoint Now, double Slowness) const;

private:
  using Queue = std::multimap<TimePoint, RunPointer>;

  /// The runs of the queue up to \p OrderKey.
  WorkAhead workAhead(TimePoint OrderKey) const;

  Resources m_Capacity;
  Resources m_Used;
  std::size_t m_ActiveCount = 0;
  std::map<RunId, RunPointer> m_Runs;
  Queue m_Queue;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_RUNTABLE_H
