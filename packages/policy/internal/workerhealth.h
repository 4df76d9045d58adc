#ifndef CYCLAMENWALK_POLICY_INTERNAL_WORKERHEALTH_H
#define CYCLAMENWALK_POLICY_INTERNAL_WORKERHEALTH_H

#include "core/imetrics.h"
#include "core/itimerservice.h"
#include "policy/iworkerhealth.h"
#include "policy/types/failuretest.h"
#include "statechart/boundchart.h"
#include "statechart/ichartsource.h"

#include <map>
#include <unordered_map>

namespace cyclamenwalk {

enum class HealthState { Healthy, Ejected, Probing, Ramping };
enum class HealthEvent { FailureDetected, PauseOver, Failed, Succeeded };

template <> struct ChartNames<HealthState> {
  static constexpr std::array<std::string_view, 4> Values{"healthy", "ejected",
                                                          "probing", "ramping"};
};
template <> struct ChartNames<HealthEvent> {
  static constexpr std::array<std::string_view, 4> Values{
      "failureDetected", "pauseOver", "failed", "succeeded"};
};

/// Ejects workers that a failure test reports, up to a limit on the ratio of a
/// service's workers, and readmits them by single probes and a growing limit.
class WorkerHealth final : public IWorkerHealth {
public:
  WorkerHealth(FailureTestFactory MakeTest, const IChartSource &Charts,
               ITimerService &Timers, IMetrics &Metrics);
  ~WorkerHealth() override;

  void onLimitChanged(LimitChanged Hook) override;
  void add(Incarnation Worker, const std::string &Service) override;
  void remove(Incarnation Worker) override;
  void record(Incarnation Worker, bool HasFailed) override;
  std::uint32_t limitedWorkers() const override;

private:
  struct Worker {
    HealthState m_State = HealthState::Healthy;
    Incarnation m_Id;
    std::string m_Service;
    FailureTest m_Test;
    std::uint32_t m_Probes = 0;
    std::uint32_t m_Limit = NoLimit;
    /// Doubled with each ejection until the worker is healthy again.
    Duration m_Pause{};
    TimerId m_Timer = 0;
  };

  /// The workers of one service.
  struct Service {
    std::uint32_t m_Workers = 0;
    std::uint32_t m_Ejected = 0;
    /// Exponential moving average over the results of healthy workers.
    double m_FailureRate = 0;
  };

  using Chart = BoundChart<Worker, HealthState, HealthEvent>;

  Chart bindChart(const IChartSource &Charts);
  bool mayEject(const Worker &Suspect) const;
  void eject(Worker &Faulty);
  void setLimit(Worker &Limited, std::uint32_t Limit);

  const FailureTestFactory m_MakeTest;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  const Chart m_Chart;
  LimitChanged m_LimitChanged;
  std::unordered_map<Incarnation, Worker> m_Workers;
  std::map<std::string, Service> m_Services;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_POLICY_INTERNAL_WORKERHEALTH_H
