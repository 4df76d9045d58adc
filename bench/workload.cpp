#include "workload.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cyclamenwalk {

namespace {

constexpr double ShortestRun = 0.025; // s
constexpr double LongestRun = 0.5;    // s
constexpr double LongFactor = 10;
constexpr std::size_t LargeJob = 880;
constexpr std::size_t MediumJob = 20;

double meanRun() {
  return (LongestRun - ShortestRun) / std::log(LongestRun / ShortestRun);
}

Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

class Generator {
public:
  Generator(const PhaseForm &Form, std::uint32_t Seed)
      : m_Form(Form), m_Random(Seed) {}

  void addStream(double WorkPerSecond, bool IsLong) {
    double Factor = IsLong ? LongFactor : 1;
    double MeanTasks = IsLong ? 1 : 1 + m_Form.m_JobsOf20 * (MediumJob - 1);
    double Rate = WorkPerSecond / (meanRun() * Factor * MeanTasks);
    if (Rate <= 0)
      return;
    std::exponential_distribution<double> Gap(Rate);
    double Span = std::chrono::duration<double>(m_Form.m_Span).count();
    double At = Gap(m_Random);
    while (At < Span) {
      bool IsMedium =
          !IsLong && std::bernoulli_distribution(m_Form.m_JobsOf20)(m_Random);
      add(At, IsMedium ? MediumJob : 1, Factor, IsLong ? "long" : "short");
      At += Gap(m_Random);
    }
  }

  void addLargeJobs() {
    double Span = std::chrono::duration<double>(m_Form.m_Span).count();
    for (int I = 0; I < m_Form.m_JobsOf880; ++I)
      add(Span * (I + 0.5) / m_Form.m_JobsOf880, LargeJob, 1, "batch");
  }

  std::vector<WorkItem> take() {
    std::sort(m_Items.begin(), m_Items.end(),
              [](const WorkItem &Left, const WorkItem &Right) {
                return Left.m_At < Right.m_At;
              });
    return std::move(m_Items);
  }

private:
  void add(double At, std::size_t Tasks, double Factor,
           const std::string &Kind) {
    std::uniform_real_distribution<double> Log(std::log(ShortestRun),
                                               std::log(LongestRun));
    WorkItem Item;
    Item.m_At = toDuration(At);
    Item.m_Kind = Kind;
    Item.m_Deadline = m_Form.m_Deadline;
    for (std::size_t I = 0; I < Tasks; ++I)
      Item.m_RunTimes.push_back(toDuration(std::exp(Log(m_Random)) * Factor));
    m_Items.push_back(std::move(Item));
  }

  const PhaseForm &m_Form;
  std::mt19937 m_Random;
  std::vector<WorkItem> m_Items;
};

} // namespace

std::vector<WorkItem> makeWorkload(const PhaseForm &Form, std::uint32_t Slots,
                                   std::uint32_t Seed) {
  Generator Made(Form, Seed);
  Made.addStream(Form.m_Load * Slots, false);
  Made.addStream(Form.m_LongLoad * Slots, true);
  Made.addLargeJobs();
  return Made.take();
}

Duration idealTime(const WorkItem &Item, std::uint32_t Slots) {
  const auto &Times = Item.m_RunTimes;
  Duration Longest = *std::max_element(Times.begin(), Times.end());
  Duration Sum = std::accumulate(Times.begin(), Times.end(), Duration::zero());
  return std::max(Longest, Sum / Slots);
}

} // namespace cyclamenwalk
