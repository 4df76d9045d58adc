#ifndef CYCLAMENWALK_CORE_LOG_H
#define CYCLAMENWALK_CORE_LOG_H

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cyclamenwalk {

enum class LogLevel { Debug, Info, Warning, Error };

/// One key=value pair of a log line.
struct LogField {
  LogField(std::string_view Key, std::string_view Value)
      : m_Key(Key), m_Value(Value) {}
  LogField(std::string_view Key, const std::string &Value)
      : m_Key(Key), m_Value(Value) {}
  LogField(std::string_view Key, const char *Value)
      : m_Key(Key), m_Value(Value) {}
  LogField(std::string_view Key, std::integral auto Value)
      : m_Key(Key), m_Value(std::to_string(Value)) {}

  std::string_view m_Key;
  std::string m_Value;
};

/// Sends log lines to standard output from \p Lowest on, each with the name of
/// the process, from a thread of its own. Writing one never blocks: lines that
/// a slow reader holds up are dropped and counted.
void startLogging(const std::string &Process, LogLevel Lowest);

/// Writes what waits and ends the thread. No line is written afterwards.
void stopLogging();

/// Writes one line of key=value pairs for \p Event. Values with spaces or
/// quotes are quoted. Lines of one event are bounded to a number a second; how
/// many were left out is written later.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

/// The line that logEvent writes, without time, level and process.
std::string formatEvent(std::string_view Event,
                        std::initializer_list<LogField> Fields);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_LOG_H
