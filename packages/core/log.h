#ifndef CYCLAMENWALK_CORE_LOG_H
#define CYCLAMENWALK_CORE_LOG_H

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

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

/// Starts a thread that writes log lines of level \p MinLevel and above to
/// standard output, each with the name of the process. Logging never blocks:
/// when the reader of standard output is too slow, lines are dropped and
/// counted.
void startLogging(const std::string &Process, LogLevel MinLevel);

/// Changes the level given to startLogging(). Callable from any thread.
void setLogLevel(LogLevel MinLevel);

/// Writes the queued lines and stops the thread. Later lines are discarded.
void stopLogging();

/// Logs \p Event as one line of key=value pairs; values with spaces or quotes
/// are quoted. The lines per second of each event are limited, and the number
/// of suppressed lines is logged afterwards.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

/// The same for fields that are collected first.
void logEvent(LogLevel Level, std::string_view Event,
              const std::vector<LogField> &Fields);

/// Formats the line that logEvent() writes, without time, level and process.
std::string formatEvent(std::string_view Event,
                        std::initializer_list<LogField> Fields);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_LOG_H
