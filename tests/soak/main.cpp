#include "soak/soak.h"

#include <boost/program_options.hpp>
#include <iostream>

using namespace cyclamenwalk;
namespace options = boost::program_options;

int main(int ArgumentCount, char **Arguments) {
  SoakOptions Options;
  std::uint32_t SeedCount = 1;
  int LengthSeconds = 20;
  options::options_description Description("soak");
  auto AddOption = Description.add_options();
  AddOption("help", "print this text");
  AddOption("seed", options::value(&Options.m_Seed), "the first seed");
  AddOption("seeds", options::value(&SeedCount),
            "number of seeds to run, counted up from the first");
  AddOption("entries", options::value(&Options.m_Fleet.m_EntryCount));
  AddOption("small-entries", options::value(&Options.m_Fleet.m_SmallEntryCount),
            "the last of the entries, which forward their jobs");
  AddOption("agents", options::value(&Options.m_Fleet.m_AgentCount));
  AddOption("port", options::value(&Options.m_Fleet.m_BasePort),
            "first port of a range of 2,000 on loopback");
  AddOption("rate", options::value(&Options.m_Callers.m_JobsPerSecond),
            "jobs per second");
  AddOption("seconds", options::value(&LengthSeconds),
            "seconds for which faults are injected");
  AddOption("calm", options::bool_switch(&Options.m_IsFaultFree),
            "inject no faults");
  options::variables_map Values;
  options::store(
      options::parse_command_line(ArgumentCount, Arguments, Description),
      Values);
  options::notify(Values);
  if (Values.count("help")) {
    std::cout << Description;
    return 0;
  }
  Options.m_Length = seconds(LengthSeconds);
  int FailedRuns = 0;
  for (std::uint32_t I = 0; I < SeedCount; ++I, ++Options.m_Seed) {
    SoakResult Result = runSoak(Options);
    std::cout << describe(Options, Result) << std::flush;
    FailedRuns += !Result.m_Violations.empty();
  }
  return FailedRuns;
}
