#include "backend/backendstandin.h"
#include "core/controlloop.h"
#include "process/signalwatch.h"

#include <boost/program_options.hpp>
#include <iostream>

using namespace cyclamenwalk;
namespace po = boost::program_options;

namespace {

constexpr Duration AnnouncePeriod = seconds(1);

po::options_description describeOptions() {
  po::options_description All("standin-backend");
  All.add_options()("listen", po::value<std::string>()->required(),
                    "IP:PORT to execute tasks at")(
      "agent", po::value<std::string>()->required(),
      "IP:PORT of the agent's HTTP interface")(
      "service", po::value<std::string>()->required(), "name of the service")(
      "slots", po::value<std::uint32_t>()->default_value(8), "tasks at once")(
      "announce-slots", po::value<std::uint32_t>()->default_value(0),
      "slots to announce; 0 for those it has")(
      "run-ms", po::value<std::uint32_t>()->default_value(50),
      "run time of a task")(
      "fail-percent", po::value<std::uint32_t>()->default_value(0),
      "share of tasks that fail")("silent", po::bool_switch(), "never answer")(
      "log", po::value<std::string>()->default_value(""),
      "file that gets a line for each start and end");
  return All;
}

BackendOptions readOptions(int Count, char **Arguments) {
  po::variables_map Values;
  po::store(po::parse_command_line(Count, Arguments, describeOptions()),
            Values);
  po::notify(Values);
  BackendOptions Options;
  Options.m_Listen = Values["listen"].as<std::string>();
  Options.m_Agent = Values["agent"].as<std::string>();
  Options.m_Service = Values["service"].as<std::string>();
  Options.m_Slots = Values["slots"].as<std::uint32_t>();
  std::uint32_t Announced = Values["announce-slots"].as<std::uint32_t>();
  Options.m_AnnouncedSlots = Announced == 0 ? Options.m_Slots : Announced;
  Options.m_RunTime = milliseconds(Values["run-ms"].as<std::uint32_t>());
  Options.m_FailPercent = Values["fail-percent"].as<std::uint32_t>();
  Options.m_IsSilent = Values["silent"].as<bool>();
  Options.m_LogFile = Values["log"].as<std::string>();
  return Options;
}

void serve(const BackendOptions &Options) {
  SignalWatch Signals;
  ControlLoop Loop;
  HttpServer Server({Options.m_Listen});
  BackendStandin Standin(Options, Server);
  Server.start();
  Loop.subscribeEvery(AnnouncePeriod, [&Standin] { Standin.announce(); });
  Loop.tryPost([&Standin] { Standin.announce(); });
  Signals.start([&Loop] { Loop.stop(); });
  Loop.run();
  Standin.leave();
  Server.stop(seconds(5));
  Standin.shutDown();
}

} // namespace

int main(int Count, char **Arguments) {
  try {
    serve(readOptions(Count, Arguments));
    return 0;
  } catch (const std::exception &Caught) {
    std::cerr << Caught.what() << '\n' << describeOptions();
    return 2;
  }
}
