#include "policy/types/failuretest.h"

#include <cstdio>
#include <random>
#include <string>

using namespace cyclamenwalk;

namespace {

constexpr int Trials = 400;
constexpr Duration HealthyDuration = seconds(600);
constexpr Duration DetectionTimeout = seconds(600);

/// False trips on healthy workers, and how fast broken workers are detected.
struct DetectionStats {
  double m_FalseTripsPerHour = 0;
  double m_MeanFailuresToDetect = 0;
  double m_MeanSecondsToDetect = 0;
  int m_UndetectedCount = 0;
};

/// A worker whose results arrive as a Poisson process.
class SimulatedWorker {
public:
  SimulatedWorker(FailureTest Test, double RatePerSecond, double FailureRate,
                  std::uint32_t Seed)
      : m_Test(std::move(Test)), m_Interval(RatePerSecond),
        m_FailureDistribution(FailureRate), m_RandomEngine(Seed) {}

  /// Runs until the test trips or \p Limit has passed. Returns whether it
  /// tripped.
  bool runUntilTrip(double PeerFailureRate, Duration Limit) {
    for (;;) {
      m_Now += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(m_Interval(m_RandomEngine)));
      if (m_Now - m_Start > Limit)
        return false;
      bool HasFailed = m_FailureDistribution(m_RandomEngine);
      m_FailureCount += HasFailed;
      if (m_Test({HasFailed, PeerFailureRate, m_Now}))
        return true;
    }
  }

  Duration elapsed() const { return m_Now - m_Start; }
  int failureCount() const { return m_FailureCount; }

private:
  FailureTest m_Test;
  std::exponential_distribution<double> m_Interval;
  std::bernoulli_distribution m_FailureDistribution;
  std::mt19937 m_RandomEngine;
  const TimePoint m_Start{seconds(1000)};
  TimePoint m_Now{seconds(1000)};
  int m_FailureCount = 0;
};

double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Healthy workers fail at the failure rate of their peers, broken ones fail
/// every task.
DetectionStats measureDetection(const FailureTestFactory &MakeTest,
                                double RatePerSecond,
                                double BaselineFailureRate) {
  DetectionStats Stats;
  int FalseTrips = 0;
  double Hours = 0;
  for (int I = 0; I < Trials; ++I) {
    SimulatedWorker HealthyWorker(MakeTest(), RatePerSecond,
                                  BaselineFailureRate, 1000 + I);
    FalseTrips +=
        HealthyWorker.runUntilTrip(BaselineFailureRate, HealthyDuration);
    Hours +=
        toSeconds(std::min(HealthyWorker.elapsed(), HealthyDuration)) / 3600;
    SimulatedWorker BrokenWorker(MakeTest(), RatePerSecond, 1.0, 5000 + I);
    if (!BrokenWorker.runUntilTrip(BaselineFailureRate, DetectionTimeout)) {
      ++Stats.m_UndetectedCount;
      continue;
    }
    Stats.m_MeanFailuresToDetect += BrokenWorker.failureCount();
    Stats.m_MeanSecondsToDetect += toSeconds(BrokenWorker.elapsed());
  }
  int Detected = Trials - Stats.m_UndetectedCount;
  if (Detected > 0) {
    Stats.m_MeanFailuresToDetect /= Detected;
    Stats.m_MeanSecondsToDetect /= Detected;
  }
  Stats.m_FalseTripsPerHour = FalseTrips / Hours;
  return Stats;
}

void printRow(const char *Name, const FailureTestFactory &MakeTest,
              double RatePerSecond, double BaselineFailureRate) {
  DetectionStats Stats =
      measureDetection(MakeTest, RatePerSecond, BaselineFailureRate);
  std::printf("| %s | %g | %g%% | %.2f | %.1f | %.1f | %d of %d |\n", Name,
              RatePerSecond, BaselineFailureRate * 100,
              Stats.m_FalseTripsPerHour, Stats.m_MeanFailuresToDetect,
              Stats.m_MeanSecondsToDetect, Stats.m_UndetectedCount, Trials);
}

} // namespace

int main() {
  std::printf(
      "| test | results/s | baseline failures | false trips per "
      "worker-hour | failures until detected | seconds until detected | "
      "missed in 600 s |\n| --- | --- | --- | --- | --- | --- | --- "
      "|\n");
  for (double RatePerSecond : {0.5, 2.0, 8.0, 20.0})
    for (double BaselineFailureRate : {0.01, 0.1, 0.3}) {
      printRow("per-call ratio", makePerCallRatioTest, RatePerSecond,
               BaselineFailureRate);
      printRow("whole window", makeWholeWindowTest, RatePerSecond,
               BaselineFailureRate);
      printRow("sequential", makeSequentialTest, RatePerSecond,
               BaselineFailureRate);
    }
}
