#include "policy/types/failuretest.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace cyclamenwalk {

namespace {

constexpr double RatioThreshold = 0.5;
constexpr int RatioMinCount = 5;
constexpr Duration RatioWindow = seconds(1);

/// The result counts of one window.
struct Window {
  TimePoint m_Start;
  int m_Count = 0;
  int m_Failures = 0;

  bool isOver(TimePoint Now) const { return Now - m_Start >= RatioWindow; }

  bool exceedsRatio() const {
    return m_Count >= RatioMinCount && m_Failures > RatioThreshold * m_Count;
  }

  void restart(TimePoint Now) { *this = Window{Now}; }

  void add(const FailureSample &Sample) {
    ++m_Count;
    m_Failures += Sample.m_HasFailed;
  }
};

class SequentialTest {
public:
  bool operator()(const FailureSample &Sample) {
    double PeerRate = std::clamp(Sample.m_PeerRate, MinPeerRate, MaxPeerRate);
    double FaultyRate = std::max(MinFaultyRate, std::sqrt(PeerRate));
    double LogLikelihoodRatio =
        Sample.m_HasFailed ? std::log(FaultyRate / PeerRate)
                           : std::log((1 - FaultyRate) / (1 - PeerRate));
    m_Sum = std::max(0.0, m_Sum + LogLikelihoodRatio);
    if (m_Sum < Threshold)
      return false;
    m_Sum = 0;
    return true;
  }

private:
  /// Bounds of the failure rate that is expected of a healthy worker.
  static constexpr double MinPeerRate = 0.01;
  static constexpr double MaxPeerRate = 0.5;
  /// The lowest failure rate that is expected of a faulty worker.
  static constexpr double MinFaultyRate = 0.5;
  /// ln(1/1e-6): one false detection in about a million results.
  static constexpr double Threshold = 13.8;

  double m_Sum = 0;
};

class PerCallRatioTest {
public:
  bool operator()(const FailureSample &Sample) {
    if (m_Window.isOver(Sample.m_Time))
      m_Window.restart(Sample.m_Time);
    m_Window.add(Sample);
    return m_Window.exceedsRatio();
  }

private:
  Window m_Window;
};

class WholeWindowTest {
public:
  bool operator()(const FailureSample &Sample) {
    bool IsFaulty = false;
    if (m_Window.isOver(Sample.m_Time)) {
      IsFaulty = m_Window.exceedsRatio();
      m_Window.restart(Sample.m_Time);
    }
    m_Window.add(Sample);
    return IsFaulty;
  }

private:
  Window m_Window;
};

} // namespace

FailureTest makeSequentialTest() { return SequentialTest(); }
FailureTest makePerCallRatioTest() { return PerCallRatioTest(); }
FailureTest makeWholeWindowTest() { return WholeWindowTest(); }

} // namespace cyclamenwalk
