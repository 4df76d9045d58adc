#include "core/log.h"

#include "core/internal/logratelimiter.h"

#include <csignal>
#include <span>
#include <spdlog/async.h>
#include <spdlog/sinks/null_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace cyclamenwalk {

namespace {

/// When more lines are queued, the oldest are dropped, so that a slow reader of
/// standard output never blocks a thread.
constexpr std::size_t MaxQueuedLines = 8192;
/// Applies to each event separately.
constexpr std::uint32_t MaxLinesPerSecond = 250;

LogRateLimiter &rateLimiter() {
  static LogRateLimiter Limiter(MaxLinesPerSecond);
  return Limiter;
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

/// Starts the writer thread with all signals blocked, because other threads
/// wait for them.
void startWriterThread() {
  sigset_t AllSignals;
  sigset_t PreviousMask;
  sigfillset(&AllSignals);
  pthread_sigmask(SIG_BLOCK, &AllSignals, &PreviousMask);
  spdlog::init_thread_pool(MaxQueuedLines, 1);
  pthread_sigmask(SIG_SETMASK, &PreviousMask, nullptr);
}

} // namespace

void startLogging(const std::string &Process, LogLevel MinLevel) {
  startWriterThread();
  auto Logger = spdlog::create_async_nb<spdlog::sinks::stdout_sink_mt>(Process);
  Logger->set_level(toSpdlog(MinLevel));
  Logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l process=%n %v",
                      spdlog::pattern_time_type::utc);
  Logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(Logger));
}

void setLogLevel(LogLevel MinLevel) {
  spdlog::default_logger_raw()->set_level(toSpdlog(MinLevel));
}

void stopLogging() {
  if (auto Pool = spdlog::thread_pool())
    logEvent(LogLevel::Info, "log.stopped",
             {{"dropped_lines", Pool->overrun_counter()}});
  spdlog::set_default_logger(spdlog::null_logger_mt("stopped"));
}

namespace {

std::string formatFields(std::string_view Event,
                         std::span<const LogField> Fields) {
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

void logFields(LogLevel Level, std::string_view Event,
               std::span<const LogField> Fields) {
  auto SpdlogLevel = toSpdlog(Level);
  if (!spdlog::should_log(SpdlogLevel))
    return;
  std::uint64_t Suppressed = 0;
  bool IsAdmitted = rateLimiter().tryAdmit(Event, Clock::now(), Suppressed);
  if (Suppressed > 0)
    spdlog::log(
        spdlog::level::warn, "{}",
        formatEvent("log.rate_limited", {{"limited_event", Event},
                                         {"suppressed_lines", Suppressed}}));
  if (IsAdmitted)
    spdlog::log(SpdlogLevel, "{}", formatFields(Event, Fields));
}

} // namespace

std::string formatEvent(std::string_view Event,
                        std::initializer_list<LogField> Fields) {
  return formatFields(Event, {Fields.begin(), Fields.size()});
}

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  logFields(Level, Event, {Fields.begin(), Fields.size()});
}

void logEvent(LogLevel Level, std::string_view Event,
              const std::vector<LogField> &Fields) {
  logFields(Level, Event, Fields);
}

} // namespace cyclamenwalk
