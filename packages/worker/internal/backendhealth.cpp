#include "worker/internal/backendhealth.h"

#include "core/log.h"

#include <algorithm>
#include <limits>

namespace cyclamenwalk {

namespace {

/// The pause doubles with each suspension until the server recovers.
constexpr Duration MinPause = milliseconds(700);
constexpr Duration MaxPause = milliseconds(1400);
constexpr std::uint32_t MinProbes = 2;
/// Assumed failure rate of other workers, which an agent cannot see.
constexpr double PeerFailureRate = 0.01;

} // namespace

BackendHealth::BackendHealth(std::string Instance, FailureTest Test,
                             const IChartSource &Charts, ITimerService &Timers,
                             std::function<void()> Changed)
    : m_Instance(std::move(Instance)), m_Test(std::move(Test)),
      m_Timers(Timers), m_Changed(std::move(Changed)), m_Chart(bind(Charts)) {
  m_Context.m_State = m_Chart.initial();
}

BackendHealth::~BackendHealth() { m_Timers.cancel(m_Timer); }

BackendHealth::Chart BackendHealth::bind(const IChartSource &Charts) {
  return Chart(Charts.chart("condition"),
               {{"hasEnoughProbes",
                 [](const Context &C) { return C.m_Probes + 1 >= MinProbes; }},
                {"hasStalled", [](const Context &C) { return C.m_HasStalled; }},
                {"hasStalledAndEnoughProbes",
                 [](const Context &C) {
                   return C.m_HasStalled && C.m_Probes + 1 >= MinProbes;
                 }}},
               {{"setStalled", [](Context &C) { C.m_HasStalled = true; }},
                {"clearStalled", [](Context &C) { C.m_HasStalled = false; }},
                {"suspendBackend", [this](Context &C) { suspendBackend(C); }},
                {"startReturnPause",
                 [this](Context &C) { startPause(C.m_ReturnPause); }},
                {"resetProbes", [](Context &C) { C.m_Probes = 0; }},
                {"countProbe", [](Context &C) { ++C.m_Probes; }},
                {"resetPause", [](Context &C) { C.m_Pause = {}; }}});
}

void BackendHealth::fire(BackendHealthEvent Event) {
  BackendHealthState PreviousState = m_Context.m_State;
  m_Chart.fire(m_Context, Event);
  if (PreviousState == m_Context.m_State)
    return;
  auto StateIndex = static_cast<std::size_t>(m_Context.m_State);
  auto EventIndex = static_cast<std::size_t>(Event);
  logEvent(LogLevel::Warning, "backend.health_changed",
           {{"instance", m_Instance},
            {"state",
             std::string(ChartNames<BackendHealthState>::Values[StateIndex])},
            {"cause",
             std::string(ChartNames<BackendHealthEvent>::Values[EventIndex])},
            {"pause_ms", toMilliseconds(m_Context.m_Pause)}});
  m_Changed();
}

void BackendHealth::suspendBackend(Context &Suspended) {
  Suspended.m_Pause = std::clamp(Suspended.m_Pause * 2, MinPause, MaxPause);
  startPause(Suspended.m_Pause);
}

void BackendHealth::startPause(Duration Pause) {
  m_Timers.cancel(m_Timer);
  m_Timer = m_Timers.subscribe(Pause, [this] {
    m_Timer = 0;
    fire(BackendHealthEvent::PauseOver);
  });
}

void BackendHealth::recordLosses(Duration Pause) {
  m_Context.m_ReturnPause = Pause;
  fire(BackendHealthEvent::Flapping);
}

void BackendHealth::recordStall() { fire(BackendHealthEvent::Stalled); }

void BackendHealth::recordProgress() { fire(BackendHealthEvent::Progressed); }

void BackendHealth::recordEnd(bool HasFailed) {
  bool IsFailureRateHigh = m_Test({HasFailed, PeerFailureRate, m_Timers.now()});
  fire(HasFailed ? BackendHealthEvent::Failed : BackendHealthEvent::Succeeded);
  if (IsFailureRateHigh)
    fire(BackendHealthEvent::FailureRateHigh);
}

std::size_t BackendHealth::runLimit() const {
  switch (m_Context.m_State) {
  case BackendHealthState::Healthy:
    return std::numeric_limits<std::size_t>::max();
  case BackendHealthState::Suspended:
    return 0;
  case BackendHealthState::Probing:
    return 1 + m_Context.m_Probes;
  }
  return 0;
}

} // namespace cyclamenwalk
