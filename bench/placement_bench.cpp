#include "placementreplay.h"

#include "core/log.h"
#include <cstdio>
#include <cstdlib>

using namespace cyclamenwalk;

namespace {

constexpr double Percent = 100;

void print(const char *Variant, const std::string &Name,
           const ReplayGroup &Group) {
  std::printf("%-9s %-12s %8zu %8.1f %8.1f %8lld %8lld\n", Variant,
              Name.c_str(), Group.m_Offered, Percent * Group.servedShare(),
              Percent * Group.inTimeShare(),
              static_cast<long long>(toMilliseconds(Group.waitQuantile(0.5))),
              static_cast<long long>(toMilliseconds(Group.waitQuantile(0.95))));
}

} // namespace

/// Replays a peak with and without looking ahead: placement_bench [SEED
/// [TAIL]], with the share of runs that take seven times as long.
int main(int Count, char **Arguments) {
  ReplayLoad Load = makePeakLoad(
      Count > 1 ? static_cast<std::uint32_t>(std::atoi(Arguments[1])) : 1);
  Load.m_TailShare = Count > 2 ? std::atof(Arguments[2]) : 0;
  startLogging("placement_bench", LogLevel::Error);
  std::printf("%-9s %-12s %8s %8s %8s %8s %8s\n", "variant", "group", "offered",
              "served%", "in time%", "wait p50", "wait p95");
  for (bool LooksAhead : {false, true}) {
    const char *Variant = LooksAhead ? "ahead" : "baseline";
    ReplayResult Result = replayPlacement(Load, LooksAhead);
    for (const auto &Item : Result.m_Groups)
      print(Variant, Item.first, Item.second);
    print(Variant, "all small", Result.sum(false));
    print(Variant, "all wide", Result.sum(true));
    std::printf(
        "%-9s replaced %llu refused %llu reservations %llu lapsed %llu "
        "backfilled %llu passed over %llu\n",
        Variant,
        static_cast<unsigned long long>(Result.of(Metric::TasksReplaced)),
        static_cast<unsigned long long>(Result.of(Metric::TasksRefused)),
        static_cast<unsigned long long>(Result.of(Metric::ReservationsMade)),
        static_cast<unsigned long long>(Result.of(Metric::ReservationsLapsed)),
        static_cast<unsigned long long>(Result.of(Metric::BackfilledStarts)),
        static_cast<unsigned long long>(Result.of(Metric::RunsPassedOver)));
  }
  stopLogging();
  return 0;
}
