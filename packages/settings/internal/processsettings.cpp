#include "settings/processsettings.h"

#include "settings/inireader.h"

namespace cyclamenwalk {

namespace {

constexpr std::uint32_t MaxJobs = 1000000;
constexpr std::uint32_t MaxLinks = 1000;
constexpr std::uint32_t MaxThreads = 4096;

ProcessSettings readProcessSettings(IniReader &Reader) {
  ProcessSettings Settings;
  Settings.m_Name = Reader.requiredName("process", "name");
  Settings.m_FailureDomain = Reader.requiredName("process", "failure_domain");
  Settings.m_Charts = Reader.text("process", "charts", "");
  Settings.m_LogLevel = readLogLevel(Reader);
  Settings.m_HttpListen = Reader.address("http", "listen", true);
  Settings.m_BodyLimit =
      Reader.size("http", "body_limit", Settings.m_BodyLimit);
  Settings.m_MessageListenAddress = Reader.address("messages", "listen", true);
  Settings.m_MessageLimit =
      Reader.size("messages", "limit", Settings.m_MessageLimit);
  Settings.m_PlatformAddress = Reader.address("platform", "address", false);
  Settings.m_PlatformTimeout =
      Reader.duration("platform", "timeout", Settings.m_PlatformTimeout);
  Settings.m_Limits = readLimitSettings(Reader);
  Settings.m_Limits.m_Requests.m_MaxBodyBytes = Settings.m_BodyLimit;
  Settings.m_DrainLimit =
      Reader.duration("drain", "limit", Settings.m_DrainLimit);
  return Settings;
}

} // namespace

LogLevel readLogLevel(IniReader &Reader) {
  std::string Level = Reader.choice("process", "log_level", "info",
                                    {"debug", "info", "warning", "error"});
  if (Level == "debug")
    return LogLevel::Debug;
  if (Level == "warning")
    return LogLevel::Warning;
  return Level == "error" ? LogLevel::Error : LogLevel::Info;
}

EntrySettings readEntrySettings(const std::string &File) {
  return parseEntrySettings({File, readFile(File)});
}

EntrySettings parseEntrySettings(const SettingsSource &Source) {
  IniReader Reader(parseIni(Source.m_Text, Source.m_Path));
  EntrySettings Settings;
  Settings.m_Process = readProcessSettings(Reader);
  Settings.m_Process.m_Source = Source;
  Settings.m_Peers = Reader.addresses("peers", "http");
  Settings.m_OperatorToken = Reader.text("operators", "token", "");
  Settings.m_MaxJobs =
      Reader.number("jobs", "max_jobs", Settings.m_MaxJobs, 1, MaxJobs);
  Settings.m_AnswerLifetime =
      Reader.duration("jobs", "answer_lifetime", Settings.m_AnswerLifetime);
  Settings.m_AnswerMemory =
      Reader.size("jobs", "answer_memory", Settings.m_AnswerMemory);
  Settings.m_ConfigurationPollPeriod = Reader.duration(
      "platform", "configuration_poll", Settings.m_ConfigurationPollPeriod);
  Settings.m_Order = Reader.choice("policy", "order", Settings.m_Order,
                                   {"remaining_work", "arrival"});
  Settings.m_Admission = Reader.choice(
      "policy", "admission", Settings.m_Admission, {"deadline", "all"});
  Settings.m_WorkerChoice =
      Reader.choice("policy", "worker_choice", Settings.m_WorkerChoice,
                    {"least_loaded", "random"});
  Settings.m_FailureTest =
      Reader.choice("policy", "failure_test", Settings.m_FailureTest,
                    {"sequential", "per_call_ratio", "whole_window"});
  Reader.finish();
  return Settings;
}

AgentSettings readAgentSettings(const std::string &File) {
  return parseAgentSettings({File, readFile(File)});
}

AgentSettings parseAgentSettings(const SettingsSource &Source) {
  IniReader Reader(parseIni(Source.m_Text, Source.m_Path));
  AgentSettings Settings;
  Settings.m_Process = readProcessSettings(Reader);
  Settings.m_Process.m_Source = Source;
  Settings.m_Entries = Reader.addresses("entries", "addresses");
  Settings.m_Links =
      Reader.number("entries", "links", Settings.m_Links, 1, MaxLinks);
  Settings.m_ExecutorThreads = Reader.number(
      "executor", "threads", Settings.m_ExecutorThreads, 1, MaxThreads);
  if (Settings.m_Entries.empty() &&
      Settings.m_Process.m_PlatformAddress.empty())
    Reader.addProblem("entries", "addresses", ResultCode::MissingKey,
                      "expected addresses in [entries] or an address in "
                      "[platform], both are empty");
  Reader.finish();
  return Settings;
}

} // namespace cyclamenwalk
