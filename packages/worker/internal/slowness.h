#ifndef CYCLAMENWALK_WORKER_INTERNAL_SLOWNESS_H
#define CYCLAMENWALK_WORKER_INTERNAL_SLOWNESS_H

#include "policy/types/workerspeed.h"
#include "worker/internal/run.h"

#include <vector>

namespace cyclamenwalk {

/// Estimates how much longer runs take at a server than expected: as a running
/// mean that includes tails, or, if \p SeparatesTails, as learned without them.
class Slowness {
public:
  explicit Slowness(bool SeparatesTails) : m_SeparatesTails(SeparatesTails) {}

  void forgetEnds() { *this = Slowness(m_SeparatesTails); }

  /// Returns whether the run was a tail.
  bool recordSuccess(const Run &Ended, Duration RunTime);

  /// The ratio of actual to expected run times by the runs that have ended.
  double mean() const;

  /// The same with regard to the overdue ones of \p Runs.
  double current(const std::vector<RunPointer> &Runs, TimePoint Now) const;

  const LearnedSpeed &learned() const { return m_Learned.learned(); }

private:
  /// The runs in progress that take longer than the runs that have ended.
  struct OverdueRuns {
    std::size_t m_Running = 0;
    std::size_t m_Overdue = 0;
    /// Sum of their ratios so far.
    double m_RatioSum = 0;
  };
  OverdueRuns overdueRuns(const std::vector<RunPointer> &Runs,
                          TimePoint Now) const;

  bool m_SeparatesTails;
  double m_Mean = 1;
  SpeedEstimator m_Learned;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_SLOWNESS_H
