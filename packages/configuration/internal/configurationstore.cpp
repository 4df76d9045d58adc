#include "configuration/internal/configurationstore.h"

#include "core/error.h"
#include "core/log.h"

namespace cyclamenwalk {

ConfigurationStore::ConfigurationStore(ConfigurationParser Parse,
                                       const IChartSource &Charts)
    : m_Parse(std::move(Parse)), m_Chart(bindChart(Charts)) {}

ConfigurationStore::Chart
ConfigurationStore::bindChart(const IChartSource &Charts) {
  auto IsNewer = [](const ConfigurationContext &Context) {
    return Context.m_ReceivedVersion > Context.m_Version;
  };
  return Chart(
      Charts.chart("configuration"), {{"isNewer", IsNewer}},
      {{"putInForce", [this](ConfigurationContext &) { putInForce(); }}});
}

bool ConfigurationStore::activateIfNewer(std::uint64_t Version,
                                         const std::string &Text) {
  m_Context.m_ReceivedVersion = Version;
  m_Context.m_ReceivedText = Text;
  try {
    return m_Chart.fire(m_Context, ConfigurationEvent::Offered);
  } catch (const Error &Caught) {
    logEvent(LogLevel::Error, "configuration.invalid",
             {{"version", Version},
              {"code", static_cast<int>(Caught.code())},
              {"detail", Caught.what()}});
    return false;
  }
}

void ConfigurationStore::putInForce() {
  m_Context.m_Desired = m_Parse(m_Context.m_ReceivedText);
  m_Context.m_Version = m_Context.m_ReceivedVersion;
  m_Context.m_Text = std::move(m_Context.m_ReceivedText);
  logEvent(LogLevel::Info, "configuration.in_force",
           {{"version", m_Context.m_Version}});
  for (const ChangeHook &Hook : m_Subscribers)
    Hook();
}

std::uint64_t ConfigurationStore::version() const {
  return m_Context.m_Version;
}

const DesiredState &ConfigurationStore::state() const {
  return m_Context.m_Desired;
}

const std::string &ConfigurationStore::text() const { return m_Context.m_Text; }

void ConfigurationStore::subscribe(ChangeHook Hook) {
  m_Subscribers.push_back(std::move(Hook));
}

} // namespace cyclamenwalk
