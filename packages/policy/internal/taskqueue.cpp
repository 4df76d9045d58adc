#include "policy/internal/taskqueue.h"

#include <algorithm>

namespace cyclamenwalk {

TimePoint orderByRemainingWork(const JobView &View) {
  return View.m_AddedAt + View.m_RemainingWork / View.m_Slots;
}

TimePoint orderByArrival(const JobView &View) { return View.m_AddedAt; }

TaskQueue::TaskQueue(JobOrder Order) : m_Order(std::move(Order)) {}

TaskQueue::TaskClass TaskQueue::classOf(const Job &Queued) {
  return Queued.m_Spec.m_IsLong ? TaskClass::Long : TaskClass::Short;
}

bool TaskQueue::isUnderQuota(const Team &Owner) {
  return Owner.m_Share.m_Quota == 0 || Owner.m_Running < Owner.m_Share.m_Quota;
}

void TaskQueue::setTeams(const TeamShares &Shares) {
  m_Shares = Shares;
  for (auto &Item : m_Teams) {
    Team &Changed = *Item.second;
    removeFromReady(Changed);
    auto It = m_Shares.find(Item.first);
    Changed.m_Share = It == m_Shares.end() ? TeamShare() : It->second;
    addToReady(Changed);
  }
}

void TaskQueue::setSlots(std::uint32_t Slots) {
  m_Slots = std::max<std::uint32_t>(1, Slots);
}

TaskQueue::Team &TaskQueue::team(const std::string &Name) {
  auto &Named = m_Teams[Name];
  if (!Named) {
    Named = std::make_unique<Team>();
    auto It = m_Shares.find(Name);
    if (It != m_Shares.end())
      Named->m_Share = It->second;
  }
  return *Named;
}

void TaskQueue::add(const QueuedJob &Queued, TimePoint Now) {
  Job &Added = m_Jobs[Queued.m_Job];
  Added.m_Spec = Queued;
  Added.m_Team = &team(Queued.m_Team);
  Added.m_AddedAt = Now;
  setWaiting(Added, Queued.m_Tasks);
}

std::optional<JobId> TaskQueue::take(bool AllowsLong) {
  Team *Next = nextTeam(AllowsLong);
  if (!Next)
    return std::nullopt;
  std::size_t Class = static_cast<std::size_t>(nextClass(*Next, AllowsLong));
  Job &Taken = m_Jobs.at(Next->m_WaitingJobs[Class].begin()->second);
  m_VirtualTime = std::max(m_VirtualTime, Next->m_VirtualTime);
  removeFromReady(*Next);
  Next->m_VirtualTime += Taken.m_Spec.m_TaskRunTime / Next->m_Share.m_Weight;
  ++Next->m_Running;
  addToReady(*Next);
  setWaiting(Taken, Taken.m_Waiting - 1);
  return Taken.m_Spec.m_Job;
}

void TaskQueue::requeue(JobId Id) {
  auto It = m_Jobs.find(Id);
  if (It == m_Jobs.end())
    return;
  taskEnded(It->second.m_Spec.m_Team);
  setWaiting(It->second, It->second.m_Waiting + 1);
}

void TaskQueue::taskEnded(const std::string &Name) {
  Team &Owner = team(Name);
  removeFromReady(Owner);
  if (Owner.m_Running > 0)
    --Owner.m_Running;
  addToReady(Owner);
}

void TaskQueue::remove(JobId Id) {
  auto It = m_Jobs.find(Id);
  if (It == m_Jobs.end())
    return;
  setWaiting(It->second, 0);
  m_Jobs.erase(It);
}

std::uint32_t TaskQueue::waiting() const { return m_Waiting; }

bool TaskQueue::hasTask(bool AllowsLong) const {
  return nextTeam(AllowsLong) != nullptr;
}

std::optional<TimePoint> TaskQueue::headOrderKey() const {
  const Team *Next = nextTeam(true);
  if (!Next)
    return std::nullopt;
  auto Class = static_cast<std::size_t>(nextClass(*Next, true));
  return Next->m_WaitingJobs[Class].begin()->first;
}

Duration TaskQueue::workAhead(const std::string &Name, Duration Work) const {
  Duration TotalWork{};
  for (const auto &Item : m_Teams)
    TotalWork += Item.second->m_Work;
  auto It = m_Teams.find(Name);
  if (It == m_Teams.end())
    return Duration::zero();
  const Team &Owner = *It->second;
  Duration TeamWorkAhead = Owner.m_WorkBuckets.sumUpTo(Work);
  // While the team's own work ahead is served, every other team with waiting
  // tasks is served up to its share by weight.
  double WeightRatio =
      static_cast<double>(m_ActiveWeight) / Owner.m_Share.m_Weight;
  auto SharedWorkAhead =
      std::chrono::duration_cast<Duration>(TeamWorkAhead * WeightRatio);
  return std::min(TotalWork, std::max(TeamWorkAhead, SharedWorkAhead));
}

TaskQueue::Team *TaskQueue::nextTeam(bool AllowsLong) const {
  const auto &Short = m_ReadyTeams[static_cast<std::size_t>(TaskClass::Short)];
  const auto &Long = m_ReadyTeams[static_cast<std::size_t>(TaskClass::Long)];
  bool HasLong = AllowsLong && !Long.empty();
  if (Short.empty())
    return HasLong ? Long.begin()->second : nullptr;
  if (HasLong && Long.begin()->first < Short.begin()->first)
    return Long.begin()->second;
  return Short.begin()->second;
}

TaskQueue::TaskClass TaskQueue::nextClass(const Team &Next,
                                          bool AllowsLong) const {
  const auto &Short =
      Next.m_WaitingJobs[static_cast<std::size_t>(TaskClass::Short)];
  const auto &Long =
      Next.m_WaitingJobs[static_cast<std::size_t>(TaskClass::Long)];
  if (!AllowsLong || Long.empty())
    return TaskClass::Short;
  if (Short.empty())
    return TaskClass::Long;
  return *Short.begin() < *Long.begin() ? TaskClass::Short : TaskClass::Long;
}

TimePoint TaskQueue::orderKey(const Job &Queued, std::uint32_t Waiting) const {
  return m_Order(
      {Queued.m_AddedAt, Queued.m_Spec.m_TaskRunTime * Waiting, m_Slots});
}

void TaskQueue::setWaiting(Job &Changed, std::uint32_t Waiting) {
  Team &Owner = *Changed.m_Team;
  auto &Jobs = Owner.m_WaitingJobs[static_cast<std::size_t>(classOf(Changed))];
  Duration TaskRunTime = Changed.m_Spec.m_TaskRunTime;
  removeFromReady(Owner);
  if (Changed.m_Waiting > 0) {
    Jobs.erase(Changed.m_Key);
    Owner.m_WorkBuckets.add(TaskRunTime * Changed.m_Waiting,
                            -TaskRunTime * Changed.m_Waiting);
  }
  if (Waiting > 0) {
    advanceIdleTeam(Owner);
    Changed.m_Key = JobKey(orderKey(Changed, Waiting), Changed.m_Spec.m_Job);
    Jobs.insert(Changed.m_Key);
    Owner.m_WorkBuckets.add(TaskRunTime * Waiting, TaskRunTime * Waiting);
  }
  Owner.m_Work += TaskRunTime * Waiting - TaskRunTime * Changed.m_Waiting;
  Owner.m_Waiting = Owner.m_Waiting + Waiting - Changed.m_Waiting;
  m_Waiting = m_Waiting + Waiting - Changed.m_Waiting;
  Changed.m_Waiting = Waiting;
  addToReady(Owner);
}

/// Advances the virtual time of a team without waiting tasks, so that it gets
/// no advantage from the time for which it was idle.
void TaskQueue::advanceIdleTeam(Team &Owner) {
  if (Owner.m_Waiting == 0)
    Owner.m_VirtualTime = std::max(Owner.m_VirtualTime, m_VirtualTime);
}

void TaskQueue::removeFromReady(Team &Changed) {
  for (auto &Ready : m_ReadyTeams)
    Ready.erase(TeamKey(Changed.m_VirtualTime, &Changed));
  if (Changed.m_Waiting > 0)
    m_ActiveWeight -= Changed.m_Share.m_Weight;
}

void TaskQueue::addToReady(Team &Changed) {
  if (Changed.m_Waiting > 0)
    m_ActiveWeight += Changed.m_Share.m_Weight;
  if (!isUnderQuota(Changed))
    return;
  for (std::size_t Class = 0; Class < TaskClassCount; ++Class)
    if (!Changed.m_WaitingJobs[Class].empty())
      m_ReadyTeams[Class].emplace(Changed.m_VirtualTime, &Changed);
}

} // namespace cyclamenwalk
