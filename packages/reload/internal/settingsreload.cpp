#include "reload/settingsreload.h"

#include "core/log.h"
#include "reload/types/reloaddecision.h"
#include "statechart/boundchart.h"

#include <atomic>
#include <deque>

namespace cyclamenwalk {

enum class ReloadState { InForce, Settling, Reading, Rejected };
enum class ReloadEvent {
  Checked,
  Requested,
  Modified,
  Unchanged,
  Accepted,
  Refused
};

template <> struct ChartNames<ReloadState> {
  static constexpr std::array<std::string_view, 4> Values{
      "inForce", "settling", "reading", "rejected"};
};
template <> struct ChartNames<ReloadEvent> {
  static constexpr std::array<std::string_view, 6> Values{
      "checked", "requested", "modified", "unchanged", "accepted", "refused"};
};

namespace {

constexpr Duration CheckPeriod = seconds(2);
/// A file that is no settings file can have a problem in each line.
constexpr std::size_t MaxLoggedProblems = 10;

std::string join(const std::vector<std::string> &Names) {
  std::string Joined;
  for (const std::string &Name : Names)
    Joined += (Joined.empty() ? "" : ",") + Name;
  return Joined.empty() ? "none" : Joined;
}

} // namespace

class SettingsReload::Impl {
public:
  Impl(const std::string &TextInForce, Hooks NewHooks,
       const ISettingsFile &File, const IChartSource &Charts,
       ITimerService &Timers, IMetrics &Metrics)
      : m_Hooks(std::move(NewHooks)), m_File(File), m_Timers(Timers),
        m_Metrics(Metrics), m_Chart(bind(Charts)) {
    m_Context.m_State = m_Chart.initial();
    m_Context.m_Text = TextInForce;
    m_Context.m_InForce = m_Hooks.m_Parse(TextInForce).m_Values;
  }

  ~Impl() { m_Timers.cancel(m_CheckTimer); }

  void applyAtOnce(const std::vector<std::string> &Names,
                   std::function<void()> Apply) {
    m_AppliedAtOnce.insert(Names.begin(), Names.end());
    m_Subscriptions.push_back({{Names.begin(), Names.end()}, std::move(Apply)});
  }

  void start() {
    m_CheckTimer = m_Timers.subscribeEvery(
        CheckPeriod, [this] { fire(ReloadEvent::Checked); });
  }

  void requestReload() {
    m_Context.m_IsRequested = true;
    fire(ReloadEvent::Requested);
  }

  std::uint64_t reloads() const { return m_Reloads; }
  std::size_t restartNeeded() const { return m_RestartNeeded; }

private:
  struct Context {
    ReloadState m_State = ReloadState::InForce;
    /// The stamp at the last check that found the file modified; empty until
    /// the first check, and while there is no file.
    std::optional<FileStamp> m_Stamp;
    /// The last text that was accepted.
    std::string m_Text;
    /// Includes old values of settings that need a restart.
    SettingValues m_InForce;
    /// Whether the result is reported even if nothing has changed.
    bool m_IsRequested = false;
    bool m_WasRejected = false;
    /// The text that was read last, and what follows from it.
    std::string m_ReadText;
    ReloadDecision m_Decision;
  };
  using Chart = BoundChart<Context, ReloadState, ReloadEvent>;

  struct Subscription {
    std::set<std::string> m_Names;
    std::function<void()> m_Apply;
  };

  Chart bind(const IChartSource &Charts) {
    return Chart(
        Charts.chart("settingsreload"),
        {{"isModified",
          [this](const Context &Current) {
            return m_File.stamp() != Current.m_Stamp;
          }}},
        {{"noteStamp",
          [this](Context &Current) { Current.m_Stamp = m_File.stamp(); }},
         {"read", [this](Context &Current) { read(Current); }},
         {"apply", [this](Context &Current) { apply(Current); }},
         {"reportProblems",
          [this](Context &Current) { reportProblems(Current); }}});
  }

  /// Fires \p Event, and then the events that its actions queued.
  void fire(ReloadEvent Event) {
    m_Chart.fire(m_Context, Event);
    while (!m_QueuedEvents.empty()) {
      ReloadEvent Next = m_QueuedEvents.front();
      m_QueuedEvents.pop_front();
      m_Chart.fire(m_Context, Next);
    }
  }

  void read(Context &Current) {
    Current.m_Stamp = m_File.stamp();
    std::optional<std::string> Text = m_File.read();
    if (m_File.stamp() != Current.m_Stamp) {
      m_QueuedEvents.push_back(ReloadEvent::Modified);
      return;
    }
    bool IsUnchanged = Text && *Text == Current.m_Text;
    if (IsUnchanged && !Current.m_IsRequested && !Current.m_WasRejected) {
      m_QueuedEvents.push_back(ReloadEvent::Unchanged);
      return;
    }
    Current.m_Decision =
        decideReload(Current.m_InForce, parse(Text), m_AppliedAtOnce);
    Current.m_ReadText = Text.value_or("");
    m_QueuedEvents.push_back(Current.m_Decision.m_Problems.empty()
                                 ? ReloadEvent::Accepted
                                 : ReloadEvent::Refused);
  }

  ParsedSettings parse(const std::optional<std::string> &Text) const {
    if (Text)
      return m_Hooks.m_Parse(*Text);
    return {{}, {{0, ResultCode::UnreadableFile, "the file cannot be read"}}};
  }

  void apply(Context &Current) {
    const ReloadDecision &Decision = Current.m_Decision;
    Current.m_Text = std::move(Current.m_ReadText);
    Current.m_InForce = Decision.m_InForce;
    m_RestartNeeded = Decision.m_RestartNeeded.size();
    ++m_Reloads;
    m_Metrics.count(Metric::SettingsReloaded);
    logReload(Current);
    Current.m_IsRequested = false;
    Current.m_WasRejected = false;
    for (const Subscription &Subscriber : m_Subscriptions)
      if (isAffected(Subscriber, Decision.m_Applied))
        Subscriber.m_Apply();
  }

  static bool isAffected(const Subscription &Subscriber,
                         const std::vector<std::string> &Names) {
    return std::any_of(Names.begin(), Names.end(),
                       [&Subscriber](const std::string &Name) {
                         return Subscriber.m_Names.count(Name) > 0;
                       });
  }

  /// Logs names but no values, which may be secret.
  void logReload(const Context &Current) const {
    const ReloadDecision &Decision = Current.m_Decision;
    logEvent(LogLevel::Info, "settings.reloaded",
             {{"reload", m_Reloads.load()},
              {"digest", m_Hooks.m_Digest(Current.m_Text)},
              {"cause", Current.m_IsRequested ? "signal" : "file"},
              {"applied", join(Decision.m_Applied)},
              {"restart_needed", Decision.m_RestartNeeded.size()}});
    if (!Decision.m_RestartNeeded.empty())
      logEvent(LogLevel::Warning, "settings.restart_needed",
               {{"settings", join(Decision.m_RestartNeeded)}});
  }

  void reportProblems(Context &Current) {
    const std::vector<SettingProblem> &Problems = Current.m_Decision.m_Problems;
    std::size_t Logged = std::min(Problems.size(), MaxLoggedProblems);
    for (std::size_t I = 0; I < Logged; ++I)
      logEvent(LogLevel::Error, "settings.rejected",
               {{"file", m_File.path()},
                {"line", Problems[I].m_Line},
                {"code", static_cast<int>(Problems[I].m_Code)},
                {"detail", Problems[I].m_Detail},
                {"problems", Problems.size()}});
    m_Metrics.count(Metric::SettingsRejected);
    Current.m_IsRequested = false;
    Current.m_WasRejected = true;
  }

  const Hooks m_Hooks;
  const ISettingsFile &m_File;
  ITimerService &m_Timers;
  IMetrics &m_Metrics;
  const Chart m_Chart;
  Context m_Context;
  std::deque<ReloadEvent> m_QueuedEvents;
  std::set<std::string> m_AppliedAtOnce;
  std::vector<Subscription> m_Subscriptions;
  std::atomic<std::uint64_t> m_Reloads = 0;
  std::atomic<std::size_t> m_RestartNeeded = 0;
  TimerId m_CheckTimer = 0;
};

SettingsReload::SettingsReload(const std::string &TextInForce, Hooks NewHooks,
                               const ISettingsFile &File,
                               const IChartSource &Charts,
                               ITimerService &Timers, IMetrics &Metrics)
    : m_Impl(std::make_unique<Impl>(TextInForce, std::move(NewHooks), File,
                                    Charts, Timers, Metrics)) {}
SettingsReload::~SettingsReload() = default;

void SettingsReload::applyAtOnce(const std::vector<std::string> &Names,
                                 std::function<void()> Apply) {
  m_Impl->applyAtOnce(Names, std::move(Apply));
}
void SettingsReload::start() { m_Impl->start(); }
void SettingsReload::requestReload() { m_Impl->requestReload(); }
std::uint64_t SettingsReload::reloads() const { return m_Impl->reloads(); }
std::size_t SettingsReload::restartNeeded() const {
  return m_Impl->restartNeeded();
}

} // namespace cyclamenwalk
