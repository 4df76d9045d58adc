#include "settings/processsettings.h"

#include "settings/inireader.h"

namespace cyclamenwalk {

namespace {

constexpr std::uint32_t MaxJobs = 1000000;
constexpr std::uint32_t MaxLinks = 1000;
constexpr std::uint32_t MaxThreads = 4096;

LogLevel readLogLevel(IniReader &Reader) {
  std::string Name = Reader.choice("process", "log_level", "info",
                                   {"debug", "info", "warning", "error"});
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "warning")
    return LogLevel::Warning;
  return Name == "error" ? LogLevel::Error : LogLevel::Info;
}

ProcessSettings readProcess(IniReader &Reader) {
  ProcessSettings Value;
  Value.m_Name = Reader.requiredName("process", "name");
  Value.m_FailureDomain = Reader.requiredName("process", "failure_domain");
  Value.m_Charts = Reader.text("process", "charts", "");
  Value.m_LogLevel = readLogLevel(Reader);
  Value.m_HttpListen = Reader.address("http", "listen", true);
  Value.m_BodyLimit = Reader.size("http", "body_limit", Value.m_BodyLimit);
  Value.m_MessageListen = Reader.address("messages", "listen", true);
  Value.m_MessageLimit = Reader.size("messages", "limit", Value.m_MessageLimit);
  Value.m_Platform = Reader.address("platform", "address", false);
  Value.m_PlatformTimeout =
      Reader.duration("platform", "timeout", Value.m_PlatformTimeout);
  Value.m_DrainLimit = Reader.duration("drain", "limit", Value.m_DrainLimit);
  return Value;
}

} // namespace

EntrySettings readEntrySettings(const std::string &File) {
  IniReader Reader(parseIni(readFile(File), File));
  EntrySettings Value;
  Value.m_Process = readProcess(Reader);
  Value.m_Peers = Reader.addresses("peers", "http");
  Value.m_OperatorToken = Reader.text("operators", "token", "");
  Value.m_MaxJobs =
      Reader.number("jobs", "max_jobs", Value.m_MaxJobs, 1, MaxJobs);
  Value.m_AnswerLifetime =
      Reader.duration("jobs", "answer_lifetime", Value.m_AnswerLifetime);
  Value.m_AnswerMemory =
      Reader.size("jobs", "answer_memory", Value.m_AnswerMemory);
  Value.m_ConfigurationPoll = Reader.duration("platform", "configuration_poll",
                                              Value.m_ConfigurationPoll);
  Value.m_Order = Reader.choice("policy", "order", Value.m_Order,
                                {"remaining_work", "arrival"});
  Value.m_Admission = Reader.choice("policy", "admission", Value.m_Admission,
                                    {"deadline", "all"});
  Value.m_WorkerChoice =
      Reader.choice("policy", "worker_choice", Value.m_WorkerChoice,
                    {"least_loaded", "random"});
  Value.m_FailureTest =
      Reader.choice("policy", "failure_test", Value.m_FailureTest,
                    {"sequential", "per_call_ratio", "whole_window"});
  Reader.finish();
  return Value;
}

AgentSettings readAgentSettings(const std::string &File) {
  IniReader Reader(parseIni(readFile(File), File));
  AgentSettings Value;
  Value.m_Process = readProcess(Reader);
  Value.m_Entries = Reader.addresses("entries", "addresses");
  Value.m_Links = Reader.number("entries", "links", Value.m_Links, 1, MaxLinks);
  Value.m_ExecutorThreads = Reader.number(
      "executor", "threads", Value.m_ExecutorThreads, 1, MaxThreads);
  if (Value.m_Entries.empty() && Value.m_Process.m_Platform.empty())
    Reader.addProblem("entries", "addresses", ResultCode::MissingKey,
                      "neither addresses of entries nor a platform is given");
  Reader.finish();
  return Value;
}

} // namespace cyclamenwalk
