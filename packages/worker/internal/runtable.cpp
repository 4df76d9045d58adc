#include "worker/internal/runtable.h"

#include "policy/types/placement.h"
#include "worker/internal/backfill.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// Runs whose order keys differ by less than this are reported as one item.
constexpr Duration WaitingWorkStep = milliseconds(50);
/// A run that exceeds its expected time is assumed to need this share of the
/// expected time more.
constexpr double OverdueFactor = 0.3;
/// From this progress on, in percent, the run time is extrapolated from the
/// progress and not taken from the estimate.
constexpr std::uint32_t MinTrustedProgress = 10;
constexpr double FullProgress = 100;
/// A waiting run that does not fit is no longer overtaken once its order key is
/// this close.
constexpr Duration MinOvertakeMargin = milliseconds(30);

} // namespace

void RunTable::add(const RunPointer &Added) { m_Runs[Added->m_Id] = Added; }

void RunTable::erase(const Run &Erased) {
  dequeue(Erased);
  m_Runs.erase(RunId(Erased.m_Id));
}

RunPointer RunTable::find(const RunId &Id) const {
  auto It = m_Runs.find(Id);
  return It == m_Runs.end() ? nullptr : It->second;
}

bool RunTable::hasTask(const std::string &Task) const {
  auto It = m_Runs.lower_bound({Task, 0});
  return It != m_Runs.end() && It->first.m_Task == Task;
}

std::vector<RunPointer> RunTable::runs() const {
  std::vector<RunPointer> Runs;
  Runs.reserve(m_Runs.size());
  for (const auto &Item : m_Runs)
    Runs.push_back(Item.second);
  return Runs;
}

void RunTable::enqueue(const RunPointer &Waiting) {
  m_Queue.emplace(Waiting->m_Job->m_OrderKey, Waiting);
}

void RunTable::dequeue(const Run &Waiting) {
  auto Range = m_Queue.equal_range(Waiting.m_Job->m_OrderKey);
  for (auto It = Range.first; It != Range.second; ++It) {
    if (It->second.get() != &Waiting)
      continue;
    m_Queue.erase(It);
    return;
  }
}

RunPointer
RunTable::nextToStart(TimePoint Now,
                      const std::function<bool(const Run &)> &MayStart) const {
  for (const auto &Item : m_Queue) {
    if (!MayStart(*Item.second))
      continue;
    if (free().canFit(Item.second->m_Job->m_Required))
      return Item.second;
    bool MayBeOvertaken = Item.first - Now > MinOvertakeMargin;
    if (!MayBeOvertaken)
      break;
  }
  return nullptr;
}

std::vector<RunPointer>
RunTable::waiting(const std::function<bool(const Run &)> &MayStart) const {
  std::vector<RunPointer> Waiting;
  for (const auto &Item : m_Queue)
    if (MayStart(*Item.second))
      Waiting.push_back(Item.second);
  return Waiting;
}

void RunTable::reserveResources(const Run &Started) {
  m_Used += Started.m_Job->m_Required;
  ++m_ActiveCount;
}

void RunTable::releaseResources(const Run &Ended) {
  m_Used -= Ended.m_Job->m_Required;
  --m_ActiveCount;
}

Duration RunTable::forecastWait(const PlacedJob &Job, TimePoint Now,
                                double Slowness) const {
  std::int64_t QueuedMilliCores = workAhead(Job.m_OrderKey).m_MilliCores;
  if (QueuedMilliCores == 0 && free().canFit(Job.m_Required))
    return Duration::zero();
  std::int64_t FreeMilliCores = std::max<std::int64_t>(0, free().m_MilliCores);
  return forecastResourceWait(m_Capacity, meanRemaining(Now, Slowness),
                              QueuedMilliCores + Job.m_Required.m_MilliCores -
                                  FreeMilliCores);
}

Duration RunTable::forecastWaitByEnds(const PlacedJob &Job, TimePoint Now,
                                      double Slowness) const {
  std::vector<ExpectedEnd> Ends = expectedEnds(runs(), Now, Slowness);
  return cyclamenwalk::forecastWaitByEnds(
      {m_Capacity, free(), Ends, meanRemaining(Now, Slowness)},
      {Job.m_Required, scaled(Job.m_ExpectedRunTime, Slowness)},
      workAhead(Job.m_OrderKey));
}

WorkAhead RunTable::workAhead(TimePoint OrderKey) const {
  WorkAhead Ahead;
  for (const auto &Item : m_Queue) {
    if (Item.first > OrderKey)
      break;
    const Resources &Required = Item.second->m_Job->m_Required;
    if (Ahead.m_MilliCores == 0)
      Ahead.m_First = Required;
    Ahead.m_MilliCores += Required.m_MilliCores;
  }
  return Ahead;
}

std::vector<WaitingWork> RunTable::waitingWork(TimePoint Now) const {
  std::vector<WaitingWork> Steps;
  for (const auto &Item : m_Queue) {
    const PlacedJob &Job = *Item.second->m_Job;
    Duration OrderWithin = Job.m_OrderKey - Now;
    bool IsSameStep =
        !Steps.empty() &&
        OrderWithin - Steps.back().m_OrderWithin < WaitingWorkStep;
    if (IsSameStep)
      Steps.back().m_MilliCores += Job.m_Required.m_MilliCores;
    else
      Steps.push_back({OrderWithin, Job.m_Required.m_MilliCores});
  }
  return Steps;
}

Duration RunTable::meanRemaining(TimePoint Now, double Slowness) const {
  double WeightedSum = 0;
  double MilliCores = 0;
  for (const auto &Item : m_Runs) {
    const Run &Active = *Item.second;
    if (!usesResources(Active))
      continue;
    double Expected =
        static_cast<double>(Active.m_Job->m_ExpectedRunTime.count()) * Slowness;
    double Elapsed = 0;
    if (Active.m_StartedAt != TimePoint{})
      Elapsed = static_cast<double>((Now - Active.m_StartedAt).count());
    if (Active.m_ProgressPercent >= MinTrustedProgress)
      Expected = static_cast<double>(
                     (Active.m_ProgressListedAt - Active.m_StartedAt).count()) *
                 FullProgress / Active.m_ProgressPercent;
    double Weight = static_cast<double>(Active.m_Job->m_Required.m_MilliCores);
    WeightedSum +=
        Weight * std::max(Expected - Elapsed, OverdueFactor * Expected);
    MilliCores += Weight;
  }
  return MilliCores > 0
             ? Duration(static_cast<Duration::rep>(WeightedSum / MilliCores))
             : Duration::zero();
}

} // namespace cyclamenwalk
