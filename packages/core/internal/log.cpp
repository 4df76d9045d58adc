#include "core/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace cyclamenwalk {

namespace {

spdlog::level::level_enum toSpdlog(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return spdlog::level::debug;
  case LogLevel::Info:
    return spdlog::level::info;
  case LogLevel::Warning:
    return spdlog::level::warn;
  case LogLevel::Error:
    return spdlog::level::err;
  }
  return spdlog::level::info;
}

bool needsQuotes(std::string_view Value) {
  return Value.empty() ||
         Value.find_first_of(" \t\r\n\"=") != std::string_view::npos;
}

void appendQuoted(std::string &Line, std::string_view Value) {
  Line += '"';
  for (char Letter : Value) {
    if (Letter == '"' || Letter == '\\')
      Line += '\\';
    bool IsControl = static_cast<unsigned char>(Letter) < ' ';
    Line += IsControl ? ' ' : Letter;
  }
  Line += '"';
}

} // namespace

void startLogging(const std::string &Process, LogLevel Lowest) {
  auto Logger = spdlog::stderr_logger_mt(Process);
  Logger->set_level(toSpdlog(Lowest));
  Logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l process=%n %v",
                      spdlog::pattern_time_type::utc);
  Logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(Logger));
}

std::string formatEvent(std::string_view Event,
                        std::initializer_list<LogField> Fields) {
  std::string Line = "event=";
  Line += Event;
  for (const LogField &Field : Fields) {
    Line += ' ';
    Line += Field.m_Key;
    Line += '=';
    if (needsQuotes(Field.m_Value))
      appendQuoted(Line, Field.m_Value);
    else
      Line += Field.m_Value;
  }
  return Line;
}

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  auto SpdlogLevel = toSpdlog(Level);
  if (!spdlog::should_log(SpdlogLevel))
    return;
  spdlog::log(SpdlogLevel, "{}", formatEvent(Event, Fields));
}

} // namespace cyclamenwalk
