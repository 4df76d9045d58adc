#include "batch/internal/jobadmission.h"

#include "core/log.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

constexpr double Percent = 100;
constexpr double MaxLoggedRatio = 100;
constexpr double MilliCoresPerCore = 1000;

int toPercent(double Ratio) {
  return static_cast<int>(Percent * std::min(Ratio, MaxLoggedRatio));
}

std::int64_t widthOf(const BatchSpec &Spec) {
  return Spec.m_Required.m_MilliCores * std::int64_t(Spec.m_Tasks);
}

/// Cores times seconds.
double workOf(const BatchSpec &Spec) {
  return static_cast<double>(widthOf(Spec)) / MilliCoresPerCore *
         std::chrono::duration<double>(Spec.m_EstimatedRunTime).count();
}

} // namespace

JobAdmission::JobAdmission(const BatchSettings &Settings,
                           const BatchHooks &Hooks, ITimerService &Timers,
                           IMetrics &Metrics)
    : m_IsFair(Settings.m_FairAdmission),
      m_Admission(m_IsFair ? Hooks.m_FairAdmission : Hooks.m_Admission),
      m_Timers(Timers), m_Metrics(Metrics),
      m_SlackControl(Hooks.m_SlackControl()) {}

ObjectiveView JobAdmission::view(const BatchJob &Job,
                                 const PlacementJob &Request,
                                 const PlacementPlan &Plan,
                                 const WorkerTable &Workers) const {
  ObjectiveView View;
  View.m_LongestWait = Plan.m_LongestWait;
  View.m_SlackUse = Plan.m_SlackUse;
  View.m_StartWithin = Request.m_StartWithin;
  View.m_Remaining = Job.m_Spec.m_Deadline - Job.m_Spec.m_Age;
  View.m_ExpectedRunTime = Request.m_ExpectedRunTime;
  View.m_CoreUtilization = Workers.coreUtilization(Job.m_Spec.m_Service);
  View.m_SlackRatio = m_SlackRatio;
  View.m_Priority = Job.m_Spec.m_Priority;
  return View;
}

bool JobAdmission::admit(BatchJob &Job, const PlacementJob &Request,
                         const PlacementPlan &Plan,
                         const WorkerTable &Workers) {
  ObjectiveView View = view(Job, Request, Plan, Workers);
  GroupShare Share;
  bool IsAdmitted =
      m_IsFair ? admitByShare(Job, View, Share) : m_Admission(View);
  std::vector<LogField> Fields{
      {"slack_percent", toPercent(View.m_SlackRatio)},
      {"report_age_ms",
       toMilliseconds(Workers.oldestReportAge(Job.m_Spec.m_Service))},
      {"finish_ms", toMilliseconds(Plan.m_FinishWithin)}};
  if (m_IsFair && !IsAdmitted) {
    Fields.emplace_back("group", toString(Job.m_Group));
    Fields.emplace_back("ratio_percent",
                        toPercent(View.m_SlackRatio * View.m_ShareCorrection));
    Fields.emplace_back("share_percent", toPercent(Share.m_Served));
    Fields.emplace_back("target_percent", toPercent(Share.m_Target));
  }
  logDecision(Job, Request, Plan, IsAdmitted, std::move(Fields));
  return IsAdmitted;
}

bool JobAdmission::admitByShare(BatchJob &Job, ObjectiveView &View,
                                GroupShare &Share) {
  TimePoint Now = m_Timers.now();
  const BatchSpec &Spec = Job.m_Spec;
  Job.m_Group = {Spec.m_Route, Spec.m_OriginDomain,
                 m_WidthClasses.classify(Spec.m_Route, widthOf(Spec))};
  if (!Spec.m_WasRefused)
    m_GroupWork.addOffered(Job.m_Group, Spec.m_Priority, workOf(Spec), Now);
  Share = m_GroupWork.share(Job.m_Group, Now);
  View.m_SlackRatio = m_GroupSlack.ratio(Job.m_Group, Now);
  bool IsAdmittedAnyway = m_Admission(View);
  View.m_ShareCorrection = shareCorrection(Share);
  bool IsAdmitted = m_Admission(View);
  if (IsAdmitted) {
    m_GroupWork.addServed(Job.m_Group, Now);
    Job.m_IsCountedAsServed = true;
  }
  if (IsAdmitted != IsAdmittedAnyway)
    m_Metrics.count(IsAdmitted ? Metric::JobsAdmittedByShare
                               : Metric::JobsRefusedByShare);
  return IsAdmitted;
}

void JobAdmission::logDecision(const BatchJob &Job, const PlacementJob &Request,
                               const PlacementPlan &Plan, bool IsAdmitted,
                               std::vector<LogField> MoreFields) {
  const BatchSpec &Spec = Job.m_Spec;
  std::vector<LogField> Fields{
      {"job", Spec.m_Name},
      {"route", Spec.m_Route},
      {"configuration", Spec.m_ConfigurationVersion},
      {"tasks", Spec.m_Tasks},
      {"millicores", Spec.m_Required.m_MilliCores},
      {"estimated_ms", toMilliseconds(Spec.m_EstimatedRunTime)},
      {"deadline_ms", toMilliseconds(Spec.m_Deadline)},
      {"wait_ms", toMilliseconds(Plan.m_LongestWait)},
      {"slack_use_percent", toPercent(Plan.m_SlackUse)},
      {"start_within_ms", toMilliseconds(Request.m_StartWithin)}};
  std::move(MoreFields.begin(), MoreFields.end(), std::back_inserter(Fields));
  logEvent(LogLevel::Info, IsAdmitted ? "job.admitted" : "job.refused", Fields);
}

void JobAdmission::recordResult(const BatchJob &Job, const RunResult &Result) {
  bool HasStarted = Result.m_RunOutcome != RunOutcome::NotStarted &&
                    Result.m_RunOutcome != RunOutcome::StaleRun;
  bool IsLate = Result.m_StartMargin < Duration::zero();
  if (!HasStarted && !IsLate)
    return;
  if (m_IsFair)
    m_GroupSlack.recordStart(Job.m_Group, IsLate, m_Timers.now());
  else
    m_SlackRatio = m_SlackControl(IsLate);
}

void JobAdmission::recordEnd(const BatchJob &Job) {
  if (Job.m_IsCountedAsServed && Job.m_Answer.m_Code != ResultCode::Ok)
    m_GroupWork.removeServed(Job.m_Group, Job.m_SubmittedAt, m_Timers.now());
}

std::vector<GroupWork> JobAdmission::groupWork() const {
  return m_IsFair ? m_GroupWork.ownWork(m_Timers.now())
                  : std::vector<GroupWork>{};
}

void JobAdmission::receiveGroupWork(Incarnation Entry,
                                    const std::vector<GroupWork> &Work) {
  if (m_IsFair && !Work.empty())
    m_GroupWork.update(Entry, Work, m_Timers.now());
}

} // namespace cyclamenwalk
