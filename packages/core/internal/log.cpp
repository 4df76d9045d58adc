#include "core/log.h"

#include "core/internal/loglimit.h"

#include <csignal>
#include <spdlog/async.h>
#include <spdlog/sinks/null_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace cyclamenwalk {

namespace {

/// Lines that wait to be written; beyond, the oldest are dropped, so that a
/// slow reader never holds a thread up.
constexpr std::size_t WaitingLines = 8192;
/// Lines of one event a second.
constexpr std::uint32_t LinesPerSecond = 250;

LogLimit &logLimit() {
  static LogLimit Limit(LinesPerSecond);
  return Limit;
}

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

namespace {

/// The writing thread inherits blocked signals, which others wait for.
void startWriter() {
  sigset_t All;
  sigset_t Before;
  sigfillset(&All);
  pthread_sigmask(SIG_BLOCK, &All, &Before);
  spdlog::init_thread_pool(WaitingLines, 1);
  pthread_sigmask(SIG_SETMASK, &Before, nullptr);
}

} // namespace

void startLogging(const std::string &Process, LogLevel Lowest) {
  startWriter();
  auto Logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>(Process);
  Logger->set_level(toSpdlog(Lowest));
  Logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l process=%n %v",
                      spdlog::pattern_time_type::utc);
  Logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(Logger));
}

void stopLogging() {
  if (auto Pool = spdlog::thread_pool())
    logEvent(LogLevel::Info, "log.ended",
             {{"dropped", Pool->overrun_counter()}});
  spdlog::set_default_logger(spdlog::null_logger_mt("ended"));
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
  std::uint64_t LeftOut = 0;
  bool IsAdmitted = logLimit().admit(Event, Clock::now(), LeftOut);
  if (LeftOut > 0)
    spdlog::log(
        spdlog::level::warn, "{}",
        formatEvent("log.limited", {{"of", Event}, {"left_out", LeftOut}}));
  if (IsAdmitted)
    spdlog::log(SpdlogLevel, "{}", formatEvent(Event, Fields));
}

} // namespace cyclamenwalk
