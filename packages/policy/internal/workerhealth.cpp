#include "policy/internal/workerhealth.h"

#include "core/log.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// Largest share of a service's workers that may be ejected at once.
constexpr double MaxEjectedShare = 0.3;
constexpr Duration FirstPause = seconds(5);
constexpr Duration LongestPause = seconds(300);
constexpr std::uint32_t ProbesNeeded = 3;
constexpr std::uint32_t FullyRampedLimit = 8;
/// Weight of one result in the running failure rate of a service.
constexpr double RateWeight = 0.01;

} // namespace

WorkerHealth::WorkerHealth(FailureTestFactory MakeTest,
                           const IChartSource &Charts, ITimerService &Timers,
                           IMetrics &Metrics)
    : m_MakeTest(std::move(MakeTest)), m_Timers(Timers), m_Metrics(Metrics),
      m_Chart(bindChart(Charts)) {}

WorkerHealth::~WorkerHealth() {
  for (auto &Known : m_Workers)
    m_Timers.cancel(Known.second.m_Timer);
}

WorkerHealth::Chart WorkerHealth::bindChart(const IChartSource &Charts) {
  return Chart(
      Charts.chart("workerhealth"),
      {{"mayEject", [this](const Worker &W) { return mayEject(W); }},
       {"hasEnoughProbes",
        [](const Worker &W) { return W.m_Probes + 1 >= ProbesNeeded; }},
       {"isFullyRamped",
        [](const Worker &W) { return W.m_Limit >= FullyRampedLimit; }}},
      {{"eject", [this](Worker &W) { eject(W); }},
       {"countReturn",
        [this](Worker &W) { --m_Services[W.m_Service].m_Ejected; }},
       {"countProbe", [](Worker &W) { ++W.m_Probes; }},
       {"allowOne", [this](Worker &W) { setLimit(W, 1); }},
       {"allowMore", [this](Worker &W) { setLimit(W, W.m_Limit * 2); }},
       {"allowAll", [this](Worker &W) {
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
  auto Found = m_Workers.find(Id);
  if (Found == m_Workers.end())
    return;
  Worker &Gone = Found->second;
  m_Timers.cancel(Gone.m_Timer);
  Service &Owner = m_Services[Gone.m_Service];
  --Owner.m_Workers;
  if (Gone.m_State == HealthState::Ejected)
    --Owner.m_Ejected;
  m_Workers.erase(Found);
}

void WorkerHealth::record(Incarnation Id, bool HasFailed) {
  auto Found = m_Workers.find(Id);
  if (Found == m_Workers.end())
    return;
  Worker &Known = Found->second;
  Service &Owner = m_Services[Known.m_Service];
  bool IsCondemned =
      Known.m_Test({HasFailed, Owner.m_FailureRate, m_Timers.now()});
  // The results of an ejected worker would hide what its peers do.
  if (Known.m_State == HealthState::Healthy)
    Owner.m_FailureRate +=
        RateWeight * ((HasFailed ? 1.0 : 0.0) - Owner.m_FailureRate);
  m_Chart.fire(Known, HasFailed ? HealthEvent::Failed : HealthEvent::Succeeded);
  if (IsCondemned)
    m_Chart.fire(Known, HealthEvent::Condemned);
}

std::uint32_t WorkerHealth::limited() const {
  return static_cast<std::uint32_t>(
      std::count_if(m_Workers.begin(), m_Workers.end(), [](const auto &Known) {
        return Known.second.m_State != HealthState::Healthy;
      }));
}

bool WorkerHealth::mayEject(const Worker &Known) const {
  const Service &Owner = m_Services.at(Known.m_Service);
  return Owner.m_Ejected + 1 <= MaxEjectedShare * Owner.m_Workers;
}

void WorkerHealth::eject(Worker &Known) {
  m_Metrics.count(Metric::WorkersEjected);
  logEvent(LogLevel::Warning, "worker.ejected",
           {{"worker", toString(Known.m_Id)}, {"service", Known.m_Service}});
  ++m_Services[Known.m_Service].m_Ejected;
  Known.m_Probes = 0;
  Known.m_Pause = std::clamp(Known.m_Pause * 2, FirstPause, LongestPause);
  setLimit(Known, 0);
  Incarnation Id = Known.m_Id;
  Known.m_Timer = m_Timers.subscribe(Known.m_Pause, [this, Id] {
    m_Chart.fire(m_Workers.at(Id), HealthEvent::PauseOver);
  });
}

void WorkerHealth::setLimit(Worker &Known, std::uint32_t Limit) {
  Known.m_Limit = Limit;
  if (m_LimitChanged)
    m_LimitChanged(Known.m_Id, Limit);
}

} // namespace cyclamenwalk
