#include "settings/desiredstatereader.h"

#include "core/types/durationtext.h"
#include "settings/inireader.h"

namespace cyclamenwalk {

namespace {

constexpr std::uint32_t MaxSlots = 4096;
constexpr std::uint32_t MaxConnections = 65535;
constexpr std::uint32_t MaxTasksPerJob = 100000;
constexpr std::uint32_t MaxWeight = 1000;
constexpr std::uint32_t MaxQuota = 1000000;

ServiceConfig readService(IniReader &Reader, const std::string &Section) {
  ServiceConfig Service;
  Service.m_Slots = Reader.number(Section, "slots", 0, 0, MaxSlots);
  Service.m_Connections = Reader.number(
      Section, "connections", Service.m_Connections, 1, MaxConnections);
  Service.m_LongSharePercent =
      Reader.percent(Section, "long_share", Service.m_LongSharePercent);
  Service.m_LongThreshold =
      Reader.duration(Section, "long_threshold", Service.m_LongThreshold);
  Service.m_DefaultDeadline =
      Reader.duration(Section, "default_deadline", Service.m_DefaultDeadline);
  Service.m_MaxDeadline =
      Reader.duration(Section, "max_deadline", Service.m_MaxDeadline);
  Service.m_MaxTasks = Reader.number(Section, "max_tasks", Service.m_MaxTasks,
                                     1, MaxTasksPerJob);
  if (Service.m_DefaultDeadline > Service.m_MaxDeadline)
    Reader.addProblem(Section, "default_deadline", ResultCode::BadDuration,
                      "default_deadline is " +
                          formatDuration(Service.m_DefaultDeadline) +
                          ", expected at most max_deadline, " +
                          formatDuration(Service.m_MaxDeadline));
  return Service;
}

TeamConfig readTeam(IniReader &Reader, const std::string &Section,
                    const DesiredState &State) {
  TeamConfig Team;
  Team.m_Weight = Reader.number(Section, "weight", 1, 1, MaxWeight);
  Team.m_Quota = Reader.number(Section, "quota", 0, 0, MaxQuota);
  for (const std::string &Name : Reader.list(Section, "services")) {
    Team.m_Services.insert(Name);
    if (!State.m_Services.count(Name))
      Reader.addProblem(Section, "services", ResultCode::DanglingName,
                        "services = " + Name +
                            ": expected the name of a [service NAME] section");
  }
  return Team;
}

} // namespace

DesiredState readDesiredState(const std::string &Text,
                              const std::string &File) {
  IniReader Reader(parseIni(Text, File));
  DesiredState State;
  for (const std::string &Name : Reader.namedSections("service"))
    State.m_Services[Name] = readService(Reader, "service " + Name);
  for (const std::string &Name : Reader.namedSections("team"))
    State.m_Teams[Name] = readTeam(Reader, "team " + Name, State);
  Reader.finish();
  return State;
}

} // namespace cyclamenwalk
