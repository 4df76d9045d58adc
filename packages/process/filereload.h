#ifndef CYCLAMENWALK_PROCESS_FILERELOAD_H
#define CYCLAMENWALK_PROCESS_FILERELOAD_H

#include "metrics/metricsregistry.h"
#include "process/settingsfile.h"
#include "reload/settingsreload.h"
#include "settings/types/settingssource.h"

namespace cyclamenwalk {

/// Parses the text of an INI file with \p Read, which throws SettingsError.
ParsedSettings parseSettings(const SettingsSource &Source,
                             const std::function<void()> &Read);

/// Hooks that log the digest of a text as the configuration's digests.
SettingsReload::Hooks
makeReloadHooks(std::function<ParsedSettings(const std::string &)> Parse);

/// Adds the gauges of \p Reload, which must outlive the rendering of metrics.
void addReloadGauges(MetricsRegistry &Metrics, const SettingsReload &Reload);

/// Applies changes of the settings file to a running process. \p Settings is
/// the type into which the file is read. Used on the control thread.
template <typename Settings> class FileReload {
public:
  /// Reads the settings from a text; throws SettingsError.
  using Parser = std::function<Settings(const SettingsSource &)>;

  FileReload(const SettingsSource &InForce, Parser Parse,
             const IChartSource &Charts, ITimerService &Timers,
             MetricsRegistry &Metrics)
      : m_File(InForce.m_Path), m_Parse(std::move(Parse)),
        m_Reload(InForce.m_Text,
                 makeReloadHooks([this](const std::string &Text) {
                   return parse({m_File.path(), Text});
                 }),
                 m_File, Charts, Timers, Metrics) {
    addReloadGauges(Metrics, m_Reload);
  }

  /// Calls \p Apply with the settings in the file after each reload that
  /// changes any of \p Names, each of the form "section.key". All other
  /// settings need a restart. A part subscribes before the control loop runs.
  void applyAtOnce(const std::vector<std::string> &Names,
                   std::function<void(const Settings &)> Apply) {
    m_Reload.applyAtOnce(Names,
                         [this, Apply = std::move(Apply)] { Apply(m_Read); });
  }

  /// Begins to check the file for changes.
  void start() { m_Reload.start(); }

  /// Reads the file now, on SIGHUP.
  void requestReload() { m_Reload.requestReload(); }

private:
  ParsedSettings parse(const SettingsSource &Source) {
    return parseSettings(Source, [&] { m_Read = m_Parse(Source); });
  }

  const SettingsFile m_File;
  const Parser m_Parse;
  /// The last valid content of the file.
  Settings m_Read;
  SettingsReload m_Reload;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PROCESS_FILERELOAD_H
