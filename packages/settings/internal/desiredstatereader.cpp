#include "settings/desiredstatereader.h"

#include "settings/inireader.h"

namespace cyclamenwalk {

namespace {

constexpr std::uint32_t MaxSlots = 4096;
constexpr std::uint32_t MaxConnections = 65535;
constexpr std::uint32_t MaxTasksInJob = 100000;
constexpr std::uint32_t MaxWeight = 1000;
constexpr std::uint32_t MaxQuota = 1000000;

ServiceConfig readService(IniReader &Reader, const std::string &Section) {
  ServiceConfig Value;
  Value.m_Slots = Reader.number(Section, "slots", 0, 0, MaxSlots);
  Value.m_Connections = Reader.number(Section, "connections",
                                      Value.m_Connections, 1, MaxConnections);
  Value.m_LongSharePercent =
      Reader.percent(Section, "long_share", Value.m_LongSharePercent);
  Value.m_LongThreshold =
      Reader.duration(Section, "long_threshold", Value.m_LongThreshold);
  Value.m_DefaultDeadline =
      Reader.duration(Section, "default_deadline", Value.m_DefaultDeadline);
  Value.m_MaxDeadline =
      Reader.duration(Section, "max_deadline", Value.m_MaxDeadline);
  Value.m_MaxTasks =
      Reader.number(Section, "max_tasks", Value.m_MaxTasks, 1, MaxTasksInJob);
  if (Value.m_DefaultDeadline > Value.m_MaxDeadline)
    Reader.addProblem(Section, "default_deadline", ResultCode::BadDuration,
                      "default_deadline is longer than max_deadline");
  return Value;
}

TeamConfig readTeam(IniReader &Reader, const std::string &Section,
                    const DesiredState &State) {
  TeamConfig Value;
  Value.m_Weight = Reader.number(Section, "weight", 1, 1, MaxWeight);
  Value.m_Quota = Reader.number(Section, "quota", 0, 0, MaxQuota);
  for (const std::string &Name : Reader.list(Section, "services")) {
    Value.m_Services.insert(Name);
    if (!State.m_Services.count(Name))
      Reader.addProblem(Section, "services", ResultCode::DanglingName,
                        "service " + Name + " is not defined");
  }
  return Value;
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
