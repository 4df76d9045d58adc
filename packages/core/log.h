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

/// Sends log lines to standard error from \p Lowest on, each with the name of
/// the process.
void startLogging(const std::string &Process, LogLevel Lowest);

/// Writes one line of key=value pairs for \p Event. Values with spaces or
/// quotes are quoted.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

/// The line that logEvent writes, without time, level and process.
std::string formatEvent(std::string_view Event,
                        std::initializer_list<LogField> Fields);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_LOG_H
