#include "soak/faultplan.h"

#include <algorithm>
#include <map>
#include <random>

namespace cyclamenwalk {

namespace {

constexpr Duration MaxFaultLength = milliseconds(3500);
constexpr Duration MinFaultLength = milliseconds(150);
/// A process that is stopped exits within its grace time of 6 s; the rest is a
/// margin before it is restarted.
constexpr Duration StopLength = seconds(7);
/// Between the end of a fault and the next fault of the same target.
constexpr Duration MinTargetGap = milliseconds(100);
constexpr Duration MeanFaultGap = milliseconds(600);
/// The first 1/3 of the run holds only maintenance.
constexpr int MaintenanceDivisor = 3;

class FaultPlanGenerator {
public:
  explicit FaultPlanGenerator(const FaultPlanOptions &Options)
      : m_Options(Options), m_Random(Options.m_Seed) {}

  std::vector<ScheduledFault> generate() {
    Duration MaintenanceEnd = m_Options.m_Length / MaintenanceDivisor;
    Duration NextStart = milliseconds(500);
    while (NextStart < m_Options.m_Length) {
      ScheduledFault Fault = drawFault(NextStart < MaintenanceEnd);
      Fault.m_Start = std::max(NextStart, m_BusyUntil[Fault.m_Target]);
      m_BusyUntil[Fault.m_Target] = Fault.end() + MinTargetGap;
      if (Fault.m_Start < m_Options.m_Length)
        m_Plan.push_back(Fault);
      NextStart +=
          milliseconds(drawNumber(0, 2 * toMilliseconds(MeanFaultGap)));
    }
    std::sort(m_Plan.begin(), m_Plan.end(),
              [](const ScheduledFault &Left, const ScheduledFault &Right) {
                return Left.m_Start < Right.m_Start;
              });
    return m_Plan;
  }

private:
  std::int64_t drawNumber(std::int64_t Min, std::int64_t Max) {
    return std::uniform_int_distribution<std::int64_t>(Min, Max)(m_Random);
  }

  const std::string &drawName(const std::vector<std::string> &Names) {
    auto Last = static_cast<std::int64_t>(Names.size()) - 1;
    return Names[static_cast<std::size_t>(drawNumber(0, Last))];
  }

  ScheduledFault drawFault(bool IsMaintenanceOnly) {
    ScheduledFault Fault;
    auto Last =
        IsMaintenanceOnly
            ? FaultKind::RunnerLeave
            : static_cast<FaultKind>(static_cast<int>(FaultKind::Count) - 1);
    Fault.m_Kind =
        static_cast<FaultKind>(drawNumber(0, static_cast<int>(Last)));
    Fault.m_Target = drawTarget(Fault.m_Kind);
    Fault.m_Length =
        Fault.m_Kind == FaultKind::StopProcess
            ? StopLength
            : milliseconds(drawNumber(toMilliseconds(MinFaultLength),
                                      toMilliseconds(MaxFaultLength)));
    return Fault;
  }

  std::string drawTarget(FaultKind Kind) {
    switch (Kind) {
    case FaultKind::ChangeConfiguration:
      return "operator";
    case FaultKind::RunnerLeave:
    case FaultKind::RunnerCrash:
    case FaultKind::RunnerFailures:
    case FaultKind::RunnerHang:
    case FaultKind::RunnerDelay:
      return drawName(m_Options.m_Agents);
    case FaultKind::StoreDown:
    case FaultKind::StoreSlow:
    case FaultKind::StoreReplyLost:
    case FaultKind::StorePaused:
      return "store";
    default:
      return drawNumber(0, 1) == 0 ? drawName(m_Options.m_Entries)
                                   : drawName(m_Options.m_Agents);
    }
  }

  const FaultPlanOptions &m_Options;
  std::mt19937 m_Random;
  std::map<std::string, Duration> m_BusyUntil;
  std::vector<ScheduledFault> m_Plan;
};

} // namespace

const char *nameOf(FaultKind Kind) {
  static const char *const Names[] = {"stop",
                                      "configuration",
                                      "runner leave",
                                      "kill",
                                      "pause",
                                      "delay",
                                      "block inbound",
                                      "block outbound",
                                      "block both ways",
                                      "reset connections",
                                      "blackhole connections",
                                      "runner crash",
                                      "runner failures",
                                      "runner hang",
                                      "runner delay",
                                      "store down",
                                      "store slow",
                                      "store reply lost",
                                      "store paused"};
  static_assert(std::size(Names) == static_cast<std::size_t>(FaultKind::Count));
  return Names[static_cast<std::size_t>(Kind)];
}

bool isMaintenance(FaultKind Kind) { return Kind <= FaultKind::RunnerLeave; }

std::vector<ScheduledFault> generateFaultPlan(const FaultPlanOptions &Options) {
  return FaultPlanGenerator(Options).generate();
}

} // namespace cyclamenwalk
