#include "loadrun.h"

#include "http/blockinghttp.h"

#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr Duration CallTimeout = seconds(60);

std::string encodeJob(const WorkItem &Item) {
  Json Tasks = Json::array();
  for (Duration RunTime : Item.m_RunTimes)
    Tasks.push_back({{"run_ms", toMilliseconds(RunTime)}});
  return Json{{"service", "gatepost"},
              {"kind", Item.m_Kind},
              {"team", Item.m_Kind == "batch" ? "memorial" : "vending"},
              {"deadline_ms", toMilliseconds(Item.m_Deadline)},
              {"tasks", Tasks}}
      .dump();
}

void addCounters(SiteCounters &Counters, const std::string &Address) {
  HttpRequest Request;
  Request.m_Url = "http://" + Address + "/metrics";
  std::istringstream MetricLines(sendHttpRequest(Request, CallTimeout).m_Body);
  for (std::string Line; std::getline(MetricLines, Line);) {
    auto LabelsPosition = Line.find('{');
    auto ValuePosition = Line.rfind(' ');
    if (Line.rfind("cyclamenwalk_", 0) == 0 &&
        LabelsPosition != std::string::npos)
      Counters[Line.substr(0, LabelsPosition)] +=
          std::stod(Line.substr(ValuePosition + 1));
  }
}

} // namespace

SiteCounters readCounters(const Site &TestSite, const SiteOptions &Options) {
  SiteCounters Counters;
  for (int I = 0; I < Options.m_Entries; ++I)
    addCounters(Counters, TestSite.httpAddress(I));
  for (int I = 0; I < Options.m_Agents; ++I)
    addCounters(Counters, TestSite.agentHttpAddress(I));
  return Counters;
}

std::vector<LoadSample> runLoad(const Site &TestSite,
                                const SiteOptions &Options,
                                const std::vector<WorkItem> &Items) {
  std::vector<LoadSample> Samples(Items.size());
  std::vector<std::thread> CallerThreads;
  std::uint32_t Slots =
      Options.m_Slots * static_cast<std::uint32_t>(Options.m_Agents);
  TimePoint StartedAt = Clock::now();
  for (std::size_t I = 0; I < Items.size(); ++I) {
    std::this_thread::sleep_until(StartedAt + Items[I].m_ArrivalTime);
    CallerThreads.emplace_back([&, I] {
      const WorkItem &Item = Items[I];
      HttpRequest Request;
      Request.m_Method = "POST";
      Request.m_Url =
          "http://" +
          TestSite.httpAddress(static_cast<int>(I) % Options.m_Entries) +
          "/v1/jobs";
      Request.m_Body = encodeJob(Item);
      TimePoint SentAt = Clock::now();
      HttpResponse Response = sendHttpRequest(Request, CallTimeout);
      LoadSample &Sample = Samples[I];
      Sample.m_ResponseTime = Clock::now() - SentAt;
      Sample.m_Kind = Item.m_Kind;
      Sample.m_TaskCount = Item.m_RunTimes.size();
      Sample.m_IdealTime = idealTime(Item, Slots);
      Sample.m_Answer = readCallerAnswer(Response, Sample.m_TaskCount);
      Sample.m_ResultCode = Sample.m_Answer.m_Code;
    });
  }
  for (std::thread &CallerThread : CallerThreads)
    CallerThread.join();
  return Samples;
}

} // namespace cyclamenwalk
