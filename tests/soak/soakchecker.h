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

/// A job as its caller knows it.
struct SoakJob {
  std::string m_Name;
  std::uint32_t m_Tasks = 1;
  std::int64_t m_MilliCores = 1000;
  std::string m_Spec;
  std::uint32_t m_MaxAttempts = 3;
};

/// Holds what callers are told against what runners did. Each violation of a
/// promise is one line. Called from any thread.
class SoakChecker final : public IRunObserver {
public:
  /// A caller is about to send a job, for the first time or again.
  void submitted(const SoakJob &Job, TimePoint Now);

  /// A caller got an answer; \p Status is zero when its connection ended
  /// without one.
  void answered(const std::string &Job, int Status, const std::string &State);

  /// No caller waits for the job any more.
  void abandoned(const std::string &Job, TimePoint Now);

  /// An entry served the route of \p Version, or said that there is none.
  /// \p Life names the entry's process.
  void sawRoute(const std::string &Life, std::uint64_t Version, bool IsThere);

  void started(const ObservedRun &Run) override;
  void ended(const ObservedRun &Run, const std::string &How) override;
  void leaving(const std::string &Runner) override;

  /// A runner of that name lives anew.
  void returned(const std::string &Runner);

  void report(const std::string &Violation);

  std::vector<std::string> violations() const;
  std::size_t answers(int Status) const;
  std::size_t starts() const;

  /// The jobs for which an answer is outstanding.
  std::size_t outstanding() const;

private:
  struct Task {
    std::set<std::uint32_t> m_Running;
    std::uint32_t m_Failures = 0;
    bool m_IsDone = false;
  };

  struct Job {
    SoakJob m_Said;
    std::map<std::string, Task> m_Tasks;
    std::uint32_t m_Attempts = 0;
    std::uint32_t m_Refusals = 0;
    std::uint32_t m_Starts = 0;
    std::uint32_t m_Waiting = 0;
    bool m_IsAbandoned = false;
    TimePoint m_AbandonedAt;
  };

  void add(const std::string &Violation);
  Job *jobOf(const ObservedRun &Run);
  void checkStart(const ObservedRun &Run, Job &Known);
  void checkCompleted(const Job &Known);

  mutable std::mutex m_Mutex;
  std::map<std::string, Job> m_Jobs;
  std::map<std::string, std::int64_t> m_UsedAt;
  std::map<std::string, TimePoint> m_LeavingSince;
  std::map<std::string, std::uint64_t> m_HighestSeen;
  std::map<int, std::size_t> m_Answers;
  std::size_t m_Starts = 0;
  std::vector<std::string> m_Violations;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SOAK_SOAKCHECKER_H
