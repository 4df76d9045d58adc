#include "soak/soak.h"

#include "soak/faultplan.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/program_options.hpp>
#include <iostream>

using namespace cyclamenwalk;
namespace options = boost::program_options;

namespace {

std::string describeGroups() {
  std::string Text = "groups of faults, with commas between; default all:";
  for (const std::string &Group : faultGroups())
    Text += " " + Group;
  return Text;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  SoakOptions Options;
  std::uint32_t SeedCount = 1;
  int LengthSeconds = 20;
  int GapMilliseconds = 600;
  std::string Groups;
  bool SkipsRecovery = false;
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
  AddOption("faults", options::value(&Groups), describeGroups().c_str());
  AddOption("gap", options::value(&GapMilliseconds),
            "mean milliseconds between the starts of two faults");
  AddOption("cancels", options::value(&Options.m_Callers.m_CancelRatio),
            "ratio of jobs that are cancelled");
  AddOption("long", options::value(&Options.m_Callers.m_LongRatio),
            "ratio of jobs with tasks of up to 3 s");
  AddOption("no-recovery", options::bool_switch(&SkipsRecovery),
            "skip the check that jobs are served after the faults");
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
  Options.m_MeanFaultGap = milliseconds(GapMilliseconds);
  Options.m_ChecksRecovery = !SkipsRecovery;
  if (!Groups.empty())
    boost::split(Options.m_FaultGroups, Groups, boost::is_any_of(","));
  int FailedRuns = 0;
  for (std::uint32_t I = 0; I < SeedCount; ++I, ++Options.m_Seed) {
    SoakResult Result = runSoak(Options);
    std::cout << describe(Options, Result) << std::flush;
    FailedRuns += !Result.m_Violations.empty();
  }
  return FailedRuns;
}
