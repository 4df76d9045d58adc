#ifndef CYCLAMENWALK_TESTS_SOAK_SOAKCHECKER_H
#define CYCLAMENWALK_TESTS_SOAK_SOAKCHECKER_H

#include "core/types/time.h"
#include "runner/runnerstandin.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// A job as its caller submitted it.
struct SoakJob {
  std::string m_Name;
  std::uint32_t m_Tasks = 1;
  std::int64_t m_MilliCores = 1000;
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

  /// The number of submissions without an answer or a lost connection yet.
  std::size_t pendingAnswers() const;

private:
  struct Task {
    std::set<std::uint32_t> m_ActiveRuns;
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
  };

  void addViolation(const std::string &Violation);
  Job *findJob(const ObservedRun &Run);
  void checkStart(const ObservedRun &Run, Job &Owner);
  void checkCompleted(const Job &Record);

  mutable std::mutex m_Mutex;
  std::map<std::string, Job> m_Jobs;
  std::map<std::string, std::int64_t> m_UsedMilliCores;
  std::map<std::string, TimePoint> m_LeavingSince;
  std::map<std::string, std::uint64_t> m_HighestVersions;
  std::map<int, std::size_t> m_AnswerCounts;
  std::size_t m_TotalStarts = 0;
  std::vector<std::string> m_Violations;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_SOAKCHECKER_H
