#ifndef CYCLAMENWALK_WORKER_INTERNAL_BACKFILL_H
#define CYCLAMENWALK_WORKER_INTERNAL_BACKFILL_H

#include "core/imetrics.h"
#include "policy/types/lookahead.h"
#include "worker/internal/run.h"

#include <functional>
#include <optional>
#include <vector>

namespace cyclamenwalk {

/// The expected ends of the runs that use resources, sorted by time.
/// \p Slowness: factor on the estimated run times.
std::vector<ExpectedEnd> expectedEnds(const std::vector<RunPointer> &Runs,
                                      TimePoint Now, double Slowness);

/// The waiting runs of a server and its resources.
struct BackfillView {
  /// The runs that may start, sorted by order key.
  std::vector<RunPointer> m_Waiting;
  Resources m_Free;
  TimePoint m_Now;
  /// Factor on the estimated run times.
  double m_Slowness = 1;
  /// Called only if a run does not fit.
  std::function<std::vector<ExpectedEnd>()> m_ExpectedEnds;
};

/// Chooses the next waiting run to start. The first one that does not fit gets
/// a reservation for the time when enough resources are expected to be free;
/// runs behind it start as long as they do not delay it. Wrong estimates change
/// only when and in which order runs start.
class Backfill {
public:
  /// \p MaxQueueTime: waiting runs are returned to their entry after it.
  Backfill(Duration MaxPassedOver, Duration MaxQueueTime, IMetrics &Metrics)
      : m_MaxPassedOver(MaxPassedOver), m_MaxQueueTime(MaxQueueTime),
        m_Metrics(Metrics) {}

  struct Choice {
    /// Null while no run can start.
    RunPointer m_Run;
    /// Whether the run is to be returned to its entry, which can place it at
    /// another server.
    bool m_IsGivenUp = false;
  };

  Choice next(BackfillView View);

private:
  struct Reservation {
    RunId m_Run;
    /// When enough resources are expected to be free.
    Duration m_Within{};
    /// Cores that are free but kept from the runs behind, in thousandths, and
    /// since when.
    std::int64_t m_HeldMilliCores = 0;
    TimePoint m_HeldSince;
    /// Core time kept free before, as time on one core.
    Duration m_HeldCoreTime{};
  };

  void promote(BackfillView &View) const;
  bool isPassedOverTooLong(const Run &Waiting, TimePoint Now) const;
  std::optional<Duration> usefulReservation(const Run &Waiting,
                                            const BackfillView &View,
                                            const ResourceForecast &Forecast);
  void reserve(const Run &Holder, Duration Within, TimePoint Now);
  bool hasLapsed(const Run &Holder, double Slowness) const;
  Choice start(const RunPointer &Started, const BackfillView &View);
  Choice giveUp(const RunPointer &Waiting, TimePoint Now);
  Choice chooseBehind(std::size_t HolderIndex, const BackfillView &View,
                      const ResourceForecast &Forecast);

  const Duration m_MaxPassedOver;
  const Duration m_MaxQueueTime;
  IMetrics &m_Metrics;
  /// For the first waiting run that does not fit.
  std::optional<Reservation> m_Reservation;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_INTERNAL_BACKFILL_H
