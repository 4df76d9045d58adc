#include "batch/internal/workertable.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

constexpr double Percent = 100;
/// Bounds of what a worker's speed counts for against the others.
constexpr double LeastSlowness = 0.4;
constexpr double GreatestSlowness = 10;
constexpr double StrongDifference = 1.7;
/// Sixteen steps, by the upper bits of a multiplicative hash.
constexpr Duration BiasStep = microseconds(1800);
constexpr std::uint64_t RoundFactor = 0x2545f4914f6cdd1dULL;
constexpr std::uint64_t HashFactor = 0x9e3779b97f4a7c15ULL;
constexpr int HashShift = 60;

} // namespace

void WorkerTable::add(const Peer &Agent) {
  m_Workers[Agent.m_Incarnation] = {};
  m_Workers[Agent.m_Incarnation].m_Peer = Agent;
}

void WorkerTable::remove(Incarnation Agent) { m_Workers.erase(Agent); }

std::vector<Incarnation> WorkerTable::agents() const {
  std::vector<Incarnation> Agents;
  for (const auto &Known : m_Workers)
    Agents.push_back(Known.first);
  return Agents;
}

void WorkerTable::report(Incarnation Agent, WorkerReport Report) {
  auto Found = m_Workers.find(Agent);
  if (Found == m_Workers.end())
    return;
  Worker &Known = Found->second;
  while (!Known.m_Unseen.empty() &&
         Known.m_Unseen.front().m_PlacedUpTo <= Report.m_PlacementsSeen)
    Known.m_Unseen.pop_front();
  Known.m_Report = std::move(Report);
  Known.m_ReportedAt = m_Timers.now();
  Known.m_HasReport = true;
}

void WorkerTable::charge(Incarnation Agent, const PlacementJob &Job,
                         std::uint32_t Tasks) {
  Worker &Known = m_Workers.at(Agent);
  Known.m_Placed += Tasks;
  Known.m_Unseen.push_back(
      {Known.m_Placed, Tasks, Job, m_Timers.now() + Job.m_OrderWithin});
}

bool WorkerTable::isUsable(const Worker &Known,
                           const std::string &Service) const {
  return Known.m_HasReport && Known.m_Report.m_IsAccepting &&
         Known.m_Report.m_Service == Service;
}

PlacementWorker WorkerTable::view(const Worker &Known,
                                  const Speeds &Usual) const {
  const WorkerReport &Report = Known.m_Report;
  PlacementWorker View;
  View.m_Agent = Known.m_Peer.m_Incarnation;
  View.m_Rack = Report.m_Rack;
  View.m_Bias = biasOf(View.m_Agent);
  View.m_Capacity = Report.m_Capacity;
  View.m_Free = Report.m_Free;
  // What one worker shows is mostly the error of estimates, so only a strong
  // difference from its kind counts.
  double OfKind = Usual.m_ByKind.at(Report.m_Kind);
  double Own = Report.m_SlownessPercent / Percent;
  double Taken = Own > StrongDifference * OfKind ? Own : OfKind;
  View.m_Slowness =
      std::clamp(Taken / Usual.m_Mean, LeastSlowness, GreatestSlowness);
  View.m_MeanRemaining = Report.m_MeanRemaining;
  View.m_Waiting = Report.m_Waiting;
  TimePoint Now = m_Timers.now();
  for (WaitingWork &Waiting : View.m_Waiting)
    Waiting.m_OrderWithin -= Now - Known.m_ReportedAt;
  for (const Charged &Sent : Known.m_Unseen)
    for (std::uint32_t I = 0; I < Sent.m_Tasks; ++I)
      countTask(View, Sent.m_Job, Sent.m_OrderKey - Now);
  return View;
}

WorkerTable::Speeds WorkerTable::speeds(const std::string &Service) const {
  std::map<std::string, std::vector<double>> Seen;
  for (const auto &Known : m_Workers)
    if (isUsable(Known.second, Service))
      Seen[Known.second.m_Report.m_Kind].push_back(
          Known.second.m_Report.m_SlownessPercent / Percent);
  Speeds Usual;
  double Sum = 0;
  double Count = 0;
  for (auto &Kind : Seen) {
    auto Middle = Kind.second.begin() +
                  static_cast<std::ptrdiff_t>(Kind.second.size() / 2);
    std::nth_element(Kind.second.begin(), Middle, Kind.second.end());
    Usual.m_ByKind[Kind.first] = *Middle;
    Sum += *Middle * static_cast<double>(Kind.second.size());
    Count += static_cast<double>(Kind.second.size());
  }
  if (Count > 0)
    Usual.m_Mean = std::max(Sum / Count, LeastSlowness);
  return Usual;
}

WorkerTable::Slowness WorkerTable::slowness(const std::string &Service) const {
  Speeds Usual = speeds(Service);
  double Least = Usual.m_Mean;
  for (const auto &Kind : Usual.m_ByKind)
    Least = std::min(Least, Kind.second);
  return {Usual.m_Mean, Least};
}

double WorkerTable::usedShare(const std::string &Service) const {
  double Capacity = 0;
  double Free = 0;
  for (const auto &Known : m_Workers) {
    if (!isUsable(Known.second, Service))
      continue;
    Capacity +=
        static_cast<double>(Known.second.m_Report.m_Capacity.m_MilliCores);
    Free += static_cast<double>(Known.second.m_Report.m_Free.m_MilliCores);
  }
  return Capacity > 0 ? 1 - Free / Capacity : 1;
}

std::vector<PlacementWorker>
WorkerTable::views(const std::string &Service,
                   const std::set<Incarnation> &Without) {
  Speeds Usual = speeds(Service);
  ++m_Round;
  std::vector<PlacementWorker> Views;
  for (const auto &Known : m_Workers)
    if (isUsable(Known.second, Service) && !Without.count(Known.first))
      Views.push_back(view(Known.second, Usual));
  return Views;
}

Duration WorkerTable::oldestReport(const std::string &Service) const {
  Duration Oldest{};
  for (const auto &Known : m_Workers)
    if (isUsable(Known.second, Service))
      Oldest = std::max(Oldest, m_Timers.now() - Known.second.m_ReportedAt);
  return Oldest;
}

Duration WorkerTable::biasOf(Incarnation Agent) const {
  std::uint64_t Mixed =
      (Agent.m_Value ^ m_Own.m_Value ^ (m_Round * RoundFactor)) * HashFactor;
  return BiasStep * static_cast<Duration::rep>(Mixed >> HashShift);
}

bool WorkerTable::hasAccepting() const {
  return std::any_of(m_Workers.begin(), m_Workers.end(), [](const auto &Known) {
    return Known.second.m_HasReport && Known.second.m_Report.m_IsAccepting;
  });
}

bool WorkerTable::canHold(const std::string &Service,
                          const Resources &Need) const {
  return std::any_of(
      m_Workers.begin(), m_Workers.end(), [&](const auto &Known) {
        const WorkerReport &Report = Known.second.m_Report;
        return Report.m_Service == Service && Report.m_Capacity.holds(Need);
      });
}

} // namespace cyclamenwalk
