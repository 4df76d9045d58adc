#include "job/internal/jobadmission.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

constexpr double BoundQuantile = 0.9;
/// Run time assumed for a kind of which nothing is known.
constexpr Duration AssumedTaskTime = milliseconds(200);
/// Declared run times count for the order of jobs only within these bounds.
constexpr Duration ShortestDeclared = milliseconds(10);
constexpr Duration LongestDeclared = seconds(5);

} // namespace

JobAdmission::JobAdmission(Admission Decide, EntryShareSource Share,
                           const IConfigurationStore &Configuration,
                           const AgentTable &Agents, const IRunTimes &RunTimes)
    : m_Admission(std::move(Decide)), m_Share(std::move(Share)),
      m_Configuration(Configuration), m_Agents(Agents), m_RunTimes(RunTimes) {}

ResultCode JobAdmission::check(const JobSpec &Spec) const {
  if (m_Configuration.version() == 0)
    return ResultCode::NoConfiguration;
  const DesiredState &State = m_Configuration.state();
  auto Service = State.m_Services.find(Spec.m_Service);
  if (Service == State.m_Services.end())
    return ResultCode::UnknownService;
  auto Team = State.m_Teams.find(Spec.m_Team);
  if (Team == State.m_Teams.end())
    return ResultCode::UnknownTeam;
  const auto &Allowed = Team->second.m_Services;
  if (!Allowed.empty() && !Allowed.count(Spec.m_Service))
    return ResultCode::UnknownTeam;
  std::size_t Tasks = Spec.m_Payloads.size();
  if (Tasks == 0 || Tasks > Service->second.m_MaxTasks)
    return ResultCode::TooManyTasks;
  if (!m_Agents.canHold(Spec.m_Service, Spec.m_DeclaredCpus,
                        Spec.m_DeclaredMemoryBytes))
    return ResultCode::ImpossibleJob;
  return ResultCode::Ok;
}

Duration JobAdmission::deadlineOf(const JobSpec &Spec) const {
  const ServiceConfig &Service =
      m_Configuration.state().m_Services.at(Spec.m_Service);
  Duration Wanted = Spec.m_Deadline.value_or(Service.m_DefaultDeadline);
  return std::min(Wanted, Service.m_MaxDeadline);
}

ResultCode JobAdmission::admit(const JobSpec &Spec, Dispatcher &Owner) const {
  auto Learned =
      m_RunTimes.quantile(Spec.m_Service, Spec.m_Kind, BoundQuantile);
  auto Tasks = static_cast<std::int64_t>(Spec.m_Payloads.size());
  AdmissionView View;
  View.m_Remaining = deadlineOf(Spec);
  // What a caller declares is no ground for refusal: it is often far off.
  if (Learned) {
    View.m_TaskRunTimeBound = *Learned;
    View.m_JobWork = expectedTaskTime(Spec) * Tasks;
  }
  View.m_WorkAhead =
      Owner.queue().workAhead(Spec.m_Team, expectedTaskTime(Spec) * Tasks);
  View.m_Slots = Owner.expectedSlots(m_Share().m_Entries);
  return m_Admission(View);
}

Duration JobAdmission::expectedTaskTime(const JobSpec &Spec) const {
  auto Learned = m_RunTimes.mean(Spec.m_Service, Spec.m_Kind);
  if (Learned)
    return *Learned;
  Duration Declared = Spec.m_DeclaredRunTime.value_or(AssumedTaskTime);
  return std::clamp(Declared, ShortestDeclared, LongestDeclared);
}

bool JobAdmission::isWorthStarting(const JobSpec &Spec,
                                   Duration Remaining) const {
  auto Learned =
      m_RunTimes.quantile(Spec.m_Service, Spec.m_Kind, BoundQuantile);
  if (!Learned)
    return true;
  AdmissionView View;
  View.m_Remaining = Remaining;
  View.m_TaskRunTimeBound = *Learned;
  View.m_Slots = 1;
  return m_Admission(View) == ResultCode::Ok;
}

} // namespace cyclamenwalk
