#ifndef CYCLAMENWALK_POLICY_TYPES_FAIRSHARE_H
#define CYCLAMENWALK_POLICY_TYPES_FAIRSHARE_H

#include "core/types/ids.h"
#include "core/types/time.h"
#include "message/types/forwarding.h"
#include "policy/types/placement.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// Jobs that are alike to their callers: capacity is shared among these groups.
struct ShareGroup {
  std::string m_Route;
  /// Of the entries that received the jobs from their callers.
  std::string m_FailureDomain;
  /// See WidthClasses.
  std::uint32_t m_WidthClass = 0;
  auto operator<=>(const ShareGroup &) const = default;
};

/// ROUTE/FAILURE_DOMAIN/WIDTH_CLASS, for logs.
std::string toString(const ShareGroup &Group);

/// What a group demands of the capacity.
struct ShareDemand {
  double m_Offered = 0;
  double m_Weight = 1;
};

/// The highest level at which \p Capacity suffices when each demand is served
/// up to its weight times the level, as a part of what was offered, and never
/// beyond 1. Infinite when all demands can be served whole.
double fairLevel(std::vector<ShareDemand> Demands, double Capacity);

/// The weight of a priority; zero is the highest priority.
double shareWeight(std::uint32_t Priority);

/// How a group fares: parts of the jobs that it offered.
struct GroupShare {
  /// Of the jobs of all widths.
  double m_Served = 1;
  /// The part that they would be served if capacity were shared by weight.
  double m_Target = 1;
  /// How many jobs the parts are based on.
  double m_OfferedJobs = 0;
  /// Of the jobs of the group's width, which are due m_Served as well.
  double m_ServedOfWidth = 1;
  double m_OfferedOfWidth = 0;
};

/// The factor on the slack that jobs of a group may spend on waiting: above 1
/// for a group that was served less than its target, below for one that was
/// served more. Near 1 for a group of few jobs.
double shareCorrection(const GroupShare &Share);

/// Admission when capacity is short: a job may spend the part of its slack on
/// waiting that late starts of jobs like it allow, corrected for the share of
/// its group. A job that hardly waits is admitted while workers have room.
bool admitByFairShare(const ObjectiveView &View);

/// The width of jobs in relation to others of their route, since wide jobs are
/// harder to place than small ones: 2 for the widest tenth, 1 for the fifth
/// below, 0 for the others and while few jobs are known.
class WidthClasses {
public:
  /// Returns the class of a job of all in all \p MilliCores, and counts it.
  std::uint32_t classify(const std::string &Route, std::int64_t MilliCores);

private:
  struct Widths {
    /// Weights of jobs by the logarithm of their width.
    std::map<int, double> m_Weights;
    double m_Total = 0;
  };
  std::map<std::string, Widths> m_WidthsByRoute;
};

/// Work that groups of jobs offered and were served, which decays with time.
class GroupWorkTable {
public:
  void addOffered(const ShareGroup &Group, std::uint32_t Priority, double Work,
                  TimePoint Now);
  void addServed(const ShareGroup &Group, TimePoint Now);

  /// Takes back a job that was added at \p ServedAt and has failed since.
  void removeServed(const ShareGroup &Group, TimePoint ServedAt, TimePoint Now);

  /// Replaces what another entry has stated.
  void update(Incarnation Entry, const std::vector<GroupWork> &Work,
              TimePoint Now);

  /// The work decided on here.
  std::vector<GroupWork> ownWork(TimePoint Now) const;

  /// The share of a group in the work of all entries.
  GroupShare share(const ShareGroup &Group, TimePoint Now);

private:
  struct Work {
    std::uint32_t m_Priority = 0;
    double m_OfferedJobs = 0;
    double m_ServedJobs = 0;
    double m_OfferedWork = 0;
    /// Of a kind.
    double m_ServedWork = 0;
  };
  using WorkByGroup = std::map<ShareGroup, Work>;
  /// Work as of one time, from which it decays.
  struct Figures {
    TimePoint m_At;
    WorkByGroup m_Groups;
  };

  static void decay(Figures &Decayed, TimePoint Now);
  /// The work of a group; nullptr when there are too many groups.
  Work *ownWorkOf(const ShareGroup &Group, TimePoint Now);
  void computeShares(TimePoint Now);

  Figures m_Own;
  std::map<Incarnation, Figures> m_Others;
  std::map<ShareGroup, GroupShare> m_Shares;
  TimePoint m_SharesAt;
};

/// The ratio of the slack that jobs may be expected to wait, by route and width
/// class: late starts of short jobs say nothing of long ones, whose slack is
/// far longer than what forecasts are wrong by. A group with few starts is
/// judged by its route.
class GroupSlack {
public:
  double ratio(const ShareGroup &Group, TimePoint Now) const;

  void recordStart(const ShareGroup &Group, bool WasLate, TimePoint Now);

private:
  struct State {
    double m_Ratio = 1;
    double m_Starts = 0;
    TimePoint m_At;
  };
  static State recovered(State From, TimePoint Now);
  static void update(State &Updated, bool WasLate, TimePoint Now);

  std::map<std::string, State> m_ByRoute;
  std::map<std::pair<std::string, std::uint32_t>, State> m_ByClass;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_TYPES_FAIRSHARE_H
