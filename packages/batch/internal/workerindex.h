#ifndef CYCLAMENWALK_BATCH_INTERNAL_WORKERINDEX_H
#define CYCLAMENWALK_BATCH_INTERNAL_WORKERINDEX_H

#include "core/types/ids.h"
#include "core/types/resources.h"
#include "core/types/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenwalk {

/// What the index knows of a worker.
struct IndexedWorker {
  std::string m_Service;
  std::string m_Kind;
  std::string m_Rack;
  Resources m_Capacity;
  /// Free cores as reported, in thousandths.
  std::int64_t m_FreeMilliCores = 0;
  /// Free cores after waiting and unreported tasks and with those that are
  /// expected to become free soon; negative while more tasks wait.
  std::int64_t m_RoomMilliCores = 0;
  TimePoint m_ReportedAt;
  bool m_IsAccepting = false;
};

/// Workers ordered by room, with the sums that admission needs, so that a small
/// job costs the logarithm of their number.
class WorkerIndex {
public:
  /// Adds or replaces a worker.
  void update(Incarnation Agent, IndexedWorker Worker);
  void remove(Incarnation Agent);

  /// Subtracts cores of tasks that were placed on a worker.
  void subtractRoom(Incarnation Agent, std::int64_t MilliCores);

  /// The workers with the most room that accept tasks: \p Count of each kind
  /// and \p Count of \p Rack, without those of \p Excluded. Sorted.
  std::vector<Incarnation>
  candidates(const std::string &Service, const std::string &Rack,
             std::size_t Count, const std::set<Incarnation> &Excluded) const;

  bool hasAccepting() const;
  bool canHold(const std::string &Service, const Resources &Required) const;

  /// The ratio of used cores to capacity over the workers that accept tasks.
  double coreUtilization(const std::string &Service) const;

  /// \p Now if no worker accepts tasks.
  TimePoint oldestReport(const std::string &Service, TimePoint Now) const;

private:
  /// Sorted by room, the greatest first.
  using RoomOrder =
      std::set<std::pair<std::int64_t, Incarnation>, std::greater<>>;

  struct CapacityOrder {
    bool operator()(const Resources &Left, const Resources &Right) const;
  };

  struct ServiceGroup {
    /// Number of workers of each capacity, accepting or not.
    std::map<Resources, std::size_t, CapacityOrder> m_Capacities;
    // The following contain the workers that accept tasks.
    std::map<std::string, RoomOrder> m_ByKind;
    std::map<std::string, RoomOrder> m_ByRack;
    std::set<std::pair<TimePoint, Incarnation>> m_ByReport;
    std::int64_t m_CapacityMilliCores = 0;
    std::int64_t m_FreeMilliCores = 0;
  };

  void insert(Incarnation Agent, const IndexedWorker &Worker);
  void erase(Incarnation Agent, const IndexedWorker &Worker);

  std::unordered_map<Incarnation, IndexedWorker> m_Workers;
  std::map<std::string, ServiceGroup> m_Services;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_INTERNAL_WORKERINDEX_H
