#include "batch/internal/workertable.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

constexpr double Percent = 100;
/// Bounds of what a worker's speed counts for against the others.
constexpr double LeastSlowness = 0.4;
constexpr double GreatestSlowness = 10;

} // namespace

void WorkerTable::add(const Peer &Agent) {
  m_Workers[Agent.m_Incarnation] = {};
  m_Workers[Agent.m_Incarnation].m_Peer = Agent;
}

void WorkerTable::remove(Incarnation Agent) { m_Workers.erase(Agent); }

void WorkerTable::report(Incarnation Agent, WorkerReport Report) {
  auto Found = m_Workers.find(Agent);
  if (Found == m_Workers.end())
    return;
  Worker &Known = Found->second;
  while (!Known.m_Unseen.empty() &&
         Known.m_Unseen.front().m_PlacedUpTo <= Report.m_PlacedSeen)
    Known.m_Unseen.pop_front();
  Known.m_Report = std::move(Report);
  Known.m_ReportedAt = m_Timers.now();
  Known.m_HasReport = true;
}

void WorkerTable::setLimit(Incarnation Agent, std::uint32_t Limit) {
  auto Found = m_Workers.find(Agent);
  if (Found != m_Workers.end())
    Found->second.m_Limit = Limit;
}

void WorkerTable::charge(Incarnation Agent, const PlacementJob &Job,
                         std::uint32_t Tasks) {
  Worker &Known = m_Workers.at(Agent);
  Known.m_Placed += Tasks;
  Known.m_InFlight += Tasks;
  Known.m_Unseen.push_back(
      {Known.m_Placed, Tasks, Job, m_Timers.now() + Job.m_StartWithin});
}

void WorkerTable::settle(Incarnation Agent) {
  auto Found = m_Workers.find(Agent);
  if (Found != m_Workers.end() && Found->second.m_InFlight > 0)
    --Found->second.m_InFlight;
}

bool WorkerTable::isUsable(const Worker &Known,
                           const std::string &Service) const {
  return Known.m_HasReport && Known.m_Report.m_IsAccepting &&
         Known.m_Report.m_Service == Service &&
         Known.m_InFlight < Known.m_Limit;
}

PlacementWorker WorkerTable::view(const Worker &Known,
                                  double MeanSlowness) const {
  const WorkerReport &Report = Known.m_Report;
  PlacementWorker View;
  View.m_Agent = Known.m_Peer.m_Incarnation;
  View.m_Rack = Report.m_Rack;
  View.m_Capacity = Report.m_Capacity;
  View.m_Free = Report.m_Free;
  View.m_Slowness =
      std::clamp(Report.m_SlownessPercent / Percent / MeanSlowness,
                 LeastSlowness, GreatestSlowness);
  View.m_MeanRemaining = Report.m_MeanRemaining;
  View.m_Waiting = Report.m_Waiting;
  TimePoint Now = m_Timers.now();
  for (WaitingWork &Waiting : View.m_Waiting)
    Waiting.m_StartWithin -= Now - Known.m_ReportedAt;
  for (const Charged &Sent : Known.m_Unseen)
    for (std::uint32_t I = 0; I < Sent.m_Tasks; ++I)
      countTask(View, Sent.m_Job, Sent.m_StartBy - Now);
  return View;
}

double WorkerTable::meanSlowness(const std::string &Service) const {
  double Sum = 0;
  double Count = 0;
  for (const auto &Known : m_Workers) {
    if (!isUsable(Known.second, Service))
      continue;
    // One that stands still must not make the others look fast.
    Sum += std::min(Known.second.m_Report.m_SlownessPercent / Percent,
                    2 * LeastSlowness + 1);
    ++Count;
  }
  return Count > 0 ? std::max(Sum / Count, LeastSlowness) : 1;
}

std::vector<PlacementWorker>
WorkerTable::views(const std::string &Service,
                   const std::set<Incarnation> &Without) const {
  double Mean = meanSlowness(Service);
  std::vector<PlacementWorker> Views;
  for (const auto &Known : m_Workers)
    if (isUsable(Known.second, Service) && !Without.count(Known.first))
      Views.push_back(view(Known.second, Mean));
  return Views;
}

bool WorkerTable::hasAccepting() const {
  return std::any_of(m_Workers.begin(), m_Workers.end(), [](const auto &Known) {
    return Known.second.m_HasReport && Known.second.m_Report.m_IsAccepting;
  });
}

bool WorkerTable::canHold(const std::string &Service, const Room &Need) const {
  return std::any_of(
      m_Workers.begin(), m_Workers.end(), [&](const auto &Known) {
        const WorkerReport &Report = Known.second.m_Report;
        return Report.m_Service == Service && Report.m_Capacity.holds(Need);
      });
}

} // namespace cyclamenwalk
