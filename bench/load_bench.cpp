#include "loadrun.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

using namespace cyclamenwalk;

namespace {

using Json = nlohmann::json;

constexpr std::uint32_t Seed = 20261204;
/// Slots announced by each worker if tasks are queued at the workers.
constexpr std::uint32_t AnnouncedSlotsWithQueue = 512;

/// A scheduling policy to compare, with the settings that select it.
struct SchedulerVariant {
  const char *m_Name;
  const char *m_PolicySettings;
  bool m_QueuesAtWorkers;
};

const std::vector<SchedulerVariant> Variants = {
    {"cyclamenwalk", "", false},
    {"fifo late binding", "[policy]\norder = arrival\nadmission = all\n",
     false},
    {"least loaded, queues at workers",
     "[policy]\norder = arrival\nadmission = all\n", true},
    {"random, queues at workers",
     "[policy]\norder = arrival\nadmission = all\nworker_choice = random\n",
     true},
};

std::vector<PhaseSpec> makePhases() {
  std::vector<PhaseSpec> Phases;
  auto AddPhase = [&](const char *Name, double Load) -> PhaseSpec & {
    PhaseSpec Phase;
    Phase.m_Name = Name;
    Phase.m_ShortLoad = Load;
    Phases.push_back(Phase);
    return Phases.back();
  };
  AddPhase("warm-up", 0.5).m_Duration = seconds(3);
  AddPhase("steady 50%", 0.5);
  AddPhase("steady 80%", 0.8);
  AddPhase("steady 95%", 0.95);
  PhaseSpec &Mixed = AddPhase("jobs of 1, 20 and 880", 0.4);
  Mixed.m_MediumJobRatio = 0.05;
  Mixed.m_LargeJobCount = 2;
  AddPhase("short behind long", 0.4).m_LongLoad = 0.4;
  PhaseSpec &Peak = AddPhase("peak at 3 times capacity", 3);
  Peak.m_Duration = seconds(4);
  Peak.m_Deadline = seconds(2);
  AddPhase("after the peak", 0.5).m_Duration = seconds(3);
  return Phases;
}

double slowdown(const LoadSample &Sample) {
  return std::chrono::duration<double>(Sample.m_ResponseTime) /
         std::chrono::duration<double>(Sample.m_IdealTime);
}

double quantile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Last = static_cast<double>(Values.size() - 1);
  auto Index = static_cast<std::size_t>(std::lround(Fraction * Last));
  return Values[Index];
}

std::vector<double> collectSlowdowns(const std::vector<LoadSample> &Samples,
                                     const std::string &Kind,
                                     std::size_t TaskCount) {
  std::vector<double> Slowdowns;
  for (const LoadSample &Sample : Samples)
    if (Sample.m_ResultCode == ResultCode::Ok && Sample.m_Kind == Kind &&
        Sample.m_TaskCount == TaskCount)
      Slowdowns.push_back(slowdown(Sample));
  return Slowdowns;
}

/// Outcomes of the requests of a phase, as ratios of all requests.
Json summarizeOutcomes(const std::vector<LoadSample> &Samples,
                       Duration Deadline, Duration PhaseDuration,
                       std::uint32_t Slots) {
  double InTimeCount = 0;
  double RefusedCount = 0;
  double LateCount = 0;
  double WorkSecondsInTime = 0;
  std::vector<double> RefusalMilliseconds;
  for (const LoadSample &Sample : Samples) {
    double ResponseSeconds =
        std::chrono::duration<double>(Sample.m_ResponseTime).count();
    bool IsRefusedAtAdmission =
        Sample.m_ResultCode == ResultCode::DeadlineUnreachable;
    if (Sample.m_ResultCode == ResultCode::Ok &&
        Sample.m_ResponseTime <= Deadline) {
      ++InTimeCount;
      WorkSecondsInTime +=
          std::chrono::duration<double>(Sample.m_IdealTime).count();
    } else if (outcomeOf(Sample.m_ResultCode) == Outcome::DidNotRun) {
      ++RefusedCount;
      if (IsRefusedAtAdmission)
        RefusalMilliseconds.push_back(ResponseSeconds * 1000);
    } else {
      ++LateCount;
    }
  }
  double TotalCount = std::max<double>(1, static_cast<double>(Samples.size()));
  // Requests that meet their deadline complete between the first arrival and
  // the last deadline.
  double CapacitySeconds =
      std::chrono::duration<double>(PhaseDuration + Deadline).count() * Slots;
  return {{"in_time", InTimeCount / TotalCount},
          {"did_not_run", RefusedCount / TotalCount},
          {"late_or_failed", LateCount / TotalCount},
          {"refused_at_admission",
           static_cast<double>(RefusalMilliseconds.size()) / TotalCount},
          {"refusal_p99_ms", quantile(RefusalMilliseconds, 0.99)},
          {"work_in_time_over_capacity", WorkSecondsInTime / CapacitySeconds}};
}

Json summarizeMessages(const SiteCounters &CountersBefore,
                       const SiteCounters &CountersAfter) {
  auto Increase = [&](const std::string &Name) {
    std::string MetricName = "cyclamenwalk_" + Name + "_total";
    auto PreviousValue = CountersBefore.find(MetricName);
    return CountersAfter.at(MetricName) -
           (PreviousValue == CountersBefore.end() ? 0 : PreviousValue->second);
  };
  double TaskCount = std::max(1.0, Increase("tasks_sent"));
  double SentMessages = Increase("messages_sent") - Increase("heartbeats_sent");
  return {{"per_task", SentMessages / TaskCount},
          {"heartbeats", Increase("heartbeats_sent")},
          {"demand", Increase("demand_messages")},
          {"refused_starts", Increase("starts_refused")},
          {"credits_withdrawn", Increase("credits_withdrawn")},
          {"resent", Increase("messages_resent")},
          {"tasks", Increase("tasks_sent")}};
}

SiteOptions makeSiteOptions(const SchedulerVariant &Variant) {
  SiteOptions Options;
  Options.m_Entries = 3;
  Options.m_Agents = 11;
  Options.m_Slots = 8;
  Options.m_AnnouncedSlots =
      Variant.m_QueuesAtWorkers ? AnnouncedSlotsWithQueue : 0;
  Options.m_EntrySettings = Variant.m_PolicySettings;
  Options.m_Configuration =
      "[service gatepost]\nlong_threshold = 1s\nconnections = 4096\n";
  // Credits for queue positions don't stand for slots, so no share of the slots
  // can be reserved for short tasks.
  if (Variant.m_QueuesAtWorkers)
    Options.m_Configuration += "long_share = 100%\n";
  Options.m_Configuration += "[team vending]\n[team memorial]\n";
  return Options;
}

Json measurePhase(const Site &TestSite, const SiteOptions &Options,
                  const PhaseSpec &Phase, std::uint32_t PhaseSeed,
                  std::vector<CallerAnswer> &Answers) {
  auto Slots = Options.m_Slots * static_cast<std::uint32_t>(Options.m_Agents);
  auto Items = makeWorkload(Phase, Slots, PhaseSeed);
  SiteCounters CountersBefore = readCounters(TestSite, Options);
  auto Samples = runLoad(TestSite, Options, Items);
  SiteCounters CountersAfter = readCounters(TestSite, Options);
  for (const LoadSample &Sample : Samples)
    Answers.push_back(Sample.m_Answer);
  Json Row = {{"phase", Phase.m_Name}, {"requests", Samples.size()}};
  Row["messages"] = summarizeMessages(CountersBefore, CountersAfter);
  Row["outcomes"] =
      summarizeOutcomes(Samples, Phase.m_Deadline, Phase.m_Duration, Slots);
  const std::vector<std::pair<const char *, std::size_t>> TaskClasses = {
      {"short", 1}, {"short", 20}, {"batch", 880}, {"long", 1}};
  for (const auto &TaskClass : TaskClasses) {
    auto Slowdowns =
        collectSlowdowns(Samples, TaskClass.first, TaskClass.second);
    if (!Slowdowns.empty())
      Row[TaskClass.first + std::string(" x") +
          std::to_string(TaskClass.second)] = {
          {"count", Slowdowns.size()},
          {"p50", quantile(Slowdowns, 0.5)},
          {"p99", quantile(Slowdowns, 0.99)}};
  }
  return Row;
}

void printRow(const char *VariantName, const Json &Row) {
  std::printf("| %s | %s |", VariantName,
              Row["phase"].get<std::string>().c_str());
  for (const char *TaskClass :
       {"short x1", "short x20", "batch x880", "long x1"}) {
    if (Row.contains(TaskClass))
      std::printf(" %.2f / %.2f |", Row[TaskClass]["p50"].get<double>(),
                  Row[TaskClass]["p99"].get<double>());
    else
      std::printf(" |");
  }
  const Json &Outcomes = Row["outcomes"];
  std::printf(" %.3f | %.3f | %.3f | %.2f | %.1f | %.2f |\n",
              Outcomes["in_time"].get<double>(),
              Outcomes["did_not_run"].get<double>(),
              Outcomes["late_or_failed"].get<double>(),
              Outcomes["work_in_time_over_capacity"].get<double>(),
              Outcomes["refusal_p99_ms"].get<double>(),
              Row["messages"]["per_task"].get<double>());
  std::fflush(stdout);
}

Json measureVariant(const SchedulerVariant &Variant, int BasePort) {
  SiteOptions Options = makeSiteOptions(Variant);
  Site TestSite(BasePort, Options);
  std::vector<CallerAnswer> Answers;
  Json Rows = Json::array();
  std::uint32_t PhaseSeed = Seed;
  for (const PhaseSpec &Phase : makePhases()) {
    Rows.push_back(
        measurePhase(TestSite, Options, Phase, ++PhaseSeed, Answers));
    printRow(Variant.m_Name, Rows.back());
  }
  auto Violations = findViolations(TestSite.log(), Answers);
  for (const std::string &Violation : Violations)
    std::printf("violation: %s\n", Violation.c_str());
  return {{"system", Variant.m_Name},
          {"rows", Rows},
          {"violations", Violations.size()}};
}

} // namespace

/// Usage: load_bench [OUTPUT.json [NUMBER_OF_VARIANTS]]
int main(int ArgumentCount, char **Arguments) {
  std::string OutputFile = ArgumentCount > 1 ? Arguments[1] : "load.json";
  std::size_t VariantCount =
      ArgumentCount > 2 ? std::stoul(Arguments[2]) : Variants.size();
  std::printf("| system | phase | single p50 / p99 | 20 tasks | 880 tasks | "
              "long | in time | did not run | late or failed | work in time / "
              "capacity | refusal p99 ms | messages per task |\n| --- | --- | "
              "--- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  Json Results = Json::array();
  int BasePort = 24000;
  std::size_t Violations = 0;
  for (std::size_t I = 0; I < std::min(VariantCount, Variants.size()); ++I) {
    Results.push_back(measureVariant(Variants[I], BasePort));
    Violations += Results.back()["violations"].get<std::size_t>();
    BasePort += 100;
  }
  std::ofstream(OutputFile)
      << Json{{"seed", Seed}, {"systems", Results}}.dump(2) << '\n';
  std::printf("violations: %zu\n", Violations);
  return Violations == 0 ? 0 : 1;
}
