#ifndef CYCLAMENWALK_SETTINGS_PROCESSSETTINGS_H
#define CYCLAMENWALK_SETTINGS_PROCESSSETTINGS_H

#include "core/log.h"
#include "core/types/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// What both programs are told by their settings file.
struct ProcessSettings {
  std::string m_Name;
  std::string m_FailureDomain;
  /// Folder of the charts; empty for the one beside the program.
  std::string m_Charts;
  LogLevel m_LogLevel = LogLevel::Info;
  /// IP:PORT for HTTP and for messages between processes.
  std::string m_HttpListen;
  std::string m_MessageListen;
  std::uint64_t m_BodyLimit = 4ULL * 1024 * 1024;
  std::uint64_t m_MessageLimit = 16ULL * 1024 * 1024;
  /// IP:PORT of the platform's service; empty for none.
  std::string m_Platform;
  Duration m_PlatformTimeout = seconds(2);
  /// How long a drain waits for what is in flight.
  Duration m_DrainLimit = seconds(60);
};

/// Settings of an entry.
struct EntrySettings {
  ProcessSettings m_Process;
  /// HTTP addresses of other entries, for when the store is down.
  std::vector<std::string> m_Peers;
  /// What operators have to present; empty for nothing.
  std::string m_OperatorToken;
  std::uint32_t m_MaxJobs = 20000;
  Duration m_AnswerLifetime = seconds(120);
  std::uint64_t m_AnswerMemory = 256ULL * 1024 * 1024;
  Duration m_ConfigurationPoll = seconds(1);
  /// Names of the policies in force; the others are baselines.
  std::string m_Order = "remaining_work";
  std::string m_Admission = "deadline";
  std::string m_WorkerChoice = "least_loaded";
  std::string m_FailureTest = "sequential";
};

/// Settings of an agent.
struct AgentSettings {
  ProcessSettings m_Process;
  /// Message addresses of entries to try first.
  std::vector<std::string> m_Entries;
  /// How many entries the agent links to.
  std::uint32_t m_Links = 8;
  /// Tasks that can be executing at once, whatever is configured.
  std::uint32_t m_ExecutorThreads = 64;
};

/// Reads the settings of a process; throws SettingsError with all problems.
EntrySettings readEntrySettings(const std::string &File);
AgentSettings readAgentSettings(const std::string &File);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SETTINGS_PROCESSSETTINGS_H
