// Opens idle connections and waiting jobs to an entry, then prints its memory,
// threads and descriptors, and whether it answers a further request.

#include "http/blockinghttp.h"
#include "support/crowd.h"
#include "support/platformsite.h"
#include "support/processfigures.h"

#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>

using namespace cyclamenwalk;

namespace {

namespace options = boost::program_options;

constexpr Duration OpenTimeout = seconds(60);
constexpr Duration SettleTime = seconds(2);
constexpr Duration AnswerTimeout = seconds(10);
constexpr int DefaultBasePort = 23200;

struct Target {
  int m_Port = 0;
  pid_t m_Process = 0;
};

/// A job whose only task runs longer than the bench.
std::string makeWaitingJob() {
  std::string Body =
      R"({"spec":"60000","best-effort":true,"steps":[{"count":1,"cpu":100,)"
      R"("mem-mb":16,"estimated-ms":60000}]})";
  return "POST /q/00000000000000b1 HTTP/1.1\r\nHost: 127.0.0.1\r\n"
         "X-Cyclamenwalk-Deadline-Ms: 120000\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

int requestStatus(int Port) {
  HttpRequest Request;
  Request.m_Url = "http://127.0.0.1:" + std::to_string(Port) + "/other/";
  return sendHttpRequest(Request, AnswerTimeout).m_Status;
}

void printFigures(const char *When, const ProcessFigures &Figures) {
  std::printf("%s: resident=%zu KB peak=%zu KB threads=%zu descriptors=%zu\n",
              When, Figures.m_ResidentKb, Figures.m_PeakResidentKb,
              Figures.m_Threads, Figures.m_Descriptors);
}

void measure(const Target &Process, std::size_t IdleCount,
             std::size_t JobCount) {
  printFigures("before", readProcessFigures(Process.m_Process));
  Crowd Idle(Process.m_Port, IdleCount, {});
  Crowd Jobs(Process.m_Port, JobCount,
             {makeWaitingJob(), "", 0, "", Duration::zero()});
  Jobs.run(OpenTimeout, [&] { return Jobs.isSent(); });
  Idle.run(SettleTime, [] { return false; });
  printFigures("connected", readProcessFigures(Process.m_Process));
  int Status = requestStatus(Process.m_Port);
  // Notices what the process has closed meanwhile.
  auto Notice = [](Crowd &Clients) {
    Clients.run(milliseconds(200), [] { return false; });
    return Clients.openCount();
  };
  std::size_t OpenIdle = Notice(Idle);
  std::size_t OpenJobs = Notice(Jobs);
  std::printf("open: idle=%zu of %zu jobs=%zu of %zu, %zu answered; status of "
              "a further request: %d (0 is none)\n",
              OpenIdle, IdleCount, OpenJobs, JobCount, Jobs.answeredCount(),
              Status);
}

} // namespace

int main(int Count, char **Arguments) {
  std::size_t IdleCount = 0;
  std::size_t JobCount = 0;
  int BasePort = DefaultBasePort;
  Target Given;
  options::options_description Known("Options");
  auto Add = Known.add_options();
  Add("idle", options::value(&IdleCount)->default_value(1000),
      "idle connections");
  Add("jobs", options::value(&JobCount)->default_value(0), "waiting jobs");
  Add("port", options::value(&Given.m_Port), "port of a running entry");
  Add("pid", options::value(&Given.m_Process), "process of that entry");
  Add("base-port", options::value(&BasePort),
      "first of 100 ports for an entry that the bench starts");
  Add("help", "prints this text");
  options::variables_map Values;
  try {
    options::store(options::parse_command_line(Count, Arguments, Known),
                   Values);
    options::notify(Values);
  } catch (const options::error &Caught) {
    std::cerr << Caught.what() << "\n" << Known;
    return 2;
  }
  if (Values.count("help") || Values.count("port") != Values.count("pid")) {
    std::cout << Known;
    return Values.count("help") ? 0 : 2;
  }
  if (Values.count("port")) {
    measure(Given, IdleCount, JobCount);
    return 0;
  }
  PlatformSite Site({BasePort, ""});
  measure({Site.entryPort(), Site.entry().id()}, IdleCount, JobCount);
}
