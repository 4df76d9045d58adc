#ifndef CYCLAMENWALK_CONFIGURATION_INTERNAL_CONFIGURATIONSTORE_H
#define CYCLAMENWALK_CONFIGURATION_INTERNAL_CONFIGURATIONSTORE_H

#include "configuration/configurationmodule.h"
#include "statechart/boundchart.h"

#include <vector>

namespace cyclamenwalk {

enum class ConfigurationState { Empty, InForce };
enum class ConfigurationEvent { Offered };

template <> struct ChartNames<ConfigurationState> {
  static constexpr std::array<std::string_view, 2> Values{"empty", "inForce"};
};
template <> struct ChartNames<ConfigurationEvent> {
  static constexpr std::array<std::string_view, 1> Values{"offered"};
};

/// The configuration in force and the one that was received last.
struct ConfigurationContext {
  ConfigurationState m_State = ConfigurationState::Empty;
  std::uint64_t m_Version = 0;
  std::string m_Text;
  DesiredState m_Desired;
  std::uint64_t m_ReceivedVersion = 0;
  std::string m_ReceivedText;
};

/// Parses received configurations and puts newer versions in force.
class ConfigurationStore final : public IConfigurationStore {
public:
  ConfigurationStore(ConfigurationParser Parse, const IChartSource &Charts);

  bool activateIfNewer(std::uint64_t Version, const std::string &Text) override;
  std::uint64_t version() const override;
  const DesiredState &state() const override;
  const std::string &text() const override;
  void subscribe(ChangeHook Hook) override;

private:
  using Chart =
      BoundChart<ConfigurationContext, ConfigurationState, ConfigurationEvent>;

  Chart bindChart(const IChartSource &Charts);
  void putInForce();

  const ConfigurationParser m_Parse;
  const Chart m_Chart;
  ConfigurationContext m_Context;
  std::vector<ChangeHook> m_Subscribers;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CONFIGURATION_INTERNAL_CONFIGURATIONSTORE_H
