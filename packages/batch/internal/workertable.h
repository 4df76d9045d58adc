#ifndef CYCLAMENWALK_BATCH_INTERNAL_WORKERTABLE_H
#define CYCLAMENWALK_BATCH_INTERNAL_WORKERTABLE_H

#include "batch/internal/workerindex.h"
#include "batch/internal/workerspeeds.h"
#include "core/itimerservice.h"
#include "membership/types/peer.h"
#include "message/types/forwarding.h"
#include "policy/types/placement.h"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace cyclamenwalk {

/// The latest reports of workers, with the tasks that this entry has placed on
/// them and that the reports do not include yet.
class WorkerTable {
public:
  struct Options {
    /// Whether each worker counts with its own speed, as far as it is known,
    /// and not with that of its kind.
    bool m_LearnsSpeeds = false;
    /// See BatchSettings::m_LookAhead.
    bool m_LooksAhead = false;
  };

  WorkerTable(Incarnation Entry, Options Selected, ITimerService &Timers)
      : m_Entry(Entry), m_LearnsSpeeds(Selected.m_LearnsSpeeds),
        m_LooksAhead(Selected.m_LooksAhead), m_Timers(Timers) {}

  void add(const Peer &Agent);
  void remove(Incarnation Agent);
  std::size_t size() const { return m_Workers.size(); }
  bool contains(Incarnation Agent) const { return m_Workers.count(Agent) > 0; }
  std::vector<Incarnation> agents() const;
  void updateReport(Incarnation Agent, WorkerReport Report);

  /// Records that \p Tasks tasks of \p Job were placed on the agent's worker.
  void addPlacement(Incarnation Agent, const PlacementJob &Job,
                    std::uint32_t Tasks);

  /// The workers of a service that accept tasks, without those of
  /// \p ExcludedAgents. Each call draws a new cost jitter.
  std::vector<PlacementWorker>
  placementWorkers(const std::string &Service,
                   const std::set<Incarnation> &ExcludedAgents);

  /// The workers among which a job is placed: all of placementWorkers(), or
  /// when looking ahead those with the most room.
  std::vector<PlacementWorker>
  candidates(const std::string &Service, const PlacementJob &Job,
             const std::set<Incarnation> &ExcludedAgents);

  /// The slowness of workers: the ratio of run times to their estimates.
  struct ServiceSlowness {
    /// The mean over all workers.
    double m_Mean = 1;
    /// The median over the workers of the fastest kind.
    double m_FastestKind = 1;
  };
  ServiceSlowness serviceSlowness(const std::string &Service) const;

  bool hasAccepting() const;

  /// The room of the workers that accept tasks, by service.
  std::vector<ServiceRoom> rooms() const;

  /// The age of the oldest report of a worker that accepts tasks.
  Duration oldestReportAge(const std::string &Service) const;

  /// The ratio of used cores to capacity over the workers that accept tasks.
  double coreUtilization(const std::string &Service) const;

  /// Whether the capacity of some worker of the service, busy or not, suffices
  /// for a task.
  bool canHold(const std::string &Service, const Resources &Required) const;

private:
  struct UnreportedPlacement {
    /// Tasks placed over the life of the link, including this placement.
    std::uint64_t m_PlacedTotal = 0;
    std::uint32_t m_Tasks = 0;
    PlacementJob m_Job;
    TimePoint m_OrderKey;
  };

  struct Worker {
    Peer m_Peer;
    WorkerReport m_Report;
    TimePoint m_ReportedAt;
    bool m_HasReport = false;
    /// Tasks placed over the life of the link.
    std::uint64_t m_PlacedTotal = 0;
    std::deque<UnreportedPlacement> m_UnreportedPlacements;
  };

  /// Slowness of the workers of a service.
  struct KindSlowness {
    /// The median of each kind of worker.
    std::map<std::string, double> m_ByKind;
    /// The mean over all workers, by which run time estimates are corrected.
    double m_Mean = 1;
    /// The speeds of single workers; null unless they are learned.
    const WorkerSpeeds *m_Learned = nullptr;
  };

  /// Recomputed periodically.
  struct LearnedSpeeds {
    WorkerSpeeds m_Speeds;
    TimePoint m_UpdatedAt;
    std::set<Incarnation> m_SlowAgents;
  };

  KindSlowness slownessByKind(const std::string &Service) const;
  KindSlowness medianByKind(const std::string &Service) const;
  const WorkerSpeeds &learnedSpeeds(const std::string &Service) const;
  void logSpeedChanges(const std::string &Service, LearnedSpeeds &Known) const;
  /// The slowness with which a worker counts, before division by the mean.
  double effectiveSlowness(const Worker &Reported,
                           const KindSlowness &Slowness) const;
  /// The result of slownessByKind() some time ago.
  struct RecentSlowness {
    KindSlowness m_Slowness;
    TimePoint m_ComputedAt;
  };

  /// The same, when looking ahead no more than SlownessPeriod old.
  KindSlowness currentSlowness(const std::string &Service) const;
  void index(Incarnation Agent, const Worker &Reported);
  bool isUsable(const Worker &Candidate, const std::string &Service) const;
  PlacementWorker placementWorker(const Worker &Reported,
                                  const KindSlowness &Slowness) const;

  /// Deterministic for the agent, this entry and m_JitterRound.
  Duration costJitter(Incarnation Agent) const;

  const Incarnation m_Entry;
  const bool m_LearnsSpeeds;
  const bool m_LooksAhead;
  std::uint64_t m_JitterRound = 0;
  ITimerService &m_Timers;
  std::unordered_map<Incarnation, Worker> m_Workers;
  /// By service.
  mutable std::map<std::string, LearnedSpeeds> m_LearnedSpeeds;
  /// Empty unless m_LooksAhead.
  WorkerIndex m_Index;
  /// By service.
  mutable std::map<std::string, RecentSlowness> m_RecentSlowness;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_INTERNAL_WORKERTABLE_H
