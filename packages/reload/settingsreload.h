#ifndef CYCLAMENWALK_RELOAD_SETTINGSRELOAD_H
#define CYCLAMENWALK_RELOAD_SETTINGSRELOAD_H

#include "core/imetrics.h"
#include "core/itimerservice.h"
#include "reload/isettingsfile.h"
#include "reload/types/settingvalues.h"
#include "statechart/ichartsource.h"

#include <functional>
#include <memory>

namespace cyclamenwalk {

/// Applies changes of the settings file to the running process. Used on the
/// control thread.
class SettingsReload {
public:
  struct Hooks {
    /// Parses and validates the text of the file.
    std::function<ParsedSettings(const std::string &)> m_Parse;
    /// Returns the digest of the text for the log.
    std::function<std::string(const std::string &)> m_Digest;
  };

  /// \p TextInForce is the text with which the process was started.
  SettingsReload(const std::string &TextInForce, Hooks NewHooks,
                 const ISettingsFile &File, const IChartSource &Charts,
                 ITimerService &Timers, IMetrics &Metrics);
  ~SettingsReload();

  /// Calls \p Apply once for each reload that changes any of \p Names, each of
  /// the form "section.key". Settings without such a call need a restart.
  void applyAtOnce(const std::vector<std::string> &Names,
                   std::function<void()> Apply);

  /// Begins to check the file for changes.
  void start();

  /// Reads the file now and reports the result, even if nothing has changed.
  void requestReload();

  /// The number of reloads that were accepted. Callable from any thread.
  std::uint64_t reloads() const;

  /// The number of settings in the file that differ from those in force.
  /// Callable from any thread.
  std::size_t restartNeeded() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_RELOAD_SETTINGSRELOAD_H
