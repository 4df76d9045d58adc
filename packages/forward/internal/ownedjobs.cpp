#include "forward/internal/ownedjobs.h"

#include "core/log.h"

#include <algorithm>
#include <utility>

namespace cyclamenwalk {

namespace {

constexpr Duration DrainingRetryAfter = seconds(1);
/// An answer has arrived after this time, unless its link has stalled.
constexpr Duration AnswerFlushTime = milliseconds(300);

} // namespace

OwnedJobs::OwnedJobs(ForwardDependencies Dependencies,
                     std::function<PlacerState()> CurrentState)
    : m_Dependencies(Dependencies), m_CurrentState(std::move(CurrentState)),
      m_Chart(bindChart(Dependencies.m_Charts)) {}

OwnedJobs::Chart OwnedJobs::bindChart(const IChartSource &Charts) {
  return Chart(Charts.chart("ownedjob"), {},
               {{"sendAnswer", [this](OwnedJob &Job) { sendAnswer(Job); }},
                {"cancelJob", [this](OwnedJob &Job) {
                   m_Dependencies.m_Jobs.removeCaller(Job.m_Job);
                 }}});
}

void OwnedJobs::receive(Incarnation Forwarder, ForwardJob Body) {
  auto Job = std::make_shared<OwnedJob>();
  Job->m_State = m_Chart.initial();
  Job->m_Forwarder = Forwarder;
  Job->m_Request = Body.m_Request;
  logEvent(LogLevel::Info, "job.received",
           {{"job", Body.m_Spec.m_Name},
            {"forwarder", toString(Forwarder)},
            {"age_ms", toMilliseconds(Body.m_Spec.m_Age)},
            {"draining", m_IsDraining ? "yes" : "no"}});
  if (m_IsDraining) {
    Job->m_Answer.m_Code = ResultCode::Draining;
    Job->m_Answer.m_RetryAfter = DrainingRetryAfter;
    return fire(Job, OwnedJobEvent::Ended);
  }
  m_Jobs[{Forwarder, Body.m_Request}] = Job;
  countRunning(*Job);
  // The callback may come before submit() returns.
  Job->m_Job = m_Dependencies.m_Jobs.submit(
      std::move(Body.m_Spec), [this, Job](const BatchAnswer &Answer) {
        Job->m_Answer = Answer;
        fire(Job, OwnedJobEvent::Ended);
      });
}

void OwnedJobs::cancel(Incarnation Forwarder, const CancelForwardedJob &Body) {
  auto It = m_Jobs.find({Forwarder, Body.m_Request});
  if (It != m_Jobs.end())
    fire(JobPointer(It->second), OwnedJobEvent::Cancel);
}

void OwnedJobs::forwarderDown(Incarnation Forwarder) {
  std::vector<JobPointer> Abandoned;
  for (const auto &Item : m_Jobs)
    if (Item.first.first == Forwarder)
      Abandoned.push_back(Item.second);
  if (!Abandoned.empty())
    logEvent(
        LogLevel::Warning, "jobs.abandoned",
        {{"forwarder", toString(Forwarder)},
         {"jobs", Abandoned.size()},
         {"confirmed_age_ms",
          toMilliseconds(m_Dependencies.m_Timers.now() -
                         m_Dependencies.m_Links.confirmedAliveAt(Forwarder))}});
  for (const JobPointer &Job : Abandoned)
    fire(Job, OwnedJobEvent::ForwarderLost);
}

void OwnedJobs::fire(const JobPointer &Job, OwnedJobEvent Event) {
  m_Chart.fire(*Job, Event);
  // Counted until here: orders to stop that the actions send to agents go with
  // the last confirmation that the forwarder was alive.
  if (Job->m_State != OwnedJobState::Running)
    uncountRunning(*Job);
  if (Job->m_State == OwnedJobState::Ended)
    m_Jobs.erase({Job->m_Forwarder, Job->m_Request});
}

void OwnedJobs::countRunning(OwnedJob &Job) {
  Job.m_IsCounted = true;
  ++m_RunningJobs[Job.m_Forwarder];
}

void OwnedJobs::uncountRunning(OwnedJob &Job) {
  if (!std::exchange(Job.m_IsCounted, false))
    return;
  auto It = m_RunningJobs.find(Job.m_Forwarder);
  if (--It->second == 0)
    m_RunningJobs.erase(It);
}

TimePoint OwnedJobs::forwardersAliveAt() const {
  TimePoint AliveAt = TimePoint::max();
  for (const auto &Item : m_RunningJobs)
    AliveAt =
        std::min(AliveAt, m_Dependencies.m_Links.confirmedAliveAt(Item.first));
  return AliveAt;
}

bool OwnedJobs::hasRecentAnswers() const {
  return m_Dependencies.m_Timers.now() - m_LastAnswerAt < AnswerFlushTime;
}

void OwnedJobs::sendAnswer(const OwnedJob &Job) {
  m_LastAnswerAt = m_Dependencies.m_Timers.now();
  Duration RetryAfter = Job.m_Answer.m_RetryAfter.value_or(Duration::zero());
  m_Dependencies.m_Links.send(
      Job.m_Forwarder, ForwardedJobAnswer{Job.m_Request, Job.m_Answer.m_Code,
                                          RetryAfter, m_CurrentState()});
}

} // namespace cyclamenwalk
