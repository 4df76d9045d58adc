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
  /// Time since the start of the phase.
  Duration m_ArrivalTime{};
  std::string m_Kind;
  std::vector<Duration> m_RunTimes;
  Duration m_Deadline{};
};

/// Load of one phase of the benchmark.
struct PhaseSpec {
  std::string m_Name;
  Duration m_Duration = seconds(6);
  /// Offered load of short tasks as a ratio of the capacity of all slots.
  double m_ShortLoad = 0.8;
  /// The same for long tasks, whose run times are ten times as long.
  double m_LongLoad = 0;
  /// Ratio of short jobs with 20 tasks; the others have one.
  double m_MediumJobRatio = 0;
  /// Number of jobs with 880 tasks, spread evenly over the phase.
  int m_LargeJobCount = 0;
  Duration m_Deadline = seconds(20);
};

/// Generates the requests of a phase, with Poisson arrivals and run times that
/// are log-uniform from 25 ms to 500 ms. The same seed gives the same requests.
std::vector<WorkItem> makeWorkload(const PhaseSpec &Phase, std::uint32_t Slots,
                                   std::uint32_t Seed);

/// Shortest possible response time on an idle system.
Duration idealTime(const WorkItem &Item, std::uint32_t Slots);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BENCH_WORKLOAD_H
