#ifndef CYCLAMENWALK_TESTS_SOAK_SOAKCHECKER_H
#define CYCLAMENWALK_TESTS_SOAK_SOAKCHECKER_H

#include "core/types/time.h"
#include "runner/runnerstandin.h"
#include "soak/faultproxy.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace cyclamenwalk {

/// A job as its caller submitted it.
struct SoakJob {
  std::string m_Name;
  std::uint32_t m_Tasks = 1;
  std::int64_t m_MilliCores = 1000;
  std::int64_t m_MemoryMb = 16;
  std::string m_Spec;
  std::uint32_t m_MaxAttempts = 3;
};

/// Compares the answers that callers get with the runs that runners report, and
/// records each violation of a guarantee as one line. Thread-safe.
class SoakChecker final : public IRunObserver {
public:
  /// Called before a job is sent, for the first time or again.
  void recordSubmission(const SoakJob &Job, TimePoint Now);

  /// \p Status is zero when the connection ended without an answer.
  void recordAnswer(const std::string &Job, int Status,
                    const std::string &State);

  /// Called when the caller neither waits for the job nor sends it again.
  void recordAbandonment(const std::string &Job, TimePoint Now);

  /// Called when an entry has answered a cancellation with 2xx or 410.
  void recordCancellation(const std::string &Job, TimePoint Now);

  /// Called for a start order whose answer was lost or that came late.
  void recordOrder(const ObservedRun &Run, CallFate Fate);

  /// A span in which a fault lasts. The rules on cancelled jobs hold when none
  /// is near.
  void recordDisruption(TimePoint Begin, TimePoint End);

  /// Checks the runs that are still active; called once before the end.
  void checkActiveRuns(TimePoint Now);

  /// \p IsServed tells whether an entry serves the route of \p Version;
  /// \p Process identifies the entry and counts its restarts.
  void recordRoute(const std::string &Process, std::uint64_t Version,
                   bool IsServed);

  void started(const ObservedRun &Run) override;
  void ended(const ObservedRun &Run, const std::string &Outcome) override;
  void leaving(const std::string &Runner) override;

  /// Called when a runner was started again with the same id.
  void recordReturn(const std::string &Runner);

  void reportViolation(const std::string &Violation);

  std::vector<std::string> violations() const;
  std::size_t answers(int Status) const;
  std::size_t starts() const;
  std::size_t cancellations() const;

  /// The number of submissions without an answer or a lost connection yet.
  std::size_t pendingAnswers() const;

private:
  /// A run and the runner that it is on.
  using RunAt = std::pair<std::uint32_t, std::string>;

  struct Task {
    std::set<RunAt> m_ActiveRuns;
    std::uint32_t m_Failures = 0;
    bool m_IsDone = false;
  };

  struct Job {
    SoakJob m_Submitted;
    std::map<std::string, Task> m_Tasks;
    std::uint32_t m_Submissions = 0;
    std::uint32_t m_Refusals = 0;
    std::uint32_t m_Starts = 0;
    std::uint32_t m_PendingAnswers = 0;
    bool m_IsAbandoned = false;
    TimePoint m_AbandonedAt;
    bool m_IsCancelled = false;
    TimePoint m_CancelledAt;
  };

  /// A violation and the runs whose orders are described with it.
  struct Violation {
    std::string m_Text;
    std::vector<ObservedRun> m_Runs;
  };

  struct OrderFate {
    bool m_IsAnswerLost = false;
    bool m_IsLate = false;
  };

  struct Usage {
    std::int64_t m_MilliCores = 0;
    std::int64_t m_MemoryMb = 0;
  };

  using OrderKey = std::tuple<std::string, std::string, std::uint32_t>;

  static OrderKey orderKey(const ObservedRun &Run);
  void addViolation(const std::string &Text,
                    std::vector<ObservedRun> Runs = {});
  std::string describe(const Violation &Found) const;
  std::vector<ObservedRun> startsOf(const Job &Owner) const;
  Job *findJob(const ObservedRun &Run);
  void checkStart(const ObservedRun &Run, Job &Owner);
  void checkOverlap(const ObservedRun &Run, const Task &Started);
  void checkLimits(const ObservedRun &Run, Job &Owner);
  void checkCapacity(const ObservedRun &Run, const Job &Owner);
  void checkCancelled(const ObservedRun &Run, const Job &Owner,
                      Duration Allowed, TimePoint Now, const char *What);
  bool isCalm(TimePoint From, TimePoint To) const;
  void checkCompleted(const Job &Record);

  mutable std::mutex m_Mutex;
  std::map<std::string, Job> m_Jobs;
  std::map<std::string, Usage> m_Used;
  /// The runs of each job that have started, to describe their orders.
  std::map<std::string, std::vector<ObservedRun>> m_Starts;
  std::map<OrderKey, OrderFate> m_Orders;
  std::vector<std::pair<TimePoint, TimePoint>> m_Disruptions;
  std::map<std::string, TimePoint> m_LeavingSince;
  std::map<std::string, std::uint64_t> m_HighestVersions;
  std::map<int, std::size_t> m_AnswerCounts;
  std::size_t m_TotalStarts = 0;
  std::size_t m_Cancellations = 0;
  std::vector<Violation> m_Violations;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_SOAKCHECKER_H
