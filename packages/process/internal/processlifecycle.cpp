#include "process/processlifecycle.h"

#include "core/log.h"
#include "statechart/boundchart.h"

#include <atomic>

namespace cyclamenwalk {

enum class ProcessState { Starting, Serving, Draining, Drained, Stopped };
enum class ProcessEvent { Ready, Drain, Check, Limit, Settled };

template <> struct ChartNames<ProcessState> {
  static constexpr std::array<std::string_view, 5> Values{
      "starting", "serving", "draining", "drained", "stopped"};
};
template <> struct ChartNames<ProcessEvent> {
  static constexpr std::array<std::string_view, 5> Values{
      "ready", "drain", "check", "limit", "settled"};
};

namespace {

/// How often a drain checks whether work is in flight.
constexpr Duration CheckPeriod = milliseconds(50);
/// The time for responses that were handed over to leave the process.
constexpr Duration SettlePeriod = milliseconds(500);

} // namespace

class ProcessLifecycle::Impl {
public:
  Impl(Hooks NewHooks, Duration DrainLimit, const IChartSource &Charts,
       ITimerService &Timers)
      : m_Hooks(std::move(NewHooks)), m_DrainLimit(DrainLimit),
        m_Timers(Timers), m_Chart(bind(Charts)) {
    m_Context.m_State = m_Chart.initial();
    m_PublishedState = m_Context.m_State;
  }

  ~Impl() {
    m_Timers.cancel(m_CheckTimer);
    m_Timers.cancel(m_LimitTimer);
    m_Timers.cancel(m_SettleTimer);
  }

  void setDrainLimit(Duration DrainLimit) { m_DrainLimit = DrainLimit; }

  void fire(ProcessEvent Event) {
    ProcessState OldState = m_Context.m_State;
    m_Chart.fire(m_Context, Event);
    m_PublishedState = m_Context.m_State;
    if (OldState != m_Context.m_State)
      logEvent(LogLevel::Info, "process.state", {{"state", name()}});
  }

  ProcessState state() const { return m_PublishedState; }

  const char *name() const {
    auto Index = static_cast<std::size_t>(m_PublishedState.load());
    return ChartNames<ProcessState>::Values[Index].data();
  }

private:
  struct Context {
    ProcessState m_State = ProcessState::Starting;
  };
  using Chart = BoundChart<Context, ProcessState, ProcessEvent>;

  Chart bind(const IChartSource &Charts) {
    return Chart(
        Charts.chart("process"),
        {{"isIdle", [this](const Context &) { return m_Hooks.m_IsIdle(); }}},
        {{"beginDrain", [this](Context &) { beginDrain(); }},
         {"leave", [this](Context &) { leave(); }},
         {"stop", [this](Context &) { m_Hooks.m_Stop(); }}});
  }

  void beginDrain() {
    m_Hooks.m_BeginDrain();
    m_CheckTimer = m_Timers.subscribeEvery(
        CheckPeriod, [this] { fire(ProcessEvent::Check); });
    m_LimitTimer = m_Timers.subscribe(m_DrainLimit, [this] {
      logEvent(LogLevel::Warning, "process.drain_limit");
      fire(ProcessEvent::Limit);
    });
  }

  void leave() {
    m_Timers.cancel(m_CheckTimer);
    m_Timers.cancel(m_LimitTimer);
    m_Hooks.m_Leave();
    m_SettleTimer = m_Timers.subscribe(SettlePeriod,
                                       [this] { fire(ProcessEvent::Settled); });
  }

  const Hooks m_Hooks;
  Duration m_DrainLimit;
  ITimerService &m_Timers;
  const Chart m_Chart;
  Context m_Context;
  std::atomic<ProcessState> m_PublishedState;
  TimerId m_CheckTimer = 0;
  TimerId m_LimitTimer = 0;
  TimerId m_SettleTimer = 0;
};

ProcessLifecycle::ProcessLifecycle(Hooks NewHooks, Duration DrainLimit,
                                   const IChartSource &Charts,
                                   ITimerService &Timers)
    : m_Impl(std::make_unique<Impl>(std::move(NewHooks), DrainLimit, Charts,
                                    Timers)) {}
ProcessLifecycle::~ProcessLifecycle() = default;

void ProcessLifecycle::setDrainLimit(Duration DrainLimit) {
  m_Impl->setDrainLimit(DrainLimit);
}
void ProcessLifecycle::ready() { m_Impl->fire(ProcessEvent::Ready); }
void ProcessLifecycle::drain() { m_Impl->fire(ProcessEvent::Drain); }
bool ProcessLifecycle::isServing() const {
  return m_Impl->state() == ProcessState::Serving;
}
const char *ProcessLifecycle::stateName() const { return m_Impl->name(); }

} // namespace cyclamenwalk
