#ifndef CYCLAMENWALK_JOB_TESTS_MOCKS_CONFIGURATIONFAKE_H
#define CYCLAMENWALK_JOB_TESTS_MOCKS_CONFIGURATIONFAKE_H

#include "configuration/iconfigurationstore.h"

#include <vector>

namespace cyclamenwalk {

/// A configuration that a test sets directly.
class ConfigurationFake final : public IConfigurationStore {
public:
  bool activateIfNewer(std::uint64_t, const std::string &) override {
    return false;
  }
  std::uint64_t version() const override { return m_Version; }
  const DesiredState &state() const override { return m_State; }
  const std::string &text() const override { return m_Text; }
  void subscribe(ChangeHook Hook) override {
    m_Subscribers.push_back(std::move(Hook));
  }

  std::uint64_t m_Version = 1;
  DesiredState m_State;
  std::string m_Text;
  std::vector<ChangeHook> m_Subscribers;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_TESTS_MOCKS_CONFIGURATIONFAKE_H
