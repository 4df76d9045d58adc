#ifndef CYCLAMENWALK_ENTRY_INTERNAL_PEERSYNC_H
#define CYCLAMENWALK_ENTRY_INTERNAL_PEERSYNC_H

#include "configuration/iconfigurationstore.h"
#include "core/itimerservice.h"
#include "http/ihttpclient.h"
#include "membership/ientryregistry.h"

#include <memory>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// Requests the members and the configuration from other entries while the
/// store is unavailable, so that a new process can start without it.
class PeerSync {
public:
  struct Settings {
    /// HTTP addresses from the settings file, used in addition to the members.
    std::vector<std::string> m_Peers;
    std::string m_Token;
    Duration m_Period = seconds(2);
  };

  PeerSync(Settings NewSettings, EntryAddress Self, IHttpClient &Client,
           IEntryRegistry &Registry, IConfigurationStore &Store,
           ITimerService &Timers);
  ~PeerSync();

  void start();

private:
  void check();
  void sendRequest(const std::string &Address);
  void receive(const HttpResponse &Response);

  const Settings m_Settings;
  const EntryAddress m_Self;
  IHttpClient &m_Client;
  IEntryRegistry &m_Registry;
  IConfigurationStore &m_Store;
  ITimerService &m_Timers;
  TimerId m_Timer = 0;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_ENTRY_INTERNAL_PEERSYNC_H
