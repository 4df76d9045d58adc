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
  po::options_description Description("standin-backend");
  Description.add_options()("listen", po::value<std::string>()->required(),
                            "IP:PORT to listen on for tasks")(
      "agent", po::value<std::string>()->required(),
      "IP:PORT of the agent's HTTP interface")(
      "service", po::value<std::string>()->required(), "name of the service")(
      "slots", po::value<std::uint32_t>()->default_value(8),
      "maximum number of tasks executed concurrently")(
      "announce-slots", po::value<std::uint32_t>()->default_value(0),
      "number of slots to announce; 0 for the value of --slots")(
      "run-ms", po::value<std::uint32_t>()->default_value(50),
      "run time in milliseconds of a task whose payload states none")(
      "fail-percent", po::value<std::uint32_t>()->default_value(0),
      "percentage of tasks that fail")("silent", po::bool_switch(),
                                       "accept tasks but never answer them")(
      "log", po::value<std::string>()->default_value(""),
      "file to append a line to for each start and end of a task");
  return Description;
}

BackendOptions readOptions(int ArgumentCount, char **Arguments) {
  po::variables_map Values;
  po::store(po::parse_command_line(ArgumentCount, Arguments, describeOptions()),
            Values);
  po::notify(Values);
  BackendOptions Options;
  Options.m_ListenAddress = Values["listen"].as<std::string>();
  Options.m_AgentAddress = Values["agent"].as<std::string>();
  Options.m_Service = Values["service"].as<std::string>();
  Options.m_Slots = Values["slots"].as<std::uint32_t>();
  std::uint32_t AnnouncedSlots = Values["announce-slots"].as<std::uint32_t>();
  Options.m_AnnouncedSlots =
      AnnouncedSlots == 0 ? Options.m_Slots : AnnouncedSlots;
  Options.m_RunTime = milliseconds(Values["run-ms"].as<std::uint32_t>());
  Options.m_FailurePercent = Values["fail-percent"].as<std::uint32_t>();
  Options.m_IsSilent = Values["silent"].as<bool>();
  Options.m_LogFile = Values["log"].as<std::string>();
  return Options;
}

void serve(const BackendOptions &Options) {
  SignalWatch Signals;
  ControlLoop Loop;
  HttpServer Server({Options.m_ListenAddress});
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

int main(int ArgumentCount, char **Arguments) {
  try {
    serve(readOptions(ArgumentCount, Arguments));
    return 0;
  } catch (const std::exception &Error) {
    std::cerr << Error.what() << '\n' << describeOptions();
    return 2;
  }
}
