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
constexpr std::uint32_t QueueAtWorker = 512;

/// One way of deciding, with the settings that choose it.
struct System {
  const char *m_Name;
  const char *m_Policy;
  bool m_QueuesAtWorkers;
};

const std::vector<System> Systems = {
    {"cyclamenwalk", "", false},
    {"fifo late binding", "[policy]\norder = arrival\nadmission = all\n",
     false},
    {"least loaded, queues at workers",
     "[policy]\norder = arrival\nadmission = all\n", true},
    {"random, queues at workers",
     "[policy]\norder = arrival\nadmission = all\nworker_choice = random\n",
     true},
};

std::vector<PhaseForm> makePhases() {
  std::vector<PhaseForm> Phases;
  auto Add = [&](const char *Name, double Load) -> PhaseForm & {
    PhaseForm Form;
    Form.m_Name = Name;
    Form.m_Load = Load;
    Phases.push_back(Form);
    return Phases.back();
  };
  Add("warm-up", 0.5).m_Span = seconds(3);
  Add("steady 50%", 0.5);
  Add("steady 80%", 0.8);
  Add("steady 95%", 0.95);
  PhaseForm &Mixed = Add("jobs of 1, 20 and 880", 0.4);
  Mixed.m_JobsOf20 = 0.05;
  Mixed.m_JobsOf880 = 2;
  Add("short behind long", 0.4).m_LongLoad = 0.4;
  PhaseForm &Crest = Add("crest at 3 times capacity", 3);
  Crest.m_Span = seconds(4);
  Crest.m_Deadline = seconds(2);
  Add("after the crest", 0.5).m_Span = seconds(3);
  return Phases;
}

double ratio(const LoadSample &Sample) {
  return std::chrono::duration<double>(Sample.m_Response) /
         std::chrono::duration<double>(Sample.m_Ideal);
}

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Last = static_cast<double>(Values.size() - 1);
  auto At = static_cast<std::size_t>(std::lround(Share * Last));
  return Values[At];
}

std::vector<double> ratios(const std::vector<LoadSample> &Samples,
                           const std::string &Kind, std::size_t Tasks) {
  std::vector<double> Found;
  for (const LoadSample &Sample : Samples)
    if (Sample.m_Code == ResultCode::Ok && Sample.m_Kind == Kind &&
        Sample.m_Tasks == Tasks)
      Found.push_back(ratio(Sample));
  return Found;
}

/// How requests of a phase ended, as shares of all.
Json outcomes(const std::vector<LoadSample> &Samples, Duration Deadline,
              Duration Span, std::uint32_t Slots) {
  double InTime = 0;
  double Refused = 0;
  double Late = 0;
  double WorkInTime = 0;
  std::vector<double> RefusalTimes;
  for (const LoadSample &Sample : Samples) {
    double Response = std::chrono::duration<double>(Sample.m_Response).count();
    bool IsAtAdmission = Sample.m_Code == ResultCode::DeadlineUnreachable;
    if (Sample.m_Code == ResultCode::Ok && Sample.m_Response <= Deadline) {
      ++InTime;
      WorkInTime += std::chrono::duration<double>(Sample.m_Ideal).count();
    } else if (outcomeOf(Sample.m_Code) == Outcome::DidNotRun) {
      ++Refused;
      if (IsAtAdmission)
        RefusalTimes.push_back(Response * 1000);
    } else {
      ++Late;
    }
  }
  double All = std::max<double>(1, static_cast<double>(Samples.size()));
  // What is in time ends between the first arrival and the last deadline.
  double Capacity =
      std::chrono::duration<double>(Span + Deadline).count() * Slots;
  return {
      {"in_time", InTime / All},
      {"did_not_run", Refused / All},
      {"late_or_failed", Late / All},
      {"refused_at_admission", static_cast<double>(RefusalTimes.size()) / All},
      {"refusal_p99_ms", quantile(RefusalTimes, 0.99)},
      {"work_in_time_over_capacity", WorkInTime / Capacity}};
}

Json messages(const SiteCounts &Before, const SiteCounts &After) {
  auto Grown = [&](const std::string &Name) {
    std::string Full = "cyclamenwalk_" + Name + "_total";
    auto Old = Before.find(Full);
    return After.at(Full) - (Old == Before.end() ? 0 : Old->second);
  };
  double Tasks = std::max(1.0, Grown("tasks_sent"));
  double Messages = Grown("messages_sent") - Grown("heartbeats_sent");
  return {{"per_task", Messages / Tasks},
          {"heartbeats", Grown("heartbeats_sent")},
          {"demand", Grown("demand_messages")},
          {"refused_starts", Grown("starts_refused")},
          {"credits_withdrawn", Grown("credits_withdrawn")},
          {"resent", Grown("messages_resent")},
          {"tasks", Grown("tasks_sent")}};
}

SiteForm makeForm(const System &Chosen) {
  SiteForm Form;
  Form.m_Entries = 3;
  Form.m_Agents = 11;
  Form.m_Slots = 8;
  Form.m_AnnouncedSlots = Chosen.m_QueuesAtWorkers ? QueueAtWorker : 0;
  Form.m_EntrySettings = Chosen.m_Policy;
  Form.m_Configuration =
      "[service gatepost]\nlong_threshold = 1s\nconnections = 4096\n";
  // Without credits for slots there is no share of slots to hold back.
  if (Chosen.m_QueuesAtWorkers)
    Form.m_Configuration += "long_share = 100%\n";
  Form.m_Configuration += "[team vending]\n[team memorial]\n";
  return Form;
}

Json measurePhase(const Site &At, const SiteForm &Form, const PhaseForm &Phase,
                  std::uint32_t PhaseSeed, std::vector<CallerAnswer> &Told) {
  auto Slots = Form.m_Slots * static_cast<std::uint32_t>(Form.m_Agents);
  auto Items = makeWorkload(Phase, Slots, PhaseSeed);
  SiteCounts Before = readCounts(At, Form);
  auto Samples = runLoad(At, Form, Items);
  SiteCounts After = readCounts(At, Form);
  for (const LoadSample &Sample : Samples)
    Told.push_back(Sample.m_Told);
  Json Row = {{"phase", Phase.m_Name}, {"requests", Samples.size()}};
  Row["messages"] = messages(Before, After);
  Row["outcomes"] = outcomes(Samples, Phase.m_Deadline, Phase.m_Span, Slots);
  const std::vector<std::pair<const char *, std::size_t>> Classes = {
      {"short", 1}, {"short", 20}, {"batch", 880}, {"long", 1}};
  for (const auto &Class : Classes) {
    auto Found = ratios(Samples, Class.first, Class.second);
    if (!Found.empty())
      Row[Class.first + std::string(" x") + std::to_string(Class.second)] = {
          {"count", Found.size()},
          {"p50", quantile(Found, 0.5)},
          {"p99", quantile(Found, 0.99)}};
  }
  return Row;
}

void printRow(const char *System, const Json &Row) {
  std::printf("| %s | %s |", System, Row["phase"].get<std::string>().c_str());
  for (const char *Class : {"short x1", "short x20", "batch x880", "long x1"}) {
    if (Row.contains(Class))
      std::printf(" %.2f / %.2f |", Row[Class]["p50"].get<double>(),
                  Row[Class]["p99"].get<double>());
    else
      std::printf(" |");
  }
  const Json &Ended = Row["outcomes"];
  std::printf(" %.3f | %.3f | %.3f | %.2f | %.1f | %.2f |\n",
              Ended["in_time"].get<double>(),
              Ended["did_not_run"].get<double>(),
              Ended["late_or_failed"].get<double>(),
              Ended["work_in_time_over_capacity"].get<double>(),
              Ended["refusal_p99_ms"].get<double>(),
              Row["messages"]["per_task"].get<double>());
  std::fflush(stdout);
}

Json measureSystem(const System &Chosen, int BasePort) {
  SiteForm Form = makeForm(Chosen);
  Site At(BasePort, Form);
  std::vector<CallerAnswer> Told;
  Json Rows = Json::array();
  std::uint32_t PhaseSeed = Seed;
  for (const PhaseForm &Phase : makePhases()) {
    Rows.push_back(measurePhase(At, Form, Phase, ++PhaseSeed, Told));
    printRow(Chosen.m_Name, Rows.back());
  }
  auto Violations = findViolations(At.log(), Told);
  for (const std::string &Line : Violations)
    std::printf("violation: %s\n", Line.c_str());
  return {{"system", Chosen.m_Name},
          {"rows", Rows},
          {"violations", Violations.size()}};
}

} // namespace

/// Usage: load_bench OUTPUT.json [NUMBER_OF_SYSTEMS]
int main(int Count, char **Arguments) {
  std::string File = Count > 1 ? Arguments[1] : "load.json";
  std::size_t Wanted = Count > 2 ? std::stoul(Arguments[2]) : Systems.size();
  std::printf("| system | phase | single p50 / p99 | 20 tasks | 880 tasks | "
              "long | in time | did not run | late or failed | work in time / "
              "capacity | refusal p99 ms | messages a task |\n| --- | --- | "
              "--- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
  Json All = Json::array();
  int BasePort = 24000;
  std::size_t Violations = 0;
  for (std::size_t I = 0; I < std::min(Wanted, Systems.size()); ++I) {
    All.push_back(measureSystem(Systems[I], BasePort));
    Violations += All.back()["violations"].get<std::size_t>();
    BasePort += 100;
  }
  std::ofstream(File) << Json{{"seed", Seed}, {"systems", All}}.dump(2) << '\n';
  std::printf("violations: %zu\n", Violations);
  return Violations == 0 ? 0 : 1;
}
