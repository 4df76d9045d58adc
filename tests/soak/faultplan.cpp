#include "soak/faultplan.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <random>
#include <stdexcept>

namespace cyclamenwalk {

namespace {

using Kinds = std::vector<FaultKind>;

constexpr Duration MaxFaultLength = milliseconds(3500);
constexpr Duration MinFaultLength = milliseconds(150);
/// The lease of a run is 1 s.
constexpr Duration MinLeasePause = milliseconds(400);
constexpr Duration MaxLeasePause = milliseconds(1400);
/// Between the two faults of a pair.
constexpr Duration MinPairGap = milliseconds(200);
constexpr Duration MaxPairGap = milliseconds(900);
/// A killed process is started again soon.
constexpr Duration MinKillLength = milliseconds(300);
constexpr Duration MaxKillLength = milliseconds(1500);
constexpr Duration MaxSeriesLength = milliseconds(50);
constexpr Duration MinSeriesLength = milliseconds(10);
constexpr Duration MaxCrashLength = milliseconds(600);
/// A process that is stopped exits within its grace time of 6 s; the rest is a
/// margin before it is restarted.
constexpr Duration StopLength = seconds(7);
/// A runner drains for 2 s at least, and stays up for 3 s more if its
/// deregistration isn't answered.
constexpr Duration LeaveLength = milliseconds(4500);
constexpr Duration UnansweredLeaveLength = milliseconds(8000);
/// Between the end of a fault and the next fault of the same target.
constexpr Duration MinTargetGap = milliseconds(100);
/// The first 1/3 of the run holds only maintenance.
constexpr int MaintenanceDivisor = 3;

const Kinds MaintenanceKinds{FaultKind::StopProcess,
                             FaultKind::ChangeConfiguration,
                             FaultKind::RunnerLeave};

const std::map<std::string, Kinds> &kindsOfGroups() {
  static const std::map<std::string, Kinds> Groups{
      {"maintenance", MaintenanceKinds},
      {"kills", {FaultKind::KillProcess, FaultKind::KillHalf}},
      {"pauses", {FaultKind::PauseProcess, FaultKind::PauseAroundLease}},
      {"pairs",
       {FaultKind::KillThenPause, FaultKind::PauseThenKill, FaultKind::KillTwo,
        FaultKind::PauseThenRunnerCrash}},
      {"links",
       {FaultKind::DelayTraffic, FaultKind::BlockInbound,
        FaultKind::BlockOutbound, FaultKind::BlockBothWays,
        FaultKind::BlackholeConnections}},
      {"resets",
       {FaultKind::ResetConnections, FaultKind::ResetSeries,
        FaultKind::LoseAnswers, FaultKind::CloseConnections}},
      {"late", {FaultKind::LateCalls, FaultKind::RunnerDelay}},
      {"runners",
       {FaultKind::RunnerCrash, FaultKind::RunnerFailures,
        FaultKind::RunnerHang}},
      {"leaves", {FaultKind::RunnerLeave, FaultKind::RunnerLeaveUnanswered}},
      {"heartbeats", {FaultKind::ForeignHeartbeat}},
      {"clients", {FaultKind::HostileClients}},
      {"store",
       {FaultKind::StoreDown, FaultKind::StoreSlow, FaultKind::StoreReplyLost,
        FaultKind::StorePaused}},
  };
  return Groups;
}

Kinds kindsOf(const std::vector<std::string> &Groups) {
  Kinds Drawn;
  for (const auto &Group : kindsOfGroups())
    if (Groups.empty() ||
        std::find(Groups.begin(), Groups.end(), Group.first) != Groups.end())
      Drawn.insert(Drawn.end(), Group.second.begin(), Group.second.end());
  for (const std::string &Name : Groups)
    if (kindsOfGroups().count(Name) == 0)
      throw std::invalid_argument("there is no group of faults \"" + Name +
                                  "\"");
  return Drawn;
}

class FaultPlanGenerator {
public:
  explicit FaultPlanGenerator(const FaultPlanOptions &Options)
      : m_Options(Options), m_Kinds(kindsOf(Options.m_Groups)),
        m_Random(Options.m_Seed) {}

  std::vector<ScheduledFault> generate() {
    Duration MaintenanceEnd = m_Options.m_Groups.empty()
                                  ? m_Options.m_Length / MaintenanceDivisor
                                  : Duration::zero();
    Duration NextStart = milliseconds(500);
    while (NextStart < m_Options.m_Length) {
      const Kinds &Drawn =
          NextStart < MaintenanceEnd ? MaintenanceKinds : m_Kinds;
      schedule(Drawn[drawIndex(Drawn.size())], NextStart);
      NextStart += drawDuration(Duration::zero(), 2 * m_Options.m_MeanGap);
    }
    std::stable_sort(
        m_Plan.begin(), m_Plan.end(),
        [](const ScheduledFault &Left, const ScheduledFault &Right) {
          return Left.m_Start < Right.m_Start;
        });
    return m_Plan;
  }

private:
  std::int64_t drawNumber(std::int64_t Min, std::int64_t Max) {
    return std::uniform_int_distribution<std::int64_t>(Min, Max)(m_Random);
  }

  std::size_t drawIndex(std::size_t Count) {
    return static_cast<std::size_t>(
        drawNumber(0, static_cast<std::int64_t>(Count) - 1));
  }

  Duration drawDuration(Duration Min, Duration Max) {
    return milliseconds(drawNumber(toMilliseconds(Min), toMilliseconds(Max)));
  }

  const std::string &drawName(const std::vector<std::string> &Names) {
    return Names[drawIndex(Names.size())];
  }

  std::string drawProcess() {
    return drawNumber(0, 1) == 0 ? drawName(m_Options.m_Entries)
                                 : drawName(m_Options.m_Agents);
  }

  void schedule(FaultKind Kind, Duration Start) {
    switch (Kind) {
    case FaultKind::KillHalf:
      return addHerd(Start);
    case FaultKind::KillThenPause:
      return addPair(FaultKind::KillProcess, drawName(m_Options.m_Entries),
                     FaultKind::PauseProcess, Start);
    case FaultKind::PauseThenKill:
      return addPair(FaultKind::PauseProcess, drawName(m_Options.m_Agents),
                     FaultKind::KillProcess, Start);
    case FaultKind::KillTwo:
      return addPair(FaultKind::KillProcess, drawName(m_Options.m_Entries),
                     FaultKind::KillProcess, Start);
    case FaultKind::PauseThenRunnerCrash:
      return addPair(FaultKind::PauseAroundLease, drawName(m_Options.m_Agents),
                     FaultKind::RunnerCrash, Start);
    default:
      add({Kind, Start, drawLength(Kind), drawTarget(Kind)});
    }
  }

  /// Adds the fault when its target is free.
  void add(ScheduledFault Fault) {
    Duration &BusyUntil = m_BusyUntil[busyKey(Fault)];
    Fault.m_Start = std::max(Fault.m_Start, BusyUntil);
    BusyUntil = Fault.end() + MinTargetGap;
    if (Fault.m_Start < m_Options.m_Length)
      m_Plan.push_back(Fault);
  }

  /// The second fault strikes an agent or, beside a paused agent, its runner or
  /// an entry.
  void addPair(FaultKind First, const std::string &FirstTarget,
               FaultKind Second, Duration Start) {
    bool IsAgentFirst = FirstTarget.rfind("agent", 0) == 0;
    std::string SecondTarget = drawName(m_Options.m_Agents);
    if (Second == FaultKind::RunnerCrash)
      SecondTarget = FirstTarget;
    else if (IsAgentFirst)
      SecondTarget = drawName(m_Options.m_Entries);
    ScheduledFault Leading{First, Start, drawLength(First), FirstTarget};
    Leading.m_Start = std::max(Start, m_BusyUntil[busyKey(Leading)]);
    add(Leading);
    add({Second, Leading.m_Start + drawDuration(MinPairGap, MaxPairGap),
         drawLength(Second), SecondTarget});
  }

  void addHerd(Duration Start) {
    std::vector<std::string> Targets = m_Options.m_Entries;
    Targets.insert(Targets.end(), m_Options.m_Agents.begin(),
                   m_Options.m_Agents.end());
    std::shuffle(Targets.begin(), Targets.end(), m_Random);
    Targets.resize((Targets.size() + 1) / 2);
    for (const std::string &Target : Targets)
      if (m_BusyUntil[Target] <= Start)
        add({FaultKind::KillProcess, Start, drawLength(FaultKind::KillProcess),
             Target});
  }

  static std::string busyKey(const ScheduledFault &Fault) {
    return isRunnerFault(Fault.m_Kind) ? "runner of " + Fault.m_Target
                                       : Fault.m_Target;
  }

  Duration drawLength(FaultKind Kind) {
    switch (Kind) {
    case FaultKind::StopProcess:
      return StopLength;
    case FaultKind::RunnerLeave:
      return LeaveLength;
    case FaultKind::RunnerLeaveUnanswered:
      return UnansweredLeaveLength;
    case FaultKind::KillProcess:
      return drawDuration(MinKillLength, MaxKillLength);
    case FaultKind::PauseAroundLease:
      return drawDuration(MinLeasePause, MaxLeasePause);
    case FaultKind::ResetSeries:
      return drawDuration(MinSeriesLength, MaxSeriesLength);
    case FaultKind::RunnerCrash:
      return drawDuration(Duration::zero(), MaxCrashLength);
    default:
      return drawDuration(MinFaultLength, MaxFaultLength);
    }
  }

  std::string drawTarget(FaultKind Kind) {
    if (isRunnerFault(Kind) || Kind == FaultKind::ForeignHeartbeat)
      return drawName(m_Options.m_Agents);
    switch (Kind) {
    case FaultKind::ChangeConfiguration:
      return "operator";
    case FaultKind::StoreDown:
    case FaultKind::StoreSlow:
    case FaultKind::StoreReplyLost:
    case FaultKind::StorePaused:
      return "store";
    case FaultKind::LateCalls:
      // Only orders to runners may be carried out late.
      return drawName(m_Options.m_Agents);
    case FaultKind::LoseAnswers:
    case FaultKind::CloseConnections:
    case FaultKind::ResetSeries:
      // Most calls go from agents to runners.
      return drawNumber(0, 3) == 0 ? drawName(m_Options.m_Entries)
                                   : drawName(m_Options.m_Agents);
    default:
      return drawProcess();
    }
  }

  const FaultPlanOptions &m_Options;
  const Kinds m_Kinds;
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
                                      "store paused",
                                      "kill half",
                                      "pause around the lease",
                                      "kill, then pause",
                                      "pause, then kill",
                                      "kill two",
                                      "pause, then runner crash",
                                      "reset series",
                                      "lose answers",
                                      "close connections",
                                      "late calls",
                                      "runner leave, unanswered",
                                      "foreign heartbeat",
                                      "hostile clients"};
  static_assert(std::size(Names) == static_cast<std::size_t>(FaultKind::Count));
  return Names[static_cast<std::size_t>(Kind)];
}

bool isMaintenance(FaultKind Kind) { return Kind <= FaultKind::RunnerLeave; }

bool isRunnerFault(FaultKind Kind) {
  switch (Kind) {
  case FaultKind::RunnerLeave:
  case FaultKind::RunnerLeaveUnanswered:
  case FaultKind::RunnerCrash:
  case FaultKind::RunnerFailures:
  case FaultKind::RunnerHang:
  case FaultKind::RunnerDelay:
    return true;
  default:
    return false;
  }
}

std::vector<std::string> faultGroups() {
  std::vector<std::string> Names;
  for (const auto &Group : kindsOfGroups())
    Names.push_back(Group.first);
  return Names;
}

std::vector<ScheduledFault> generateFaultPlan(const FaultPlanOptions &Options) {
  return FaultPlanGenerator(Options).generate();
}

} // namespace cyclamenwalk
