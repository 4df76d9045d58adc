#include "policy/internal/workerhealth.h"

#include "core/log.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// Limit on the ratio of a service's workers that are ejected at once.
constexpr double MaxEjectedRatio = 0.3;
constexpr Duration MinEjectionPause = seconds(5);
constexpr Duration MaxEjectionPause = seconds(300);
/// Successful probes before a worker is ramped up.
constexpr std::uint32_t MinProbes = 3;
/// The task limit from which a ramped worker counts as healthy.
constexpr std::uint32_t MaxRampLimit = 8;
/// Weight of one result in the moving failure rate of a service.
constexpr double RateWeight = 0.01;

} // namespace

WorkerHealth::WorkerHealth(FailureTestFactory MakeTest,
                           const IChartSource &Charts, ITimerService &Timers,
                           IMetrics &Metrics)
    : m_MakeTest(std::move(MakeTest)), m_Timers(Timers), m_Metrics(Metrics),
      m_Chart(bindChart(Charts)) {}

WorkerHealth::~WorkerHealth() {
  for (auto &Item : m_Workers)
    m_Timers.cancel(Item.second.m_Timer);
}

WorkerHealth::Chart WorkerHealth::bindChart(const IChartSource &Charts) {
  return Chart(
      Charts.chart("workerhealth"),
      {{"mayEject", [this](const Worker &W) { return mayEject(W); }},
       {"hasEnoughProbes",
        [](const Worker &W) { return W.m_Probes + 1 >= MinProbes; }},
       {"isFullyRamped",
        [](const Worker &W) { return W.m_Limit >= MaxRampLimit; }}},
      {{"eject", [this](Worker &W) { eject(W); }},
       {"decrementEjected",
        [this](Worker &W) { --m_Services[W.m_Service].m_Ejected; }},
       {"countProbe", [](Worker &W) { ++W.m_Probes; }},
       {"allowOneTask", [this](Worker &W) { setLimit(W, 1); }},
       {"doubleLimit", [this](Worker &W) { setLimit(W, W.m_Limit * 2); }},
       {"removeLimit", [this](Worker &W) {
          W.m_Pause = Duration::zero();
          setLimit(W, NoLimit);
        }}});
}

void WorkerHealth::onLimitChanged(LimitChanged Hook) {
  m_LimitChanged = std::move(Hook);
}

void WorkerHealth::add(Incarnation Id, const std::string &Service) {
  remove(Id);
  Worker &Added = m_Workers[Id];
  Added.m_State = m_Chart.initial();
  Added.m_Id = Id;
  Added.m_Service = Service;
  Added.m_Test = m_MakeTest();
  ++m_Services[Service].m_Workers;
}

void WorkerHealth::remove(Incarnation Id) {
  auto It = m_Workers.find(Id);
  if (It == m_Workers.end())
    return;
  Worker &Removed = It->second;
  m_Timers.cancel(Removed.m_Timer);
  Service &Peers = m_Services[Removed.m_Service];
  --Peers.m_Workers;
  if (Removed.m_State == HealthState::Ejected)
    --Peers.m_Ejected;
  m_Workers.erase(It);
}

void WorkerHealth::record(Incarnation Id, bool HasFailed) {
  auto It = m_Workers.find(Id);
  if (It == m_Workers.end())
    return;
  Worker &Tested = It->second;
  Service &Peers = m_Services[Tested.m_Service];
  bool IsFaulty =
      Tested.m_Test({HasFailed, Peers.m_FailureRate, m_Timers.now()});
  // Results of workers that aren't healthy would distort the peers' rate.
  if (Tested.m_State == HealthState::Healthy)
    Peers.m_FailureRate +=
        RateWeight * ((HasFailed ? 1.0 : 0.0) - Peers.m_FailureRate);
  m_Chart.fire(Tested,
               HasFailed ? HealthEvent::Failed : HealthEvent::Succeeded);
  if (IsFaulty)
    m_Chart.fire(Tested, HealthEvent::FailureDetected);
}

std::uint32_t WorkerHealth::limitedWorkers() const {
  return static_cast<std::uint32_t>(
      std::count_if(m_Workers.begin(), m_Workers.end(), [](const auto &Item) {
        return Item.second.m_State != HealthState::Healthy;
      }));
}

bool WorkerHealth::mayEject(const Worker &Suspect) const {
  const Service &Peers = m_Services.at(Suspect.m_Service);
  return Peers.m_Ejected + 1 <= MaxEjectedRatio * Peers.m_Workers;
}

void WorkerHealth::eject(Worker &Faulty) {
  m_Metrics.count(Metric::WorkersEjected);
  logEvent(LogLevel::Warning, "worker.ejected",
           {{"worker", toString(Faulty.m_Id)}, {"service", Faulty.m_Service}});
  ++m_Services[Faulty.m_Service].m_Ejected;
  Faulty.m_Probes = 0;
  Faulty.m_Pause =
      std::clamp(Faulty.m_Pause * 2, MinEjectionPause, MaxEjectionPause);
  setLimit(Faulty, 0);
  Incarnation Id = Faulty.m_Id;
  Faulty.m_Timer = m_Timers.subscribe(Faulty.m_Pause, [this, Id] {
    m_Chart.fire(m_Workers.at(Id), HealthEvent::PauseOver);
  });
}

void WorkerHealth::setLimit(Worker &Limited, std::uint32_t Limit) {
  Limited.m_Limit = Limit;
  if (m_LimitChanged)
    m_LimitChanged(Limited.m_Id, Limit);
}

} // namespace cyclamenwalk
