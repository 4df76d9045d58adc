#include "worker/internal/backfill.h"

#include "core/log.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// Core time that may be kept free for a run, relative to what the run is
/// expected to use: the runs behind it lose no more than it gains.
constexpr double MaxHeldRatio = 1.0;
constexpr double MilliCoresPerCore = 1000;

Duration coreTime(std::int64_t MilliCores, Duration Span) {
  return scaled(Span, static_cast<double>(MilliCores) / MilliCoresPerCore);
}

Duration expectedRunTime(const Run &Waiting, double Slowness) {
  return scaled(Waiting.m_Job->m_ExpectedRunTime, Slowness);
}

} // namespace

std::vector<ExpectedEnd> expectedEnds(const std::vector<RunPointer> &Runs,
                                      TimePoint Now, double Slowness) {
  std::vector<ExpectedEnd> Ends;
  for (const RunPointer &Active : Runs) {
    if (!usesResources(*Active))
      continue;
    RunEstimate Estimate;
    Estimate.m_Expected = expectedRunTime(*Active, Slowness);
    if (Active->m_StartedAt != TimePoint{}) {
      Estimate.m_Elapsed = Now - Active->m_StartedAt;
      Estimate.m_ProgressPercent = Active->m_ProgressPercent;
      Estimate.m_ElapsedAtProgress =
          Active->m_ProgressListedAt - Active->m_StartedAt;
    }
    Ends.push_back({expectedRemaining(Estimate), Active->m_Job->m_Required});
  }
  std::sort(Ends.begin(), Ends.end(), [](const auto &Left, const auto &Right) {
    return Left.m_Within < Right.m_Within;
  });
  return Ends;
}

/// Runs that have been passed over for too long come before all others, in the
/// order of their placement.
void Backfill::promote(BackfillView &View) const {
  auto Promoted =
      std::stable_partition(View.m_Waiting.begin(), View.m_Waiting.end(),
                            [&](const RunPointer &Waiting) {
                              return isPassedOverTooLong(*Waiting, View.m_Now);
                            });
  std::stable_sort(View.m_Waiting.begin(), Promoted,
                   [](const RunPointer &Left, const RunPointer &Right) {
                     return Left->m_Job->m_PlacedAt < Right->m_Job->m_PlacedAt;
                   });
}

Backfill::Choice Backfill::next(BackfillView View) {
  promote(View);
  std::optional<std::vector<ExpectedEnd>> Ends;
  for (std::size_t I = 0; I < View.m_Waiting.size(); ++I) {
    const RunPointer &Waiting = View.m_Waiting[I];
    if (View.m_Free.canFit(Waiting->m_Job->m_Required))
      return start(Waiting, View);
    if (!Ends)
      Ends = View.m_ExpectedEnds();
    ResourceForecast Forecast{{}, View.m_Free, *Ends, {}};
    auto Within = usefulReservation(*Waiting, View, Forecast);
    if (!Within && isPassedOverTooLong(*Waiting, View.m_Now))
      return giveUp(Waiting, View.m_Now);
    if (!Within)
      continue;
    reserve(*Waiting, *Within, View.m_Now);
    if (!hasLapsed(*Waiting, View.m_Slowness))
      return chooseBehind(I, View, Forecast);
    m_Metrics.count(Metric::ReservationsLapsed);
    return giveUp(Waiting, View.m_Now);
  }
  m_Reservation.reset();
  return {};
}

bool Backfill::isPassedOverTooLong(const Run &Waiting, TimePoint Now) const {
  return Waiting.m_PassedOverSince != TimePoint{} &&
         Now - Waiting.m_PassedOverSince >= m_MaxPassedOver;
}

/// Time until the run fits; empty if the run is returned to its entry before.
std::optional<Duration>
Backfill::usefulReservation(const Run &Waiting, const BackfillView &View,
                            const ResourceForecast &Forecast) {
  const PlacedJob &Job = *Waiting.m_Job;
  auto Within = timeUntilFit(Forecast, Job.m_Required);
  TimePoint EndOfUse =
      std::min(Job.m_PlacedAt + m_MaxQueueTime, Job.m_DeadlineAt);
  return Within && View.m_Now + *Within < EndOfUse ? Within : std::nullopt;
}

void Backfill::reserve(const Run &Holder, Duration Within, TimePoint Now) {
  if (!m_Reservation || m_Reservation->m_Run != Holder.m_Id) {
    m_Reservation = Reservation{Holder.m_Id, Within, 0, Now, {}};
    m_Metrics.count(Metric::ReservationsMade);
    logEvent(LogLevel::Debug, "reservation.made",
             {{"task", Holder.m_Id.m_Task},
              {"run", Holder.m_Id.m_Run},
              {"millicores", Holder.m_Job->m_Required.m_MilliCores},
              {"within_ms", toMilliseconds(Within)}});
  }
  m_Reservation->m_Within = Within;
  m_Reservation->m_HeldCoreTime += coreTime(m_Reservation->m_HeldMilliCores,
                                            Now - m_Reservation->m_HeldSince);
  m_Reservation->m_HeldSince = Now;
  m_Reservation->m_HeldMilliCores = 0;
}

bool Backfill::hasLapsed(const Run &Holder, double Slowness) const {
  Duration Limit = scaled(coreTime(Holder.m_Job->m_Required.m_MilliCores,
                                   expectedRunTime(Holder, Slowness)),
                          MaxHeldRatio);
  return m_Reservation->m_HeldCoreTime > Limit;
}

/// Records which earlier runs are passed over.
Backfill::Choice Backfill::start(const RunPointer &Started,
                                 const BackfillView &View) {
  for (const RunPointer &Waiting : View.m_Waiting) {
    bool IsPassedOver =
        Waiting->m_Job->m_PlacedAt < Started->m_Job->m_PlacedAt &&
        !View.m_Free.canFit(Waiting->m_Job->m_Required);
    if (!IsPassedOver || Waiting->m_PassedOverSince != TimePoint{})
      continue;
    Waiting->m_PassedOverSince = View.m_Now;
    m_Metrics.count(Metric::RunsPassedOver);
  }
  if (m_Reservation && m_Reservation->m_Run == Started->m_Id)
    m_Reservation.reset();
  return {Started};
}

Backfill::Choice Backfill::giveUp(const RunPointer &Waiting, TimePoint Now) {
  bool IsReserved = m_Reservation && m_Reservation->m_Run == Waiting->m_Id;
  bool IsPassedOver = Waiting->m_PassedOverSince != TimePoint{};
  logEvent(LogLevel::Info, "run.given_up",
           {{"task", Waiting->m_Id.m_Task},
            {"run", Waiting->m_Id.m_Run},
            {"millicores", Waiting->m_Job->m_Required.m_MilliCores},
            {"held_core_ms",
             toMilliseconds(IsReserved ? m_Reservation->m_HeldCoreTime
                                       : Duration::zero())},
            {"passed_over_ms",
             toMilliseconds(IsPassedOver ? Now - Waiting->m_PassedOverSince
                                         : Duration::zero())}});
  if (IsReserved)
    m_Reservation.reset();
  return {Waiting, true};
}

/// The first run behind the holder of the reservation that does not delay it.
/// Behind a holder that was passed over for too long none starts.
Backfill::Choice Backfill::chooseBehind(std::size_t HolderIndex,
                                        const BackfillView &View,
                                        const ResourceForecast &Forecast) {
  const Run &Holder = *View.m_Waiting[HolderIndex];
  bool IsClosed = isPassedOverTooLong(Holder, View.m_Now);
  std::int64_t HeldMilliCores = 0;
  for (std::size_t I = HolderIndex + 1; I < View.m_Waiting.size(); ++I) {
    const RunPointer &Candidate = View.m_Waiting[I];
    ResourceDemand Demand{Candidate->m_Job->m_Required,
                          expectedRunTime(*Candidate, View.m_Slowness)};
    if (!View.m_Free.canFit(Demand.m_Required))
      continue;
    bool MayStart =
        !IsClosed && canBackfill(Forecast, Demand, Holder.m_Job->m_Required,
                                 m_Reservation->m_Within);
    if (MayStart) {
      m_Metrics.count(Metric::BackfilledStarts);
      return start(Candidate, View);
    }
    HeldMilliCores += Demand.m_Required.m_MilliCores;
  }
  m_Reservation->m_HeldMilliCores =
      std::min(HeldMilliCores, View.m_Free.m_MilliCores);
  return {};
}

} // namespace cyclamenwalk
