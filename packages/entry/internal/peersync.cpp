#include "entry/internal/peersync.h"

#include "rowcodec/rowcodecs.h"

#include <nlohmann/json.hpp>
#include <set>

namespace cyclamenwalk {

namespace {

constexpr Duration AskTimeout = seconds(2);
constexpr int HttpOk = 200;

} // namespace

PeerSync::PeerSync(Settings Wanted, EntryAddress Own, IHttpClient &Client,
                   IEntryRegistry &Registry, IConfigurationStore &Store,
                   ITimerService &Timers)
    : m_Settings(std::move(Wanted)), m_Own(std::move(Own)), m_Client(Client),
      m_Registry(Registry), m_Store(Store), m_Timers(Timers) {}

PeerSync::~PeerSync() { m_Timers.cancel(m_Timer); }

void PeerSync::start() {
  m_Timer = m_Timers.subscribeEvery(m_Settings.m_Period, [this] { check(); });
}

void PeerSync::check() {
  if (m_Registry.isStoreAvailable())
    return;
  std::set<std::string> Addresses(m_Settings.m_Peers.begin(),
                                  m_Settings.m_Peers.end());
  for (const EntryAddress &Known : m_Registry.members())
    Addresses.insert(Known.m_HttpAddress);
  Addresses.erase(m_Own.m_HttpAddress);
  for (const std::string &Address : Addresses)
    askPeer(Address);
}

void PeerSync::askPeer(const std::string &Address) {
  HttpRequest Request;
  Request.m_Method = "POST";
  Request.m_Url = "http://" + Address + "/v1/peers";
  Request.m_Body = encodeEntries({m_Own});
  if (!m_Settings.m_Token.empty())
    Request.m_Headers["Authorization"] = "Bearer " + m_Settings.m_Token;
  std::weak_ptr<bool> Alive = m_Alive;
  m_Client.send(std::move(Request), AskTimeout,
                [this, Alive](const HttpResponse &Response) {
                  if (!Alive.expired() && Response.m_Status == HttpOk)
                    receive(Response);
                });
}

void PeerSync::receive(const HttpResponse &Response) {
  m_Registry.learn(decodeEntries(Response.m_Body));
  auto Body = nlohmann::json::parse(Response.m_Body, nullptr, false);
  bool HasText =
      Body.is_object() && Body.contains("version") && Body.contains("text") &&
      Body["version"].is_number_unsigned() && Body["text"].is_string();
  if (HasText)
    m_Store.offer(Body["version"], Body["text"]);
}

} // namespace cyclamenwalk
