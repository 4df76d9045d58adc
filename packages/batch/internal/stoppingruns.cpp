#include "batch/internal/stoppingruns.h"

#include "core/log.h"

#include <vector>

namespace cyclamenwalk {

StoppingRuns::StoppingRuns(Duration LapseTime, const IChartSource &Charts,
                           ITimerService &Timers)
    : m_LapseTime(LapseTime), m_Timers(Timers), m_Chart(bindChart(Charts)) {}

StoppingRuns::~StoppingRuns() {
  for (const auto &Item : m_Runs)
    m_Timers.cancel(Item.second->m_Timer);
}

StoppingRuns::Chart StoppingRuns::bindChart(const IChartSource &Charts) {
  return Chart(Charts.chart("stoppingrun"), {},
               {{"awaitLapse", [this](StoppingRun &Run) { awaitLapse(Run); }}});
}

void StoppingRuns::add(const BatchTask &Task, bool IsAgentLost) {
  auto Added = std::make_shared<StoppingRun>();
  Added->m_State = m_Chart.initial();
  Added->m_Key = {Task.m_Agent, Task.m_Job->m_Id, Task.m_Index, Task.m_Run};
  Added->m_Job = Task.m_Job->m_Spec.m_Name;
  m_Runs.emplace(Added->m_Key, Added);
  HeldName &Name = m_Names[Added->m_Job];
  if (Name.m_Runs++ == 0) {
    Name.m_Since = m_Timers.now();
    logEvent(LogLevel::Info, "job.name_held", {{"job", Added->m_Job}});
  }
  if (IsAgentLost)
    fire(Added, StoppingRunEvent::AgentLost);
}

bool StoppingRuns::receiveResult(Incarnation Agent, const RunResult &Result) {
  auto It = m_Runs.find({Agent, Result.m_Job, Result.m_Index, Result.m_Run});
  if (It == m_Runs.end())
    return false;
  fire(RunPointer(It->second), StoppingRunEvent::Ended);
  return true;
}

void StoppingRuns::agentLost(Incarnation Agent) {
  std::vector<RunPointer> Lost;
  for (const auto &Item : m_Runs)
    if (std::get<Incarnation>(Item.first) == Agent)
      Lost.push_back(Item.second);
  for (const RunPointer &Run : Lost)
    fire(Run, StoppingRunEvent::AgentLost);
}

bool StoppingRuns::hasRunsOf(const std::string &Job) const {
  return m_Names.count(Job) > 0;
}

void StoppingRuns::awaitLapse(StoppingRun &Run) {
  Key RunKey = Run.m_Key;
  Run.m_Timer = m_Timers.subscribe(m_LapseTime, [this, RunKey] {
    fire(RunPointer(m_Runs.at(RunKey)), StoppingRunEvent::Lapsed);
  });
}

void StoppingRuns::fire(const RunPointer &Run, StoppingRunEvent Event) {
  m_Chart.fire(*Run, Event);
  if (Run->m_State != StoppingRunState::Ended)
    return;
  m_Timers.cancel(Run->m_Timer);
  m_Runs.erase(Run->m_Key);
  release(*Run, Event);
}

void StoppingRuns::release(const StoppingRun &Ended, StoppingRunEvent Cause) {
  auto It = m_Names.find(Ended.m_Job);
  if (--It->second.m_Runs > 0)
    return;
  auto Index = static_cast<std::size_t>(Cause);
  logEvent(LogLevel::Info, "job.name_released",
           {{"job", Ended.m_Job},
            {"cause", std::string(ChartNames<StoppingRunEvent>::Values[Index])},
            {"held_ms", toMilliseconds(m_Timers.now() - It->second.m_Since)}});
  m_Names.erase(It);
}

} // namespace cyclamenwalk
