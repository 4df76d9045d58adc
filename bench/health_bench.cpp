#include "policy/types/failuretest.h"

#include <cstdio>
#include <random>
#include <string>

using namespace cyclamenwalk;

namespace {

constexpr int Trials = 400;
constexpr Duration HealthySpan = seconds(600);
constexpr Duration DetectLimit = seconds(600);

/// What a test did to workers that see \p RatePerSecond results a second.
struct Verdicts {
  double m_FalseTripsPerHour = 0;
  double m_MeanFailuresToDetect = 0;
  double m_MeanSecondsToDetect = 0;
  int m_Missed = 0;
};

/// One worker whose results come at random instants.
class Worker {
public:
  Worker(FailureTest Test, double RatePerSecond, double FailureRate,
         std::uint32_t Seed)
      : m_Test(std::move(Test)), m_Gap(RatePerSecond), m_Fails(FailureRate),
        m_Random(Seed) {}

  /// Runs until the test trips or \p Limit has passed; whether it tripped.
  bool runUntilTrip(double PeerRate, Duration Limit) {
    for (;;) {
      m_Now += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(m_Gap(m_Random)));
      if (m_Now - m_Start > Limit)
        return false;
      bool HasFailed = m_Fails(m_Random);
      m_Failures += HasFailed;
      if (m_Test({HasFailed, PeerRate, m_Now}))
        return true;
    }
  }

  Duration elapsed() const { return m_Now - m_Start; }
  int failures() const { return m_Failures; }

private:
  FailureTest m_Test;
  std::exponential_distribution<double> m_Gap;
  std::bernoulli_distribution m_Fails;
  std::mt19937 m_Random;
  const TimePoint m_Start{seconds(1000)};
  TimePoint m_Now{seconds(1000)};
  int m_Failures = 0;
};

double inSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

/// Healthy workers fail now and then, as often as their peers; broken ones
/// fail everything.
Verdicts judge(const FailureTestFactory &Make, double RatePerSecond,
               double UsualRate) {
  Verdicts Found;
  int Trips = 0;
  double Hours = 0;
  for (int I = 0; I < Trials; ++I) {
    Worker Healthy(Make(), RatePerSecond, UsualRate, 1000 + I);
    Trips += Healthy.runUntilTrip(UsualRate, HealthySpan);
    Hours += inSeconds(std::min(Healthy.elapsed(), HealthySpan)) / 3600;
    Worker Broken(Make(), RatePerSecond, 1.0, 5000 + I);
    if (!Broken.runUntilTrip(UsualRate, DetectLimit)) {
      ++Found.m_Missed;
      continue;
    }
    Found.m_MeanFailuresToDetect += Broken.failures();
    Found.m_MeanSecondsToDetect += inSeconds(Broken.elapsed());
  }
  int Detected = Trials - Found.m_Missed;
  if (Detected > 0) {
    Found.m_MeanFailuresToDetect /= Detected;
    Found.m_MeanSecondsToDetect /= Detected;
  }
  Found.m_FalseTripsPerHour = Trips / Hours;
  return Found;
}

void printRow(const char *Name, const FailureTestFactory &Make, double Rate,
              double Usual) {
  Verdicts Found = judge(Make, Rate, Usual);
  std::printf("| %s | %g | %g%% | %.2f | %.1f | %.1f | %d of %d |\n", Name,
              Rate, Usual * 100, Found.m_FalseTripsPerHour,
              Found.m_MeanFailuresToDetect, Found.m_MeanSecondsToDetect,
              Found.m_Missed, Trials);
}

} // namespace

int main() {
  std::printf("| test | results/s | usual failures | false trips per worker "
              "and hour | failures until detected | seconds until detected | "
              "missed in 600 s |\n| --- | --- | --- | --- | --- | --- | --- "
              "|\n");
  for (double Rate : {0.5, 2.0, 8.0, 20.0})
    for (double Usual : {0.01, 0.1, 0.3}) {
      printRow("per-call ratio", makePerCallRatioTest, Rate, Usual);
      printRow("whole window", makeWholeWindowTest, Rate, Usual);
      printRow("sequential", makeSequentialTest, Rate, Usual);
    }
}
