#include "policy/types/failuretest.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace cyclamenwalk {

namespace {

constexpr double RatioThreshold = 0.5;
constexpr int RatioMinimumCount = 5;
constexpr Duration RatioWindow = seconds(1);

/// Counts of one window.
struct Window {
  TimePoint m_Start;
  int m_Count = 0;
  int m_Failures = 0;

  bool isOver(TimePoint Now) const { return Now - m_Start >= RatioWindow; }

  bool exceedsRatio() const {
    return m_Count >= RatioMinimumCount &&
           m_Failures > RatioThreshold * m_Count;
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
    double Usual = std::clamp(Sample.m_PeerRate, MinimumRate, MaximumRate);
    double Broken = std::max(BrokenRate, std::sqrt(Usual));
    double Step = Sample.m_HasFailed ? std::log(Broken / Usual)
                                     : std::log((1 - Broken) / (1 - Usual));
    m_Sum = std::max(0.0, m_Sum + Step);
    if (m_Sum < Threshold)
      return false;
    m_Sum = 0;
    return true;
  }

private:
  /// Bounds on what counts as the usual rate of failures.
  static constexpr double MinimumRate = 0.01;
  static constexpr double MaximumRate = 0.5;
  static constexpr double BrokenRate = 0.5;
  /// ln(1/1e-6).
  static constexpr double Threshold = 13.8;

  double m_Sum = 0;
};

class PerCallRatioTest {
public:
  bool operator()(const FailureSample &Sample) {
    if (m_Window.isOver(Sample.m_At))
      m_Window.restart(Sample.m_At);
    m_Window.add(Sample);
    return m_Window.exceedsRatio();
  }

private:
  Window m_Window;
};

class WholeWindowTest {
public:
  bool operator()(const FailureSample &Sample) {
    bool IsBroken = false;
    if (m_Window.isOver(Sample.m_At)) {
      IsBroken = m_Window.exceedsRatio();
      m_Window.restart(Sample.m_At);
    }
    m_Window.add(Sample);
    return IsBroken;
  }

private:
  Window m_Window;
};

} // namespace

FailureTest makeSequentialTest() { return SequentialTest(); }
FailureTest makePerCallRatioTest() { return PerCallRatioTest(); }
FailureTest makeWholeWindowTest() { return WholeWindowTest(); }

} // namespace cyclamenwalk
