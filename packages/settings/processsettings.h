#ifndef CYCLAMENWALK_SETTINGS_PROCESSSETTINGS_H
#define CYCLAMENWALK_SETTINGS_PROCESSSETTINGS_H

#include "core/log.h"
#include "core/types/time.h"
#include "settings/inireader.h"
#include "settings/limitsettings.h"
#include "settings/types/settingssource.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// Settings that entries and agents have in common.
struct ProcessSettings {
  SettingsSource m_Source;
  std::string m_Name;
  std::string m_FailureDomain;
  /// Folder of the state charts; empty for the folder installed with the
  /// program.
  std::string m_Charts;
  LogLevel m_LogLevel = LogLevel::Info;
  /// IP:PORT for HTTP and for messages between processes.
  std::string m_HttpListen;
  std::string m_MessageListenAddress;
  std::uint64_t m_BodyLimit = 4ULL * 1024 * 1024;
  std::uint64_t m_MessageLimit = 16ULL * 1024 * 1024;
  /// IP:PORT of the platform's service; empty to run without it.
  std::string m_PlatformAddress;
  Duration m_PlatformTimeout = seconds(2);
  LimitSettings m_Limits;
  /// How long a drain waits for work in progress.
  Duration m_DrainLimit = seconds(60);
};

struct EntrySettings {
  ProcessSettings m_Process;
  /// HTTP addresses of other entries, used when the store is unavailable.
  std::vector<std::string> m_Peers;
  /// Token that operators have to send; empty when none is required.
  std::string m_OperatorToken;
  std::uint32_t m_MaxJobs = 20000;
  Duration m_AnswerLifetime = seconds(120);
  std::uint64_t m_AnswerMemory = 256ULL * 1024 * 1024;
  Duration m_ConfigurationPollPeriod = seconds(1);
  /// Names of the active policies. The alternatives to the defaults are
  /// baselines for comparison.
  std::string m_Order = "remaining_work";
  std::string m_Admission = "deadline";
  std::string m_WorkerChoice = "least_loaded";
  std::string m_FailureTest = "sequential";
};

struct AgentSettings {
  ProcessSettings m_Process;
  /// Message addresses of the entries that are tried first.
  std::vector<std::string> m_Entries;
  /// Number of entries to which the agent connects.
  std::uint32_t m_Links = 8;
  /// Upper limit of tasks that run at the same time, whatever the configuration
  /// allows.
  std::uint32_t m_ExecutorThreads = 64;
};

/// Reads the settings of a process; throws SettingsError with all problems.
EntrySettings readEntrySettings(const std::string &File);
AgentSettings readAgentSettings(const std::string &File);

/// Read the text in \p Source; throw SettingsError as well.
EntrySettings parseEntrySettings(const SettingsSource &Source);
AgentSettings parseAgentSettings(const SettingsSource &Source);

/// Reads the key log_level in the section [process].
LogLevel readLogLevel(IniReader &Reader);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SETTINGS_PROCESSSETTINGS_H
