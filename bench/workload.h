#ifndef CYCLAMENWALK_BENCH_WORKLOAD_H
#define CYCLAMENWALK_BENCH_WORKLOAD_H

#include "core/types/time.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// One request of a workload.
struct WorkItem {
  /// Since the start of the phase.
  Duration m_At{};
  std::string m_Kind;
  std::vector<Duration> m_RunTimes;
  Duration m_Deadline{};
};

/// What arrives during one phase.
struct PhaseForm {
  std::string m_Name;
  Duration m_Span = seconds(6);
  /// Offered work of short tasks over what the slots can do.
  double m_Load = 0.8;
  /// The same for long tasks, which run ten times as long.
  double m_LongLoad = 0;
  /// Share of jobs with 20 tasks; the others have one.
  double m_JobsOf20 = 0;
  /// Jobs of 880 tasks, spread over the phase.
  int m_JobsOf880 = 0;
  Duration m_Deadline = seconds(20);
};

/// The arrivals of a phase: Poisson, with run times that are log-uniform from
/// 25 ms to 500 ms. The same seed gives the same arrivals.
std::vector<WorkItem> makeWorkload(const PhaseForm &Form, std::uint32_t Slots,
                                   std::uint32_t Seed);

/// The shortest possible response time on an empty system.
Duration idealTime(const WorkItem &Item, std::uint32_t Slots);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BENCH_WORKLOAD_H
