#ifndef CYCLAMENWALK_BATCH_TESTS_SERVERMODEL_H
#define CYCLAMENWALK_BATCH_TESTS_SERVERMODEL_H

#include "core/itimerservice.h"
#include "message/types/messages.h"
#include "policy/types/placement.h"

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <string>

namespace cyclamenwalk {

/// An agent and its backend server for replays: a queue by order key, runs that
/// end after the microseconds in PlaceTasks::m_Spec over the speed, and
/// reports.
class ServerModel {
public:
  using Send = std::function<void(Incarnation Entry, Message Body)>;

  ServerModel(std::int64_t Cores, double Speed, ITimerService &Timers,
              Send SendToEntry)
      : m_Speed(Speed), m_Timers(Timers), m_Send(std::move(SendToEntry)) {
    m_Capacity = {Cores * 1000, 1 << 20, 0};
  }

  void receive(Incarnation Entry, const Message &Body) {
    if (const auto *Placement = std::get_if<PlaceTasks>(&Body))
      place(Entry, *Placement);
    else if (const auto *Stop = std::get_if<StopJob>(&Body))
      stop(Stop->m_Job);
  }

  /// Returns what waits; runs in progress end.
  void leave() {
    m_IsAccepting = false;
    while (!m_Queue.empty()) {
      Run Waiting = m_Queue.begin()->second;
      m_Queue.erase(m_Queue.begin());
      finish(Waiting, RunOutcome::NotStarted);
    }
  }

  void comeBack() { m_IsAccepting = true; }

  WorkerReport report(Incarnation Entry) {
    WorkerReport Report;
    Report.m_Service = "replay";
    Report.m_Kind = m_Speed > 1 ? "fast" : "usual";
    Report.m_Capacity = m_Capacity;
    Report.m_Free = m_Capacity - m_Used;
    Report.m_IsAccepting = m_IsAccepting;
    Report.m_SlowdownPercent = static_cast<std::uint32_t>(100 / m_Speed);
    Report.m_MeanRemaining = meanRemaining();
    for (const auto &Item : m_Queue)
      Report.m_Waiting.push_back(
          {Item.first - m_Timers.now(), Item.second.m_Required.m_MilliCores});
    Report.m_PlacementsSeen = m_Seen[Entry];
    return Report;
  }

private:
  struct Run {
    Incarnation m_Entry;
    RunResult m_Result;
    Resources m_Required;
    Duration m_Expected{};
    Duration m_Actual{};
    TimePoint m_LatestStart;
    TimePoint m_StartedAt;
  };

  void place(Incarnation Entry, const PlaceTasks &Body) {
    m_Seen[Entry] += Body.m_Tasks.size();
    TimePoint Now = m_Timers.now();
    for (const PlacedTask &Task : Body.m_Tasks) {
      Run New{Entry,
              {Body.m_Job, Task.m_Index, Task.m_Run, {}, {}, {}},
              Body.m_Required,
              scaled(Body.m_ExpectedRunTime, 1 / m_Speed),
              scaled(microseconds(std::stoll(Body.m_Spec)), 1 / m_Speed),
              Now + Body.m_StartWithin,
              {}};
      TimePoint OrderKey = Now + Body.m_OrderWithin;
      if (m_IsAccepting && wait(OrderKey, New.m_Required) <= Body.m_MaxWait)
        m_Queue.emplace(OrderKey, New);
      else
        finish(New, RunOutcome::NotStarted);
      startNext();
    }
  }

  Duration wait(TimePoint OrderKey, const Resources &Required) const {
    std::int64_t Ahead = 0;
    for (const auto &Item : m_Queue)
      if (Item.first <= OrderKey)
        Ahead += Item.second.m_Required.m_MilliCores;
    Resources Free = m_Capacity - m_Used;
    if (Ahead == 0 && Free.canFit(Required))
      return Duration::zero();
    return forecastResourceWait(m_Capacity, meanRemaining(),
                                Ahead + Required.m_MilliCores -
                                    Free.m_MilliCores);
  }

  Duration meanRemaining() const {
    double Sum = 0;
    double Weights = 0;
    for (const Run &Active : m_Active) {
      auto Weight = static_cast<double>(Active.m_Required.m_MilliCores);
      Duration Left = Active.m_StartedAt + Active.m_Expected - m_Timers.now();
      Sum +=
          Weight * static_cast<double>(
                       std::max(Left, scaled(Active.m_Expected, 0.3)).count());
      Weights += Weight;
    }
    return Weights > 0 ? Duration(static_cast<Duration::rep>(Sum / Weights))
                       : Duration::zero();
  }

  void startNext() {
    constexpr Duration MinOvertakeMargin = milliseconds(30);
    for (auto It = m_Queue.begin(); It != m_Queue.end();) {
      Resources Free = m_Capacity - m_Used;
      if (Free.canFit(It->second.m_Required)) {
        start(It->second);
        It = m_Queue.erase(It);
      } else if (It->first - m_Timers.now() > MinOvertakeMargin) {
        ++It;
      } else {
        return;
      }
    }
  }

  void start(Run Started) {
    m_Used += Started.m_Required;
    Started.m_StartedAt = m_Timers.now();
    Started.m_Result.m_StartMargin =
        Started.m_LatestStart - Started.m_StartedAt;
    auto Active = m_Active.insert(m_Active.end(), Started);
    m_Timers.subscribe(Started.m_Actual,
                       [this, Active] { end(Active, RunOutcome::Succeeded); });
  }

  void end(std::list<Run>::iterator Active, RunOutcome Outcome) {
    bool WasStopped = Active->m_Result.m_RunOutcome == RunOutcome::Stopped;
    Run Ended = *Active;
    m_Active.erase(Active);
    if (WasStopped)
      return;
    m_Used -= Ended.m_Required;
    startNext();
    finish(Ended, Outcome);
  }

  void stop(JobId Job) {
    for (auto It = m_Queue.begin(); It != m_Queue.end();)
      It = It->second.m_Result.m_Job == Job ? m_Queue.erase(It) : std::next(It);
    for (Run &Active : m_Active) {
      bool Stops = Active.m_Result.m_Job == Job &&
                   Active.m_Result.m_RunOutcome != RunOutcome::Stopped;
      if (!Stops)
        continue;
      Active.m_Result.m_RunOutcome = RunOutcome::Stopped;
      m_Used -= Active.m_Required;
    }
    startNext();
  }

  void finish(const Run &Ended, RunOutcome Outcome) {
    RunResults Body;
    Body.m_RunResults.push_back(Ended.m_Result);
    Body.m_RunResults.back().m_RunOutcome = Outcome;
    Body.m_Report = report(Ended.m_Entry);
    m_Send(Ended.m_Entry, std::move(Body));
  }

  Resources m_Capacity;
  Resources m_Used;
  const double m_Speed;
  ITimerService &m_Timers;
  const Send m_Send;
  bool m_IsAccepting = true;
  std::map<Incarnation, std::uint64_t> m_Seen;
  std::multimap<TimePoint, Run> m_Queue;
  std::list<Run> m_Active;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_TESTS_SERVERMODEL_H
