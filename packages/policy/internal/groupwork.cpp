#include "policy/types/fairshare.h"

#include <algorithm>
#include <cmath>

namespace cyclamenwalk {

namespace {

/// Long enough for several jobs of each group, short against the bursts that
/// shares respond to.
constexpr Duration WorkHalfLife = seconds(3);
/// Shares are computed again after this time, as that costs more than a
/// look-up.
constexpr Duration SharePeriod = milliseconds(50);
/// Bounds memory and messages: routes times failure domains times width
/// classes.
constexpr std::size_t MaxGroups = 128;
/// Groups with fewer jobs are dropped.
constexpr double MinOfferedJobs = 0.05;

/// Ages of figures differ, so more may seem served than was offered.
template <typename Work> double servedPart(const Work &Item) {
  return Item.m_OfferedJobs > 0
             ? std::min(1.0, Item.m_ServedJobs / Item.m_OfferedJobs)
             : 1;
}

/// The jobs of all widths.
ShareGroup kindOf(const ShareGroup &Group) {
  return {Group.m_Route, Group.m_FailureDomain, 0};
}

double decayFactor(Duration Age) {
  return std::exp2(-static_cast<double>(Age.count()) /
                   static_cast<double>(WorkHalfLife.count()));
}

} // namespace

void GroupWorkTable::decay(Figures &Decayed, TimePoint Now) {
  double Factor = decayFactor(Now - Decayed.m_At);
  Decayed.m_At = Now;
  for (auto &Item : Decayed.m_Groups) {
    Item.second.m_OfferedJobs *= Factor;
    Item.second.m_ServedJobs *= Factor;
    Item.second.m_OfferedWork *= Factor;
  }
  std::erase_if(Decayed.m_Groups, [](const auto &Item) {
    return Item.second.m_OfferedJobs < MinOfferedJobs;
  });
}

GroupWorkTable::Work *GroupWorkTable::ownWorkOf(const ShareGroup &Group,
                                                TimePoint Now) {
  decay(m_Own, Now);
  bool IsNew = m_Own.m_Groups.count(Group) == 0;
  if (IsNew && m_Own.m_Groups.size() >= MaxGroups)
    return nullptr;
  return &m_Own.m_Groups[Group];
}

void GroupWorkTable::addOffered(const ShareGroup &Group, std::uint32_t Priority,
                                double Work, TimePoint Now) {
  auto *Own = ownWorkOf(Group, Now);
  if (!Own)
    return;
  Own->m_Priority = Priority;
  ++Own->m_OfferedJobs;
  Own->m_OfferedWork += Work;
}

void GroupWorkTable::addServed(const ShareGroup &Group, TimePoint Now) {
  // A job that another owner has refused may be served by one that knows no
  // other of its group.
  if (auto *Own = ownWorkOf(Group, Now)) {
    Own->m_OfferedJobs = std::max(Own->m_OfferedJobs, MinOfferedJobs);
    ++Own->m_ServedJobs;
  }
}

void GroupWorkTable::removeServed(const ShareGroup &Group, TimePoint ServedAt,
                                  TimePoint Now) {
  decay(m_Own, Now);
  auto It = m_Own.m_Groups.find(Group);
  if (It == m_Own.m_Groups.end())
    return;
  double Left = It->second.m_ServedJobs - decayFactor(Now - ServedAt);
  It->second.m_ServedJobs = std::max(Left, 0.0);
}

void GroupWorkTable::update(Incarnation Entry,
                            const std::vector<GroupWork> &Work, TimePoint Now) {
  Figures &Stated = m_Others[Entry];
  Stated.m_At = Now;
  Stated.m_Groups.clear();
  for (const GroupWork &Item : Work) {
    if (Stated.m_Groups.size() >= MaxGroups)
      break;
    Stated.m_Groups[{Item.m_Route, Item.m_FailureDomain, Item.m_WidthClass}] = {
        Item.m_Priority, std::max(Item.m_OfferedJobs, 0.0),
        std::max(Item.m_ServedJobs, 0.0), std::max(Item.m_OfferedWork, 0.0)};
  }
  m_SharesAt = {};
}

std::vector<GroupWork> GroupWorkTable::ownWork(TimePoint Now) const {
  Figures Current = m_Own;
  decay(Current, Now);
  std::vector<GroupWork> List;
  for (const auto &[Group, Own] : Current.m_Groups)
    List.push_back({Group.m_Route, Group.m_FailureDomain, Group.m_WidthClass,
                    Own.m_Priority, Own.m_OfferedJobs, Own.m_ServedJobs,
                    Own.m_OfferedWork});
  return List;
}

void GroupWorkTable::computeShares(TimePoint Now) {
  m_SharesAt = Now;
  m_Shares.clear();
  decay(m_Own, Now);
  for (auto &Item : m_Others)
    decay(Item.second, Now);
  std::erase_if(m_Others,
                [](const auto &Item) { return Item.second.m_Groups.empty(); });
  WorkByGroup Sums = m_Own.m_Groups;
  for (const auto &Entry : m_Others)
    for (const auto &[Group, Stated] : Entry.second.m_Groups) {
      Work &Sum = Sums[Group];
      Sum.m_Priority = std::max(Sum.m_Priority, Stated.m_Priority);
      Sum.m_OfferedJobs += Stated.m_OfferedJobs;
      Sum.m_ServedJobs += Stated.m_ServedJobs;
      Sum.m_OfferedWork += Stated.m_OfferedWork;
    }
  // The widths of a kind share what the kind is served, kinds share the rest.
  std::map<ShareGroup, Work> Kinds;
  for (const auto &[Group, Sum] : Sums) {
    Work &Kind = Kinds[kindOf(Group)];
    Kind.m_Priority = std::max(Kind.m_Priority, Sum.m_Priority);
    Kind.m_OfferedJobs += Sum.m_OfferedJobs;
    Kind.m_ServedJobs += Sum.m_ServedJobs;
    Kind.m_OfferedWork += Sum.m_OfferedWork;
    Kind.m_ServedWork += servedPart(Sum) * Sum.m_OfferedWork;
  }
  double Capacity = 0;
  std::vector<ShareDemand> Demands;
  for (const auto &[Group, Kind] : Kinds) {
    Capacity += Kind.m_ServedWork;
    // What it would take to serve the kind whole, with its widths served in
    // the proportions of now.
    double Part = servedPart(Kind);
    Demands.push_back({Part > 0 ? Kind.m_ServedWork / Part : Kind.m_OfferedWork,
                       shareWeight(Kind.m_Priority)});
  }
  double Level = fairLevel(std::move(Demands), Capacity);
  for (const auto &[Group, Sum] : Sums) {
    const Work &Kind = Kinds[kindOf(Group)];
    m_Shares[Group] = {servedPart(Kind),
                       std::min(1.0, Level * shareWeight(Kind.m_Priority)),
                       Kind.m_OfferedJobs, servedPart(Sum), Sum.m_OfferedJobs};
  }
}

GroupShare GroupWorkTable::share(const ShareGroup &Group, TimePoint Now) {
  if (Now - m_SharesAt >= SharePeriod)
    computeShares(Now);
  auto It = m_Shares.find(Group);
  return It == m_Shares.end() ? GroupShare{} : It->second;
}

} // namespace cyclamenwalk
