#include "batch/internal/workertable.h"

#include "core/log.h"
#include "policy/types/lookahead.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwalk {

namespace {

constexpr double Percent = 100;
/// Bounds of the slowness of a worker relative to the mean.
constexpr double MinSlowness = 0.4;
constexpr double MaxSlowness = 10;
/// A worker that is slower than its kind by more than this factor counts with
/// its own slowness.
constexpr double OutlierFactor = 1.7;
constexpr double Permille = 1000;
/// How often learned speeds are compared; much shorter than it takes a worker
/// to change its speed noticeably.
constexpr Duration SpeedUpdatePeriod = milliseconds(50);
/// The cost jitter is one of sixteen multiples of this step, selected by the
/// upper bits of a multiplicative hash.
constexpr Duration JitterStep = microseconds(1800);
constexpr std::uint64_t RoundFactor = 0x2545f4914f6cdd1dULL;
constexpr std::uint64_t HashFactor = 0x9e3779b97f4a7c15ULL;
constexpr int HashShift = 60;
/// Workers of each kind among which a job is placed when looking ahead: this
/// number, and two more for each task.
constexpr std::size_t MinCandidates = 8;
constexpr std::size_t CandidatesPerTask = 2;
/// Cores that become free within this time count as room of a worker.
constexpr Duration RoomHorizon = milliseconds(60);
constexpr Duration SlownessPeriod = milliseconds(20);

/// The kind of a worker or whether it accepts tasks has changed.
bool hasOtherKind(const WorkerReport &Last, const WorkerReport &Current) {
  return Last.m_Kind != Current.m_Kind || Last.m_Service != Current.m_Service ||
         Last.m_IsAccepting != Current.m_IsAccepting;
}

} // namespace

void WorkerTable::add(const Peer &Agent) {
  m_Workers[Agent.m_Incarnation] = {};
  m_Workers[Agent.m_Incarnation].m_Peer = Agent;
}

void WorkerTable::remove(Incarnation Agent) {
  m_Workers.erase(Agent);
  m_Index.remove(Agent);
}

std::vector<Incarnation> WorkerTable::agents() const {
  std::vector<Incarnation> Agents;
  for (const auto &Item : m_Workers)
    Agents.push_back(Item.first);
  return Agents;
}

void WorkerTable::updateReport(Incarnation Agent, WorkerReport Report) {
  auto It = m_Workers.find(Agent);
  if (It == m_Workers.end())
    return;
  Worker &Reported = It->second;
  while (!Reported.m_UnreportedPlacements.empty() &&
         Reported.m_UnreportedPlacements.front().m_PlacedTotal <=
             Report.m_PlacementsSeen)
    Reported.m_UnreportedPlacements.pop_front();
  if (!Reported.m_HasReport || hasOtherKind(Reported.m_Report, Report))
    m_RecentSlowness.clear();
  Reported.m_Report = std::move(Report);
  Reported.m_ReportedAt = m_Timers.now();
  Reported.m_HasReport = true;
  if (m_LooksAhead)
    index(Agent, Reported);
}

void WorkerTable::index(Incarnation Agent, const Worker &Reported) {
  const WorkerReport &Report = Reported.m_Report;
  std::int64_t Room =
      freeWithin({Report.m_Capacity, Report.m_Free, Report.m_ExpectedEnds, {}},
                 RoomHorizon)
          .m_MilliCores;
  for (const WaitingWork &Waiting : Report.m_Waiting)
    Room -= Waiting.m_MilliCores;
  for (const UnreportedPlacement &Placed : Reported.m_UnreportedPlacements)
    Room -= Placed.m_Tasks * Placed.m_Job.m_Required.m_MilliCores;
  m_Index.update(Agent, {Report.m_Service, Report.m_Kind, Report.m_Rack,
                         Report.m_Capacity, Report.m_Free.m_MilliCores, Room,
                         Reported.m_ReportedAt, Report.m_IsAccepting});
}

void WorkerTable::addPlacement(Incarnation Agent, const PlacementJob &Job,
                               std::uint32_t Tasks) {
  Worker &Assigned = m_Workers.at(Agent);
  Assigned.m_PlacedTotal += Tasks;
  Assigned.m_UnreportedPlacements.push_back(
      {Assigned.m_PlacedTotal, Tasks, Job, m_Timers.now() + Job.m_OrderWithin});
  m_Index.subtractRoom(Agent, Tasks * Job.m_Required.m_MilliCores);
}

bool WorkerTable::isUsable(const Worker &Candidate,
                           const std::string &Service) const {
  return Candidate.m_HasReport && Candidate.m_Report.m_IsAccepting &&
         Candidate.m_Report.m_Service == Service;
}

PlacementWorker
WorkerTable::placementWorker(const Worker &Reported,
                             const KindSlowness &Slowness) const {
  const WorkerReport &Report = Reported.m_Report;
  PlacementWorker View;
  View.m_Agent = Reported.m_Peer.m_Incarnation;
  View.m_Rack = Report.m_Rack;
  View.m_CostJitter = costJitter(View.m_Agent);
  View.m_Capacity = Report.m_Capacity;
  View.m_Free = Report.m_Free;
  View.m_Slowness =
      std::clamp(effectiveSlowness(Reported, Slowness) / Slowness.m_Mean,
                 MinSlowness, MaxSlowness);
  View.m_MeanRemaining = Report.m_MeanRemaining;
  View.m_Waiting = Report.m_Waiting;
  TimePoint Now = m_Timers.now();
  if (m_LooksAhead) {
    View.m_ExpectedEnds = Report.m_ExpectedEnds;
    advanceEnds(View.m_ExpectedEnds, Now - Reported.m_ReportedAt);
  }
  for (WaitingWork &Waiting : View.m_Waiting)
    Waiting.m_OrderWithin -= Now - Reported.m_ReportedAt;
  for (const UnreportedPlacement &Placed : Reported.m_UnreportedPlacements)
    for (std::uint32_t I = 0; I < Placed.m_Tasks; ++I)
      assignTask(View, Placed.m_Job, Placed.m_OrderKey - Now);
  return View;
}

double WorkerTable::effectiveSlowness(const Worker &Reported,
                                      const KindSlowness &Slowness) const {
  const WorkerReport &Report = Reported.m_Report;
  double Measured = Report.m_SlowdownPercent / Percent;
  if (!Slowness.m_Learned) {
    // The running mean of a single worker mostly reflects errors of estimates,
    // so the median of its kind is used unless the worker is an outlier.
    double KindMedian = Slowness.m_ByKind.at(Report.m_Kind);
    return Measured > OutlierFactor * KindMedian ? Measured : KindMedian;
  }
  double Learned = Slowness.m_Learned->slowness(Reported.m_Peer.m_Incarnation,
                                                Report.m_Kind);
  // A worker that has just become slow reports more than what it has learned.
  double ByEnds = Report.m_Speed.m_SlownessPermille / Permille;
  return Measured > OutlierFactor * std::max(Learned, ByEnds) ? Measured
                                                              : Learned;
}

const WorkerSpeeds &
WorkerTable::learnedSpeeds(const std::string &Service) const {
  LearnedSpeeds &Known = m_LearnedSpeeds[Service];
  TimePoint Now = m_Timers.now();
  if (Now - Known.m_UpdatedAt < SpeedUpdatePeriod)
    return Known.m_Speeds;
  Known.m_UpdatedAt = Now;
  Known.m_Speeds = {};
  for (const auto &Item : m_Workers)
    if (isUsable(Item.second, Service))
      Known.m_Speeds.add(Item.first, Item.second.m_Report.m_Kind,
                         Item.second.m_Report.m_Speed);
  Known.m_Speeds.update();
  logSpeedChanges(Service, Known);
  return Known.m_Speeds;
}

/// Logs the workers that have become slower than their kind, or as fast again.
void WorkerTable::logSpeedChanges(const std::string &Service,
                                  LearnedSpeeds &Known) const {
  std::set<Incarnation> SlowAgents = Known.m_Speeds.slowAgents();
  for (const auto &Item : m_Workers) {
    bool IsSlow = SlowAgents.count(Item.first) > 0;
    if (IsSlow == (Known.m_SlowAgents.count(Item.first) > 0))
      continue;
    const WorkerReport &Report = Item.second.m_Report;
    double Slowness = Known.m_Speeds.slowness(Item.first, Report.m_Kind);
    logEvent(LogLevel::Info, IsSlow ? "worker.slow" : "worker.not_slow",
             {{"agent", Item.second.m_Peer.m_Name},
              {"service", Service},
              {"kind", Report.m_Kind},
              {"slowness_percent", std::lround(Percent * Slowness)},
              {"kind_percent",
               std::lround(Percent * Known.m_Speeds.slownessOf(Report.m_Kind))},
              {"ends", Report.m_Speed.m_Ends}});
  }
  Known.m_SlowAgents = std::move(SlowAgents);
}

WorkerTable::KindSlowness
WorkerTable::slownessByKind(const std::string &Service) const {
  if (!m_LearnsSpeeds)
    return medianByKind(Service);
  const WorkerSpeeds &Speeds = learnedSpeeds(Service);
  return {Speeds.byKind(), std::max(Speeds.mean(), MinSlowness), &Speeds};
}

WorkerTable::KindSlowness
WorkerTable::medianByKind(const std::string &Service) const {
  std::map<std::string, std::vector<double>> MeasuredByKind;
  for (const auto &Item : m_Workers)
    if (isUsable(Item.second, Service))
      MeasuredByKind[Item.second.m_Report.m_Kind].push_back(
          Item.second.m_Report.m_SlowdownPercent / Percent);
  KindSlowness Slowness;
  double Sum = 0;
  double Count = 0;
  for (auto &Kind : MeasuredByKind) {
    auto Median = Kind.second.begin() +
                  static_cast<std::ptrdiff_t>(Kind.second.size() / 2);
    std::nth_element(Kind.second.begin(), Median, Kind.second.end());
    Slowness.m_ByKind[Kind.first] = *Median;
    Sum += *Median * static_cast<double>(Kind.second.size());
    Count += static_cast<double>(Kind.second.size());
  }
  if (Count > 0)
    Slowness.m_Mean = std::max(Sum / Count, MinSlowness);
  return Slowness;
}

WorkerTable::KindSlowness
WorkerTable::currentSlowness(const std::string &Service) const {
  if (!m_LooksAhead)
    return slownessByKind(Service);
  TimePoint Now = m_Timers.now();
  auto It = m_RecentSlowness.find(Service);
  if (It == m_RecentSlowness.end() ||
      Now - It->second.m_ComputedAt >= SlownessPeriod)
    It = m_RecentSlowness
             .insert_or_assign(Service,
                               RecentSlowness{slownessByKind(Service), Now})
             .first;
  return It->second.m_Slowness;
}

WorkerTable::ServiceSlowness
WorkerTable::serviceSlowness(const std::string &Service) const {
  KindSlowness Slowness = currentSlowness(Service);
  double FastestKind = Slowness.m_Mean;
  for (const auto &Kind : Slowness.m_ByKind)
    FastestKind = std::min(FastestKind, Kind.second);
  return {Slowness.m_Mean, FastestKind};
}

double WorkerTable::coreUtilization(const std::string &Service) const {
  if (m_LooksAhead)
    return m_Index.coreUtilization(Service);
  double Capacity = 0;
  double Free = 0;
  for (const auto &Item : m_Workers) {
    if (!isUsable(Item.second, Service))
      continue;
    Capacity +=
        static_cast<double>(Item.second.m_Report.m_Capacity.m_MilliCores);
    Free += static_cast<double>(Item.second.m_Report.m_Free.m_MilliCores);
  }
  return Capacity > 0 ? 1 - Free / Capacity : 1;
}

std::vector<PlacementWorker>
WorkerTable::placementWorkers(const std::string &Service,
                              const std::set<Incarnation> &ExcludedAgents) {
  KindSlowness Slowness = currentSlowness(Service);
  ++m_JitterRound;
  std::vector<PlacementWorker> Workers;
  for (const auto &Item : m_Workers)
    if (isUsable(Item.second, Service) && !ExcludedAgents.count(Item.first))
      Workers.push_back(placementWorker(Item.second, Slowness));
  return Workers;
}

/// The index lists workers in a sorted order, so that ties are broken alike
/// whatever has room.
std::vector<PlacementWorker>
WorkerTable::candidates(const std::string &Service, const PlacementJob &Job,
                        const std::set<Incarnation> &ExcludedAgents) {
  // The index orders by cores alone.
  if (!m_LooksAhead || Job.m_Required.m_Gpus > 0)
    return placementWorkers(Service, ExcludedAgents);
  KindSlowness Slowness = currentSlowness(Service);
  ++m_JitterRound;
  std::vector<PlacementWorker> Workers;
  std::size_t Count = MinCandidates + CandidatesPerTask * Job.m_Tasks;
  for (Incarnation Agent :
       m_Index.candidates(Service, Job.m_Rack, Count, ExcludedAgents))
    Workers.push_back(placementWorker(m_Workers.at(Agent), Slowness));
  return Workers;
}

Duration WorkerTable::oldestReportAge(const std::string &Service) const {
  TimePoint Now = m_Timers.now();
  if (m_LooksAhead)
    return Now - m_Index.oldestReport(Service, Now);
  Duration OldestAge{};
  for (const auto &Item : m_Workers)
    if (isUsable(Item.second, Service))
      OldestAge =
          std::max(OldestAge, m_Timers.now() - Item.second.m_ReportedAt);
  return OldestAge;
}

Duration WorkerTable::costJitter(Incarnation Agent) const {
  std::uint64_t Hash =
      (Agent.m_Value ^ m_Entry.m_Value ^ (m_JitterRound * RoundFactor)) *
      HashFactor;
  return JitterStep * static_cast<Duration::rep>(Hash >> HashShift);
}

bool WorkerTable::hasAccepting() const {
  if (m_LooksAhead)
    return m_Index.hasAccepting();
  return std::any_of(m_Workers.begin(), m_Workers.end(), [](const auto &Item) {
    return Item.second.m_HasReport && Item.second.m_Report.m_IsAccepting;
  });
}

std::vector<ServiceRoom> WorkerTable::rooms() const {
  std::map<std::string, ServiceRoom> RoomsByService;
  std::map<std::string, std::set<std::string>> RacksByService;
  for (const auto &Item : m_Workers) {
    const WorkerReport &Report = Item.second.m_Report;
    if (!isUsable(Item.second, Report.m_Service))
      continue;
    ServiceRoom &Room = RoomsByService[Report.m_Service];
    Room.m_FreeMilliCores +=
        std::max<std::int64_t>(0, Report.m_Free.m_MilliCores);
    Room.m_CapacityMilliCores += Report.m_Capacity.m_MilliCores;
    RacksByService[Report.m_Service].insert(Report.m_Rack);
  }
  std::vector<ServiceRoom> Rooms;
  for (auto &Item : RoomsByService) {
    const auto &Racks = RacksByService[Item.first];
    Item.second.m_Service = Item.first;
    Item.second.m_Racks.assign(Racks.begin(), Racks.end());
    Rooms.push_back(std::move(Item.second));
  }
  return Rooms;
}

bool WorkerTable::canHold(const std::string &Service,
                          const Resources &Required) const {
  if (m_LooksAhead)
    return m_Index.canHold(Service, Required);
  return std::any_of(m_Workers.begin(), m_Workers.end(), [&](const auto &Item) {
    const WorkerReport &Report = Item.second.m_Report;
    return Report.m_Service == Service && Report.m_Capacity.canFit(Required);
  });
}

} // namespace cyclamenwalk
