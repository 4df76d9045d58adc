#ifndef CYCLAMENWALK_BENCH_PLACEMENTREPLAY_H
#define CYCLAMENWALK_BENCH_PLACEMENTREPLAY_H

#include "core/types/metric.h"
#include "core/types/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// One kind of job in a replay.
struct ReplayKind {
  std::string m_Name;
  double m_JobsPerSecond = 0;
  std::uint32_t m_Tasks = 1;
  Duration m_RunTime{};
};

/// A load on entries and agents that run in one process on a simulated clock,
/// with their real decisions and without a network.
struct ReplayLoad {
  std::vector<ReplayKind> m_Kinds;
  std::size_t m_Servers = 16;
  std::size_t m_Entries = 2;
  /// Cores of a task; a wide one needs more by m_WideFactor.
  std::int64_t m_MilliCores = 2600;
  std::int64_t m_CapacityMilliCores = 32'000;
  double m_WideFactor = 4;
  double m_WideShare = 0.1;
  /// Standard deviation of the logarithm of estimate over run time.
  double m_EstimateError = 0.4;
  /// Share of runs that take m_TailFactor times as long.
  double m_TailShare = 0;
  double m_TailFactor = 7;
  Duration m_Length = seconds(10);
  /// Factor on the rate of the last kind, and when it applies.
  double m_BurstFactor = 2.3;
  Duration m_BurstFrom = seconds(3);
  Duration m_BurstUntil = seconds(8);
  std::uint32_t m_Seed = 1;
};

/// Three kinds of job at the rates of a site of 47 servers, of which a third
/// has left, scaled to 16 servers; the last kind is the longest.
ReplayLoad makePeakLoad(std::uint32_t Seed);

struct ReplayGroup {
  std::size_t m_Offered = 0;
  /// Answered before the deadline.
  std::size_t m_Served = 0;
  /// Answered within the objective.
  std::size_t m_InTime = 0;
  /// Time from submission to answer beyond the longest task, of served jobs.
  std::vector<Duration> m_Waits;

  Duration waitQuantile(double Quantile) const;
  double servedShare() const;
  double inTimeShare() const;
};

struct ReplayResult {
  /// By "KIND" and "KIND wide".
  std::map<std::string, ReplayGroup> m_Groups;
  std::array<std::uint64_t, static_cast<std::size_t>(Metric::Count)> m_Counts{};

  std::uint64_t of(Metric Counter) const {
    return m_Counts[static_cast<std::size_t>(Counter)];
  }
  /// Sum over the wide groups, or over the others.
  ReplayGroup sum(bool IsWide) const;
};

ReplayResult replayPlacement(const ReplayLoad &Load, bool LooksAhead);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BENCH_PLACEMENTREPLAY_H
