#include "loadrun.h"

#include "http/blockinghttp.h"

#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr Duration CallTimeout = seconds(60);

std::string bodyOf(const WorkItem &Item) {
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

void addCounts(SiteCounts &Counts, const std::string &Address) {
  HttpRequest Request;
  Request.m_Url = "http://" + Address + "/metrics";
  std::istringstream Lines(callHttp(Request, CallTimeout).m_Body);
  for (std::string Line; std::getline(Lines, Line);) {
    auto Brace = Line.find('{');
    auto Space = Line.rfind(' ');
    if (Line.rfind("cyclamenwalk_", 0) == 0 && Brace != std::string::npos)
      Counts[Line.substr(0, Brace)] += std::stod(Line.substr(Space + 1));
  }
}

} // namespace

SiteCounts readCounts(const Site &At, const SiteForm &Form) {
  SiteCounts Counts;
  for (int I = 0; I < Form.m_Entries; ++I)
    addCounts(Counts, At.httpAddress(I));
  for (int I = 0; I < Form.m_Agents; ++I)
    addCounts(Counts, At.agentHttpAddress(I));
  return Counts;
}

std::vector<LoadSample> runLoad(const Site &At, const SiteForm &Form,
                                const std::vector<WorkItem> &Items) {
  std::vector<LoadSample> Samples(Items.size());
  std::vector<std::thread> Callers;
  std::uint32_t Slots =
      Form.m_Slots * static_cast<std::uint32_t>(Form.m_Agents);
  TimePoint Start = Clock::now();
  for (std::size_t I = 0; I < Items.size(); ++I) {
    std::this_thread::sleep_until(Start + Items[I].m_At);
    Callers.emplace_back([&, I] {
      const WorkItem &Item = Items[I];
      HttpRequest Request;
      Request.m_Method = "POST";
      Request.m_Url = "http://" +
                      At.httpAddress(static_cast<int>(I) % Form.m_Entries) +
                      "/v1/jobs";
      Request.m_Body = bodyOf(Item);
      TimePoint Sent = Clock::now();
      HttpResponse Response = callHttp(Request, CallTimeout);
      LoadSample &Sample = Samples[I];
      Sample.m_Response = Clock::now() - Sent;
      Sample.m_Kind = Item.m_Kind;
      Sample.m_Tasks = Item.m_RunTimes.size();
      Sample.m_Ideal = idealTime(Item, Slots);
      Sample.m_Told = readCallerAnswer(Response, Sample.m_Tasks);
      Sample.m_Code = Sample.m_Told.m_Code;
    });
  }
  for (std::thread &Running : Callers)
    Running.join();
  return Samples;
}

} // namespace cyclamenwalk
