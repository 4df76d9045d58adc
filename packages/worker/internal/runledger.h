#ifndef CYCLAMENWALK_WORKER_INTERNAL_RUNLEDGER_H
#define CYCLAMENWALK_WORKER_INTERNAL_RUNLEDGER_H

#include "worker/internal/run.h"

#include <map>
#include <vector>

namespace cyclamenwalk {

/// The runs of one backend server: those that hold room, and those that wait,
/// in their order.
class RunLedger {
public:
  explicit RunLedger(Resources Capacity) : m_Capacity(Capacity) {}

  const Resources &capacity() const { return m_Capacity; }
  void setCapacity(const Resources &Value) { m_Capacity = Value; }

  Resources free() const { return m_Capacity - m_InUse; }

  /// Runs that hold room.
  std::size_t occupied() const { return m_Occupied; }

  void add(const RunPointer &Added);
  void erase(const Run &Gone);
  RunPointer find(const RunName &Name) const;
  std::vector<RunPointer> all() const;
  std::size_t size() const { return m_Runs.size(); }

  /// Puts a run into the queue, or takes it out.
  void queue(const RunPointer &Waiting);
  void unqueue(const Run &Taken);

  /// The first run of the queue for which there is room. A large task is
  /// overtaken by smaller ones only as long as its order key is well ahead, so
  /// that they cannot starve it.
  RunPointer nextToStart(TimePoint Now) const;

  /// The run takes room from now on, until release().
  void occupy(const Run &Started);
  void release(const Run &Ended);

  /// Expected wait of one more run of \p Job.
  Duration forecastWait(const PlacedJob &Job, TimePoint Now,
                        double Slowness) const;

  /// What waits, in order.
  std::vector<WaitingWork> waiting(TimePoint Now) const;

  /// Expected time until a running task ends, weighted by cores.
  Duration meanRemaining(TimePoint Now, double Slowness) const;

private:
  using Queue = std::multimap<TimePoint, RunPointer>;

  Resources m_Capacity;
  Resources m_InUse;
  std::size_t m_Occupied = 0;
  std::map<RunName, RunPointer> m_Runs;
  Queue m_Queue;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_RUNLEDGER_H
