#ifndef CYCLAMENWALK_BATCH_INTERNAL_WORKERTABLE_H
#define CYCLAMENWALK_BATCH_INTERNAL_WORKERTABLE_H

#include "core/itimerservice.h"
#include "membership/types/peer.h"
#include "policy/types/placement.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace cyclamenwalk {

/// The workers as their agents report them, with what this entry has placed
/// there since the report was made.
class WorkerTable {
public:
  WorkerTable(Incarnation Own, ITimerService &Timers)
      : m_Own(Own), m_Timers(Timers) {}

  void add(const Peer &Agent);
  void remove(Incarnation Agent);
  std::size_t size() const { return m_Workers.size(); }
  std::vector<Incarnation> agents() const;
  void report(Incarnation Agent, WorkerReport Report);

  /// Tasks of \p Job were placed there.
  void charge(Incarnation Agent, const PlacementJob &Job, std::uint32_t Tasks);

  /// The workers of a service that take tasks, but for \p Without. Their bias
  /// is drawn anew in each call.
  std::vector<PlacementWorker> views(const std::string &Service,
                                     const std::set<Incarnation> &Without);

  /// Run time of tasks against their estimates.
  struct Slowness {
    /// Over all workers.
    double m_Mean = 1;
    /// At workers of the fastest kind.
    double m_Least = 1;
  };
  Slowness slowness(const std::string &Service) const;

  bool hasAccepting() const;

  /// The age of the oldest report among the workers that take tasks.
  Duration oldestReport(const std::string &Service) const;

  /// The share of cores in use at the workers that take tasks.
  double usedShare(const std::string &Service) const;

  /// Whether some worker of the service, busy or not, could hold a task.
  bool canHold(const std::string &Service, const Resources &Need) const;

private:
  struct Charged {
    /// Counted over the life of the link, up to and with this charge.
    std::uint64_t m_PlacedUpTo = 0;
    std::uint32_t m_Tasks = 0;
    PlacementJob m_Job;
    TimePoint m_OrderKey;
  };

  struct Worker {
    Peer m_Peer;
    WorkerReport m_Report;
    TimePoint m_ReportedAt;
    bool m_HasReport = false;
    std::uint64_t m_Placed = 0;
    std::deque<Charged> m_Unseen;
  };

  /// What is usual for the workers of a service.
  struct Speeds {
    /// The median slowness of each kind.
    std::map<std::string, double> m_ByKind;
    /// The mean of all, by which estimates are corrected.
    double m_Mean = 1;
  };

  Speeds speeds(const std::string &Service) const;
  bool isUsable(const Worker &Known, const std::string &Service) const;
  PlacementWorker view(const Worker &Known, const Speeds &Usual) const;

  Duration biasOf(Incarnation Agent) const;

  const Incarnation m_Own;
  std::uint64_t m_Round = 0;
  ITimerService &m_Timers;
  std::unordered_map<Incarnation, Worker> m_Workers;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_INTERNAL_WORKERTABLE_H
