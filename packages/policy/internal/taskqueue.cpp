#include "policy/internal/taskqueue.h"

#include <algorithm>

namespace cyclamenwalk {

TimePoint orderByRemainingWork(const JobView &View) {
  return View.m_AddedAt + View.m_RemainingWork / View.m_Slots;
}

TimePoint orderByArrival(const JobView &View) { return View.m_AddedAt; }

TaskQueue::TaskQueue(JobOrder Order) : m_Order(std::move(Order)) {}

TaskQueue::Class TaskQueue::classOf(const Job &Known) {
  return Known.m_Offer.m_IsLong ? Class::Long : Class::Short;
}

bool TaskQueue::isUnderQuota(const Team &Known) {
  return Known.m_Share.m_Quota == 0 || Known.m_Running < Known.m_Share.m_Quota;
}

void TaskQueue::setTeams(const TeamShares &Shares) {
  m_Shares = Shares;
  for (auto &Known : m_Teams) {
    Team &Changed = *Known.second;
    unlist(Changed);
    auto Found = m_Shares.find(Known.first);
    Changed.m_Share = Found == m_Shares.end() ? TeamShare() : Found->second;
    list(Changed);
  }
}

void TaskQueue::setSlots(std::uint32_t Slots) {
  m_Slots = std::max<std::uint32_t>(1, Slots);
}

TaskQueue::Team &TaskQueue::team(const std::string &Name) {
  auto &Known = m_Teams[Name];
  if (!Known) {
    Known = std::make_unique<Team>();
    auto Found = m_Shares.find(Name);
    if (Found != m_Shares.end())
      Known->m_Share = Found->second;
  }
  return *Known;
}

void TaskQueue::add(const QueuedJob &Offer, TimePoint Now) {
  Job &Added = m_Jobs[Offer.m_Job];
  Added.m_Offer = Offer;
  Added.m_Team = &team(Offer.m_Team);
  Added.m_AddedAt = Now;
  changeWaiting(Added, Offer.m_Tasks);
}

std::optional<JobId> TaskQueue::take(bool AllowsLong) {
  Team *Next = nextTeam(AllowsLong);
  if (!Next)
    return std::nullopt;
  std::size_t Kind = static_cast<std::size_t>(nextClass(*Next, AllowsLong));
  Job &Taken = m_Jobs.at(Next->m_Jobs[Kind].begin()->second);
  m_VirtualTime = std::max(m_VirtualTime, Next->m_VirtualTime);
  unlist(*Next);
  Next->m_VirtualTime += Taken.m_Offer.m_TaskTime / Next->m_Share.m_Weight;
  ++Next->m_Running;
  list(*Next);
  changeWaiting(Taken, Taken.m_Waiting - 1);
  return Taken.m_Offer.m_Job;
}

void TaskQueue::putBack(JobId Id) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return;
  taskEnded(Found->second.m_Offer.m_Team);
  changeWaiting(Found->second, Found->second.m_Waiting + 1);
}

void TaskQueue::taskEnded(const std::string &Name) {
  Team &Known = team(Name);
  unlist(Known);
  if (Known.m_Running > 0)
    --Known.m_Running;
  list(Known);
}

void TaskQueue::remove(JobId Id) {
  auto Found = m_Jobs.find(Id);
  if (Found == m_Jobs.end())
    return;
  changeWaiting(Found->second, 0);
  m_Jobs.erase(Found);
}

std::uint32_t TaskQueue::waiting() const { return m_Waiting; }

bool TaskQueue::hasTask(bool AllowsLong) const {
  return nextTeam(AllowsLong) != nullptr;
}

std::optional<TimePoint> TaskQueue::headKey() const {
  const Team *Next = nextTeam(true);
  if (!Next)
    return std::nullopt;
  auto Kind = static_cast<std::size_t>(nextClass(*Next, true));
  return Next->m_Jobs[Kind].begin()->first;
}

Duration TaskQueue::workAhead(const std::string &Name, Duration Work) const {
  Duration All{};
  for (const auto &Known : m_Teams)
    All += Known.second->m_Work;
  auto Found = m_Teams.find(Name);
  if (Found == m_Teams.end())
    return Duration::zero();
  const Team &Own = *Found->second;
  Duration OwnAhead = Own.m_Buckets.upTo(Work);
  // While the own work ahead is served, each other team gets up to its share.
  double Others = static_cast<double>(m_ActiveWeight) / Own.m_Share.m_Weight;
  auto Shared = std::chrono::duration_cast<Duration>(OwnAhead * Others);
  return std::min(All, std::max(OwnAhead, Shared));
}

TaskQueue::Team *TaskQueue::nextTeam(bool AllowsLong) const {
  const auto &Short = m_Ready[static_cast<std::size_t>(Class::Short)];
  const auto &Long = m_Ready[static_cast<std::size_t>(Class::Long)];
  bool HasLong = AllowsLong && !Long.empty();
  if (Short.empty())
    return HasLong ? Long.begin()->second : nullptr;
  if (HasLong && Long.begin()->first < Short.begin()->first)
    return Long.begin()->second;
  return Short.begin()->second;
}

TaskQueue::Class TaskQueue::nextClass(const Team &Next, bool AllowsLong) const {
  const auto &Short = Next.m_Jobs[static_cast<std::size_t>(Class::Short)];
  const auto &Long = Next.m_Jobs[static_cast<std::size_t>(Class::Long)];
  if (!AllowsLong || Long.empty())
    return Class::Short;
  if (Short.empty())
    return Class::Long;
  return *Short.begin() < *Long.begin() ? Class::Short : Class::Long;
}

TimePoint TaskQueue::orderOf(const Job &Known, std::uint32_t Waiting) const {
  return m_Order(
      {Known.m_AddedAt, Known.m_Offer.m_TaskTime * Waiting, m_Slots});
}

void TaskQueue::changeWaiting(Job &Known, std::uint32_t Waiting) {
  Team &Owner = *Known.m_Team;
  auto &Jobs = Owner.m_Jobs[static_cast<std::size_t>(classOf(Known))];
  Duration TaskTime = Known.m_Offer.m_TaskTime;
  unlist(Owner);
  if (Known.m_Waiting > 0) {
    Jobs.erase(Known.m_Key);
    Owner.m_Buckets.add(TaskTime * Known.m_Waiting,
                        -TaskTime * Known.m_Waiting);
  }
  if (Waiting > 0) {
    activate(Owner);
    Known.m_Key = JobKey(orderOf(Known, Waiting), Known.m_Offer.m_Job);
    Jobs.insert(Known.m_Key);
    Owner.m_Buckets.add(TaskTime * Waiting, TaskTime * Waiting);
  }
  Owner.m_Work += TaskTime * Waiting - TaskTime * Known.m_Waiting;
  Owner.m_Waiting = Owner.m_Waiting + Waiting - Known.m_Waiting;
  m_Waiting = m_Waiting + Waiting - Known.m_Waiting;
  Known.m_Waiting = Waiting;
  list(Owner);
}

/// A team that had nothing waiting gets no credit for its idle time.
void TaskQueue::activate(Team &Known) {
  if (Known.m_Waiting == 0)
    Known.m_VirtualTime = std::max(Known.m_VirtualTime, m_VirtualTime);
}

void TaskQueue::unlist(Team &Known) {
  for (auto &Ready : m_Ready)
    Ready.erase(TeamKey(Known.m_VirtualTime, &Known));
  if (Known.m_Waiting > 0)
    m_ActiveWeight -= Known.m_Share.m_Weight;
}

void TaskQueue::list(Team &Known) {
  if (Known.m_Waiting > 0)
    m_ActiveWeight += Known.m_Share.m_Weight;
  if (!isUnderQuota(Known))
    return;
  for (std::size_t Kind = 0; Kind < ClassCount; ++Kind)
    if (!Known.m_Jobs[Kind].empty())
      m_Ready[Kind].emplace(Known.m_VirtualTime, &Known);
}

} // namespace cyclamenwalk
