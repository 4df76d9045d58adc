#include "process/filereload.h"

#include "configuration/configurationmodule.h"
#include "settings/inidocument.h"

namespace cyclamenwalk {

ParsedSettings parseSettings(const SettingsSource &Source,
                             const std::function<void()> &Read) {
  ParsedSettings Parsed;
  try {
    Read();
    Parsed.m_Values = listValues(parseIni(Source.m_Text, Source.m_Path));
  } catch (const SettingsError &Caught) {
    for (const Problem &Issue : Caught.problems())
      Parsed.m_Problems.push_back({Issue.m_Line, Issue.m_Code, Issue.m_Detail});
  }
  return Parsed;
}

SettingsReload::Hooks
makeReloadHooks(std::function<ParsedSettings(const std::string &)> Parse) {
  return {std::move(Parse), digestOf};
}

void addReloadGauges(MetricsRegistry &Metrics, const SettingsReload &Reload) {
  Metrics.addGauge("settings_reload", "Number of the last accepted reload.",
                   [&Reload] { return static_cast<double>(Reload.reloads()); });
  Metrics.addGauge(
      "settings_restart_needed",
      "Settings whose values in the file take effect after a restart.",
      [&Reload] { return static_cast<double>(Reload.restartNeeded()); });
}

} // namespace cyclamenwalk
