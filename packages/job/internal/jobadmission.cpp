#include "job/internal/jobadmission.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// Quantile of the learned run times that counts as their upper bound.
constexpr double RunTimeBoundQuantile = 0.9;
/// Used for kinds without a learned or declared run time.
constexpr Duration DefaultTaskTime = milliseconds(200);
/// Bounds within which declared run times affect the order of jobs.
constexpr Duration MinDeclaredRunTime = milliseconds(10);
constexpr Duration MaxDeclaredRunTime = seconds(5);

} // namespace

JobAdmission::JobAdmission(Admission Policy, EntryShareSource Share,
                           const IConfigurationStore &Configuration,
                           const AgentTable &Agents, const IRunTimes &RunTimes)
    : m_Policy(std::move(Policy)), m_Share(std::move(Share)),
      m_Configuration(Configuration), m_Agents(Agents), m_RunTimes(RunTimes) {}

ResultCode JobAdmission::validate(const JobSpec &Spec) const {
  if (m_Configuration.version() == 0)
    return ResultCode::NoConfiguration;
  const DesiredState &State = m_Configuration.state();
  auto ServiceIt = State.m_Services.find(Spec.m_Service);
  if (ServiceIt == State.m_Services.end())
    return ResultCode::UnknownService;
  auto TeamIt = State.m_Teams.find(Spec.m_Team);
  if (TeamIt == State.m_Teams.end())
    return ResultCode::UnknownTeam;
  const auto &AllowedServices = TeamIt->second.m_Services;
  if (!AllowedServices.empty() && !AllowedServices.count(Spec.m_Service))
    return ResultCode::UnknownTeam;
  std::size_t TaskCount = Spec.m_Payloads.size();
  if (TaskCount == 0 || TaskCount > ServiceIt->second.m_MaxTasks)
    return ResultCode::TooManyTasks;
  if (!m_Agents.hasCapacityFor(Spec.m_Service, Spec.m_DeclaredCpus,
                               Spec.m_DeclaredMemoryBytes))
    return ResultCode::ImpossibleJob;
  return ResultCode::Ok;
}

Duration JobAdmission::deadlineOf(const JobSpec &Spec) const {
  const ServiceConfig &Service =
      m_Configuration.state().m_Services.at(Spec.m_Service);
  Duration Deadline = Spec.m_Deadline.value_or(Service.m_DefaultDeadline);
  return std::min(Deadline, Service.m_MaxDeadline);
}

ResultCode JobAdmission::checkLoad(const JobSpec &Spec,
                                   Dispatcher &ServiceDispatcher) const {
  auto RunTimeBound =
      m_RunTimes.quantile(Spec.m_Service, Spec.m_Kind, RunTimeBoundQuantile);
  auto TaskCount = static_cast<std::int64_t>(Spec.m_Payloads.size());
  AdmissionView View;
  View.m_Remaining = deadlineOf(Spec);
  // Declared run times are often wrong, so only learned ones lead to a refusal.
  if (RunTimeBound) {
    View.m_TaskRunTimeBound = *RunTimeBound;
    View.m_JobWork = expectedTaskTime(Spec) * TaskCount;
  }
  View.m_WorkAhead = ServiceDispatcher.queue().workAhead(
      Spec.m_Team, expectedTaskTime(Spec) * TaskCount);
  View.m_Slots = ServiceDispatcher.expectedSlots(m_Share().m_Entries);
  return m_Policy(View);
}

Duration JobAdmission::expectedTaskTime(const JobSpec &Spec) const {
  auto LearnedMean = m_RunTimes.mean(Spec.m_Service, Spec.m_Kind);
  if (LearnedMean)
    return *LearnedMean;
  Duration Declared = Spec.m_DeclaredRunTime.value_or(DefaultTaskTime);
  return std::clamp(Declared, MinDeclaredRunTime, MaxDeclaredRunTime);
}

bool JobAdmission::canMeetDeadline(const JobSpec &Spec,
                                   Duration Remaining) const {
  auto RunTimeBound =
      m_RunTimes.quantile(Spec.m_Service, Spec.m_Kind, RunTimeBoundQuantile);
  if (!RunTimeBound)
    return true;
  AdmissionView View;
  View.m_Remaining = Remaining;
  View.m_TaskRunTimeBound = *RunTimeBound;
  View.m_Slots = 1;
  return m_Policy(View) == ResultCode::Ok;
}

} // namespace cyclamenwalk
