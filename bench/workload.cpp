#include "workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cyclamenwalk {

namespace {

constexpr double MinRunSeconds = 0.025;
constexpr double MaxRunSeconds = 0.5;
constexpr double LongTaskFactor = 10;
constexpr std::size_t LargeJobTasks = 880;
constexpr std::size_t MediumJobTasks = 20;

double meanRunSeconds() {
  return (MaxRunSeconds - MinRunSeconds) /
         std::log(MaxRunSeconds / MinRunSeconds);
}

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

/// Generates the items of one phase, kind by kind, and sorts them by arrival.
class WorkloadGenerator {
public:
  WorkloadGenerator(const PhaseSpec &Phase, std::uint32_t Seed)
      : m_Phase(Phase), m_RandomEngine(Seed) {}

  void addArrivals(double WorkPerSecond, bool IsLong) {
    double RunTimeFactor = IsLong ? LongTaskFactor : 1;
    double MeanTasks =
        IsLong ? 1 : 1 + m_Phase.m_MediumJobRatio * (MediumJobTasks - 1);
    double ArrivalsPerSecond =
        WorkPerSecond / (meanRunSeconds() * RunTimeFactor * MeanTasks);
    if (ArrivalsPerSecond <= 0)
      return;
    std::exponential_distribution<double> Interval(ArrivalsPerSecond);
    double PhaseSeconds =
        std::chrono::duration<double>(m_Phase.m_Duration).count();
    double ArrivalSeconds = Interval(m_RandomEngine);
    while (ArrivalSeconds < PhaseSeconds) {
      bool IsMedium = !IsLong && std::bernoulli_distribution(
                                     m_Phase.m_MediumJobRatio)(m_RandomEngine);
      addItem(ArrivalSeconds, IsMedium ? MediumJobTasks : 1, RunTimeFactor,
              IsLong ? "long" : "short");
      ArrivalSeconds += Interval(m_RandomEngine);
    }
  }

  void addLargeJobs() {
    double PhaseSeconds =
        std::chrono::duration<double>(m_Phase.m_Duration).count();
    for (int I = 0; I < m_Phase.m_LargeJobCount; ++I)
      addItem(PhaseSeconds * (I + 0.5) / m_Phase.m_LargeJobCount, LargeJobTasks,
              1, "batch");
  }

  std::vector<WorkItem> takeSorted() {
    std::sort(m_Items.begin(), m_Items.end(),
              [](const WorkItem &Left, const WorkItem &Right) {
                return Left.m_ArrivalTime < Right.m_ArrivalTime;
              });
    return std::move(m_Items);
  }

private:
  void addItem(double ArrivalSeconds, std::size_t TaskCount,
               double RunTimeFactor, const std::string &Kind) {
    std::uniform_real_distribution<double> LogRunTime(std::log(MinRunSeconds),
                                                      std::log(MaxRunSeconds));
    WorkItem Item;
    Item.m_ArrivalTime = toDuration(ArrivalSeconds);
    Item.m_Kind = Kind;
    Item.m_Deadline = m_Phase.m_Deadline;
    for (std::size_t I = 0; I < TaskCount; ++I)
      Item.m_RunTimes.push_back(
          toDuration(std::exp(LogRunTime(m_RandomEngine)) * RunTimeFactor));
    m_Items.push_back(std::move(Item));
  }

  const PhaseSpec &m_Phase;
  std::mt19937 m_RandomEngine;
  std::vector<WorkItem> m_Items;
};

} // namespace

std::vector<WorkItem> makeWorkload(const PhaseSpec &Phase, std::uint32_t Slots,
                                   std::uint32_t Seed) {
  WorkloadGenerator Generator(Phase, Seed);
  Generator.addArrivals(Phase.m_ShortLoad * Slots, false);
  Generator.addArrivals(Phase.m_LongLoad * Slots, true);
  Generator.addLargeJobs();
  return Generator.takeSorted();
}

Duration idealTime(const WorkItem &Item, std::uint32_t Slots) {
  const auto &RunTimes = Item.m_RunTimes;
  Duration Longest = *std::max_element(RunTimes.begin(), RunTimes.end());
  Duration TotalRunTime =
      std::accumulate(RunTimes.begin(), RunTimes.end(), Duration::zero());
  return std::max(Longest, TotalRunTime / Slots);
}

} // namespace cyclamenwalk
