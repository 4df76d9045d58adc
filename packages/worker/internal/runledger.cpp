#include "worker/internal/runledger.h"

#include "policy/types/placement.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// Waiting work is reported in steps of this width.
constexpr Duration WaitingStep = milliseconds(50);
/// A run that takes longer than expected is taken to need this share of the
/// expected time more.
constexpr double OverdueShare = 0.3;
/// From this progress on, percent, it tells more than the estimate.
constexpr std::uint32_t TrustedProgress = 10;
constexpr double WholePercent = 100;
/// A waiting run without room is not overtaken any more when its order key is
/// this close.
constexpr Duration OvertakenUntil = milliseconds(30);

} // namespace

void RunLedger::add(const RunPointer &Added) { m_Runs[Added->m_Name] = Added; }

void RunLedger::erase(const Run &Gone) {
  unqueue(Gone);
  m_Runs.erase(RunName(Gone.m_Name));
}

RunPointer RunLedger::find(const RunName &Name) const {
  auto Found = m_Runs.find(Name);
  return Found == m_Runs.end() ? nullptr : Found->second;
}

std::vector<RunPointer> RunLedger::all() const {
  std::vector<RunPointer> Runs;
  Runs.reserve(m_Runs.size());
  for (const auto &Known : m_Runs)
    Runs.push_back(Known.second);
  return Runs;
}

void RunLedger::queue(const RunPointer &Waiting) {
  m_Queue.emplace(Waiting->m_Job->m_OrderKey, Waiting);
}

void RunLedger::unqueue(const Run &Taken) {
  auto Range = m_Queue.equal_range(Taken.m_Job->m_OrderKey);
  for (auto It = Range.first; It != Range.second; ++It) {
    if (It->second.get() != &Taken)
      continue;
    m_Queue.erase(It);
    return;
  }
}

RunPointer RunLedger::nextToStart(TimePoint Now) const {
  for (const auto &Known : m_Queue) {
    if (free().holds(Known.second->m_Job->m_Required))
      return Known.second;
    bool MayBeOvertaken = Known.first - Now > OvertakenUntil;
    if (!MayBeOvertaken)
      break;
  }
  return nullptr;
}

void RunLedger::occupy(const Run &Started) {
  m_InUse += Started.m_Job->m_Required;
  ++m_Occupied;
}

void RunLedger::release(const Run &Ended) {
  m_InUse -= Ended.m_Job->m_Required;
  --m_Occupied;
}

Duration RunLedger::forecastWait(const PlacedJob &Job, TimePoint Now,
                                 double Slowness) const {
  std::int64_t Ahead = 0;
  for (const auto &Known : m_Queue)
    if (Known.first <= Job.m_OrderKey)
      Ahead += Known.second->m_Job->m_Required.m_MilliCores;
  if (Ahead == 0 && free().holds(Job.m_Required))
    return Duration::zero();
  std::int64_t Free = std::max<std::int64_t>(0, free().m_MilliCores);
  return forecastRoom(m_Capacity, meanRemaining(Now, Slowness),
                      Ahead + Job.m_Required.m_MilliCores - Free);
}

std::vector<WaitingWork> RunLedger::waiting(TimePoint Now) const {
  std::vector<WaitingWork> Steps;
  for (const auto &Known : m_Queue) {
    const PlacedJob &Job = *Known.second->m_Job;
    Duration Within = Job.m_OrderKey - Now;
    bool IsSameStep =
        !Steps.empty() && Within - Steps.back().m_OrderWithin < WaitingStep;
    if (IsSameStep)
      Steps.back().m_MilliCores += Job.m_Required.m_MilliCores;
    else
      Steps.push_back({Within, Job.m_Required.m_MilliCores});
  }
  return Steps;
}

Duration RunLedger::meanRemaining(TimePoint Now, double Slowness) const {
  double Weighted = 0;
  double Cores = 0;
  for (const auto &Known : m_Runs) {
    const Run &Held = *Known.second;
    if (!holdsRoom(Held))
      continue;
    double Expected =
        static_cast<double>(Held.m_Job->m_ExpectedRunTime.count()) * Slowness;
    double Elapsed = 0;
    if (Held.m_StartedAt != TimePoint{})
      Elapsed = static_cast<double>((Now - Held.m_StartedAt).count());
    if (Held.m_ProgressPercent >= TrustedProgress)
      Expected =
          static_cast<double>((Held.m_ProgressAt - Held.m_StartedAt).count()) *
          WholePercent / Held.m_ProgressPercent;
    double Share = static_cast<double>(Held.m_Job->m_Required.m_MilliCores);
    Weighted += Share * std::max(Expected - Elapsed, OverdueShare * Expected);
    Cores += Share;
  }
  return Cores > 0 ? Duration(static_cast<Duration::rep>(Weighted / Cores))
                   : Duration::zero();
}

} // namespace cyclamenwalk
