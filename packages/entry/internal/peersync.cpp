#include "entry/internal/peersync.h"

#include "rowcodec/rowcodecs.h"

#include <nlohmann/json.hpp>
#include <set>

namespace cyclamenwalk {

namespace {

constexpr Duration RequestTimeout = seconds(2);
constexpr int HttpOk = 200;

} // namespace

PeerSync::PeerSync(Settings NewSettings, EntryAddress Self, IHttpClient &Client,
                   IEntryRegistry &Registry, IConfigurationStore &Store,
                   ITimerService &Timers)
    : m_Settings(std::move(NewSettings)), m_Self(std::move(Self)),
      m_Client(Client), m_Registry(Registry), m_Store(Store), m_Timers(Timers) {
}

PeerSync::~PeerSync() { m_Timers.cancel(m_Timer); }

void PeerSync::start() {
  m_Timer = m_Timers.subscribeEvery(m_Settings.m_Period, [this] { check(); });
}

void PeerSync::check() {
  if (m_Registry.isStoreAvailable())
    return;
  std::set<std::string> Addresses(m_Settings.m_Peers.begin(),
                                  m_Settings.m_Peers.end());
  for (const EntryAddress &Member : m_Registry.members())
    Addresses.insert(Member.m_HttpAddress);
  Addresses.erase(m_Self.m_HttpAddress);
  for (const std::string &Address : Addresses)
    sendRequest(Address);
}

void PeerSync::sendRequest(const std::string &Address) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + Address + "/v1/peers";
  Request.m_Body = encodeEntries({m_Self});
  if (!m_Settings.m_Token.empty())
    Request.m_Headers["Authorization"] = "Bearer " + m_Settings.m_Token;
  std::weak_ptr<bool> Alive = m_Alive;
  m_Client.send(std::move(Request), RequestTimeout,
                [this, Alive](const HttpResponse &Response) {
                  if (!Alive.expired() && Response.m_Status == HttpOk)
                    receive(Response);
                });
}

void PeerSync::receive(const HttpResponse &Response) {
  m_Registry.mergeMembers(decodeEntries(Response.m_Body));
  auto Body = nlohmann::json::parse(Response.m_Body, nullptr, false);
  bool HasConfiguration =
      Body.is_object() && Body.contains("version") && Body.contains("text") &&
      Body["version"].is_number_unsigned() && Body["text"].is_string();
  if (HasConfiguration)
    m_Store.activateIfNewer(Body["version"], Body["text"]);
}

} // namespace cyclamenwalk
