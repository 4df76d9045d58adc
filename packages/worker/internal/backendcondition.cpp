#include "worker/internal/backendcondition.h"

#include "core/log.h"

#include <algorithm>
#include <limits>

namespace cyclamenwalk {

namespace {

/// How long a server rests; the pause doubles while it does not recover.
constexpr Duration FirstPause = milliseconds(700);
constexpr Duration LongestPause = milliseconds(1400);
constexpr std::uint32_t ProbesNeeded = 2;
/// What an agent takes for the usual share of failures: it sees no peers.
constexpr double UsualFailureRate = 0.01;

} // namespace

BackendCondition::BackendCondition(std::string Instance, FailureTest Test,
                                   const IChartSource &Charts,
                                   ITimerService &Timers,
                                   std::function<void()> Changed)
    : m_Instance(std::move(Instance)), m_Test(std::move(Test)),
      m_Timers(Timers), m_Changed(std::move(Changed)), m_Chart(bind(Charts)) {
  m_Context.m_State = m_Chart.initial();
}

BackendCondition::~BackendCondition() { m_Timers.cancel(m_Timer); }

BackendCondition::Chart BackendCondition::bind(const IChartSource &Charts) {
  return Chart(
      Charts.chart("condition"),
      {{"hasEnoughProbes",
        [](const Context &C) { return C.m_Probes + 1 >= ProbesNeeded; }},
       {"hasStalled", [](const Context &C) { return C.m_HasStalled; }},
       {"hasStalledEnoughProbes",
        [](const Context &C) {
          return C.m_HasStalled && C.m_Probes + 1 >= ProbesNeeded;
        }}},
      {{"noteStall", [](Context &C) { C.m_HasStalled = true; }},
       {"noteFailing", [](Context &C) { C.m_HasStalled = false; }},
       {"rest", [this](Context &C) { rest(C); }},
       {"probe", [](Context &C) { C.m_Probes = 0; }},
       {"countProbe", [](Context &C) { ++C.m_Probes; }},
       {"recover", [](Context &C) { C.m_Pause = {}; }}});
}

void BackendCondition::fire(ConditionEvent What) {
  ConditionState Before = m_Context.m_State;
  m_Chart.fire(m_Context, What);
  if (Before == m_Context.m_State)
    return;
  auto State = static_cast<std::size_t>(m_Context.m_State);
  auto Event = static_cast<std::size_t>(What);
  logEvent(
      LogLevel::Warning, "backend.condition",
      {{"instance", m_Instance},
       {"condition", std::string(ChartNames<ConditionState>::Values[State])},
       {"cause", std::string(ChartNames<ConditionEvent>::Values[Event])},
       {"pause_ms", toMilliseconds(m_Context.m_Pause)}});
  m_Changed();
}

void BackendCondition::rest(Context &Resting) {
  Resting.m_Pause = std::clamp(Resting.m_Pause * 2, FirstPause, LongestPause);
  m_Timers.cancel(m_Timer);
  m_Timer = m_Timers.subscribe(Resting.m_Pause, [this] {
    m_Timer = 0;
    fire(ConditionEvent::PauseOver);
  });
}

void BackendCondition::noteStall() { fire(ConditionEvent::Stalled); }

void BackendCondition::noteProgress() { fire(ConditionEvent::GotOn); }

void BackendCondition::noteEnd(bool HasFailed) {
  bool IsCondemned = m_Test({HasFailed, UsualFailureRate, m_Timers.now()});
  fire(HasFailed ? ConditionEvent::Failed : ConditionEvent::Succeeded);
  if (IsCondemned)
    fire(ConditionEvent::Failing);
}

std::size_t BackendCondition::limit() const {
  switch (m_Context.m_State) {
  case ConditionState::Sound:
    return std::numeric_limits<std::size_t>::max();
  case ConditionState::Resting:
    return 0;
  case ConditionState::Probing:
    return 1 + m_Context.m_Probes;
  }
  return 0;
}

} // namespace cyclamenwalk
