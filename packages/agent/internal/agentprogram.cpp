#include "agent/agentprogram.h"

#include "agent/internal/backendcodec.h"
#include "agent/internal/httpexecutor.h"
#include "configuration/configurationmodule.h"
#include "configuration/configurationrelay.h"
#include "core/controlloop.h"
#include "core/error.h"
#include "core/log.h"
#include "http/httpserver.h"
#include "http/multiplexhttp.h"
#include "membership/membershipmodule.h"
#include "metrics/metricsregistry.h"
#include "process/chartlocation.h"
#include "process/filereload.h"
#include "process/processlifecycle.h"
#include "process/processlistener.h"
#include "process/signalwatch.h"
#include "rowcodec/rowcodecs.h"
#include "settings/desiredstatereader.h"
#include "slot/slotmodule.h"
#include "statechart/chartfolder.h"
#include "store/storemodule.h"
#include "transport/transportmodule.h"

#include <set>

namespace cyclamenwalk {

namespace {

constexpr Duration ConnectTimeout = seconds(1);
constexpr Duration HttpStopTimeout = seconds(2);
constexpr int HttpOk = 200;
constexpr int HttpBadRequest = 400;
constexpr int HttpUnavailable = 503;

DesiredState parseConfiguration(const std::string &Text) {
  return readDesiredState(Text, "configuration");
}

HttpResponse jsonResponse(int Status, const std::string &Name,
                          const std::string &Value) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = encodeTextMember(Name, Value);
  return Response;
}

} // namespace

class AgentProgram::Impl {
public:
  Impl(const AgentSettings &Settings, const StoreFactory &MakeStore)
      : m_Settings(Settings), m_Process(Settings.m_Process),
        m_Self(makeIdentity()), m_Charts(chartLocation(m_Process.m_Charts)),
        m_Metrics(m_Process.m_Name, m_Process.m_FailureDomain),
        m_Reload(m_Process.m_Source, parseAgentSettings, m_Charts, m_Loop,
                 m_Metrics),
        m_Store(makeStore(
            {m_Process.m_PlatformAddress, m_Process.m_PlatformTimeout},
            MakeStore, m_Loop, m_Loop, m_Metrics)),
        m_TaskClient({Settings.m_ExecutorThreads, ConnectTimeout}, m_Loop),
        m_ControlClient(MultiplexSettings{}, m_Loop),
        m_Transport(
            {m_Process.m_MessageListenAddress, m_Process.m_MessageLimit},
            m_Loop, m_Metrics),
        m_Links(makeLinks(m_Self, LinkSettings{}, m_Charts,
                          m_Transport.transport(), m_Loop, m_Metrics)),
        m_Configuration(makeConfigurationStore(parseConfiguration, m_Charts)),
        m_Relay(*m_Configuration, *m_Links),
        m_Executor(m_TaskClient, m_ControlClient),
        m_Slots(makeSlotService(SlotSettings{}, chooseByDemand, m_Charts,
                                *m_Links, m_Executor, m_Loop, m_Metrics)),
        m_Selection(makeEntrySelection(
            {m_Process.m_Name, Settings.m_Entries, Settings.m_Links},
            {[this] { lookUpEntries(); }, nullptr, selectAllEntries}, *m_Links,
            m_Loop)),
        m_Lifecycle(lifecycleHooks(), m_Process.m_DrainLimit, m_Charts, m_Loop),
        m_Http(makeProcessListener(m_Process, m_Metrics)) {
    setLinkHooks();
    addHttpRoutes();
    subscribeToSettings();
  }

  void run() {
    m_Charts.preload();
    m_Loop.tryPost([this] { start(); });
    m_Loop.tryPost([this] { m_Reload.start(); });
    m_Signals.start(
        [this] { m_Loop.post([this] { m_Lifecycle.drain(); }); },
        [this] { m_Loop.post([this] { m_Reload.requestReload(); }); });
    m_Loop.run();
    m_Signals.stop();
    m_Http.stop(HttpStopTimeout);
    m_Transport.stop();
    logEvent(LogLevel::Info, "process.ended");
  }

private:
  ProcessIdentity makeIdentity() const {
    return {m_Process.m_Name, generateIncarnation(),
            m_Process.m_MessageListenAddress, m_Process.m_FailureDomain,
            Role::Agent};
  }

  ProcessLifecycle::Hooks lifecycleHooks() {
    return {[this] { m_Slots->drain(); },
            [this] { return m_Slots->running() == 0 && m_Links->isFlushed(); },
            [this] {
              for (Incarnation Entry : std::set<Incarnation>(m_Entries))
                m_Links->disconnect(Entry);
            },
            [this] { m_Loop.stop(); }};
  }

  void subscribeToSettings() {
    m_Reload.applyAtOnce({"process.log_level"}, [](const AgentSettings &New) {
      setLogLevel(New.m_Process.m_LogLevel);
    });
    m_Reload.applyAtOnce({"drain.limit"}, [this](const AgentSettings &New) {
      m_Lifecycle.setDrainLimit(New.m_Process.m_DrainLimit);
    });
    m_Reload.applyAtOnce({"entries.addresses"},
                         [this](const AgentSettings &New) {
                           m_Selection->setSeeds(New.m_Entries);
                         });
  }

  void setLinkHooks() {
    m_Links->setHooks(
        {[this](const Peer &Entry) { handleEntryUp(Entry); },
         [this](Incarnation Entry, Message &Body) { receive(Entry, Body); },
         [this](const Peer &Entry) { handleEntryDown(Entry); },
         [](const std::string &Address) {
           logEvent(LogLevel::Info, "entry.unreachable",
                    {{"address", Address}});
         }});
    m_Configuration->subscribe([this] { applyLimits(); });
  }

  void addHttpRoutes() {
    m_Http.route("POST", "/v1/announce", [this](const HttpRequest &Request) {
      return announce(Request);
    });
    m_Http.route("POST", "/v1/leave", [this](const HttpRequest &) {
      m_Loop.post([this] { m_Slots->drain(); });
      return jsonResponse(HttpOk, "state", "leaving");
    });
    m_Http.route("POST", "/v1/drain", [this](const HttpRequest &) {
      m_Loop.post([this] {
        if (m_Lifecycle.isServing())
          m_Lifecycle.drain();
      });
      return jsonResponse(HttpOk, "state", "draining");
    });
    m_Http.route("GET", "/healthz", [](const HttpRequest &) {
      return jsonResponse(HttpOk, "state", "ok");
    });
    m_Http.route("GET", "/readyz", [this](const HttpRequest &) {
      int Status = m_Lifecycle.isServing() ? HttpOk : HttpUnavailable;
      return jsonResponse(Status, "state", m_Lifecycle.stateName());
    });
    m_Http.route("GET", "/metrics", [this](const HttpRequest &) {
      HttpResponse Response;
      Response.m_ContentType = "text/plain; version=0.0.4";
      Response.m_Body = m_Metrics.render();
      return Response;
    });
    m_Http.onBodyTooLarge([this](const HttpRequest &) {
      return jsonResponse(describe(ResultCode::BodyTooLarge).m_HttpStatus,
                          "error",
                          "the body exceeds " +
                              std::to_string(m_Process.m_BodyLimit) + " bytes");
    });
    m_Http.onNotFound([](const HttpRequest &Request) {
      return jsonResponse(describe(ResultCode::NotFound).m_HttpStatus, "error",
                          "no such resource: " + Request.m_Url);
    });
  }

  void start() {
    m_Selection->start();
    m_Http.start();
    m_Lifecycle.ready();
    logEvent(LogLevel::Info, "agent.started",
             {{"incarnation", toString(m_Self.m_Incarnation)},
              {"http", m_Process.m_HttpListen},
              {"messages", m_Process.m_MessageListenAddress}});
  }

  /// Handles the announcement of the backend server, which repeats it as a
  /// heartbeat.
  HttpResponse announce(const HttpRequest &Request) {
    try {
      BackendOffer Offer = decodeOffer(Request.m_Body);
      m_Loop.post([this, Offer] {
        bool IsServiceChanged = m_Service != Offer.m_Service;
        m_Service = Offer.m_Service;
        if (IsServiceChanged)
          applyLimits();
        // While it drains, the agent takes no new work for the backend server.
        if (m_Lifecycle.isServing())
          m_Slots->announce(Offer);
      });
      return jsonResponse(HttpOk, "state", m_Lifecycle.stateName());
    } catch (const Error &Caught) {
      logEvent(LogLevel::Warning, "announcement.refused",
               {{"code", static_cast<int>(Caught.code())},
                {"detail", Caught.what()}});
      return jsonResponse(HttpBadRequest, "error", Caught.what());
    }
  }

  void applyLimits() {
    if (m_Configuration->version() == 0)
      return;
    const auto &Services = m_Configuration->state().m_Services;
    auto It = Services.find(m_Service);
    SlotLimits Limits;
    Limits.m_IsServiceConfigured = It != Services.end();
    if (Limits.m_IsServiceConfigured) {
      Limits.m_Slots = It->second.m_Slots;
      Limits.m_Connections = It->second.m_Connections;
      Limits.m_LongSharePercent = It->second.m_LongSharePercent;
      Limits.m_LongThreshold = It->second.m_LongThreshold;
    }
    m_Slots->setLimits(Limits);
  }

  void handleEntryUp(const Peer &Entry) {
    logEvent(LogLevel::Info, "entry.up",
             {{"entry", Entry.m_Name},
              {"incarnation", toString(Entry.m_Incarnation)}});
    m_Entries.insert(Entry.m_Incarnation);
    m_Selection->linkUp(Entry);
    m_Relay.peerUp(Entry.m_Incarnation);
    m_Slots->entryUp(Entry);
  }

  void handleEntryDown(const Peer &Entry) {
    logEvent(LogLevel::Info, "entry.down",
             {{"entry", Entry.m_Name},
              {"incarnation", toString(Entry.m_Incarnation)}});
    m_Entries.erase(Entry.m_Incarnation);
    m_Selection->linkDown(Entry);
    m_Relay.peerDown(Entry.m_Incarnation);
    m_Slots->entryDown(Entry);
  }

  void receive(Incarnation Entry, Message &Body) {
    if (auto *List = std::get_if<EntryList>(&Body))
      m_Selection->setEntries(std::move(List->m_Entries));
    else if (!m_Relay.receive(Entry, Body))
      m_Slots->receive(Entry, Body);
  }

  void lookUpEntries() {
    if (m_Process.m_PlatformAddress.empty())
      return;
    m_Store->scan("entries", "", [this](const ScanResult &Result) {
      auto Entries = decodeEntryRows(Result);
      if (!Entries.empty())
        m_Selection->setEntries(std::move(Entries));
    });
  }

  // First, as it blocks signals before any thread is created.
  SignalWatch m_Signals;
  const AgentSettings m_Settings;
  const ProcessSettings &m_Process;
  const ProcessIdentity m_Self;
  const ChartFolder m_Charts;
  ControlLoop m_Loop;
  MetricsRegistry m_Metrics;
  FileReload<AgentSettings> m_Reload;
  const std::unique_ptr<IStore> m_Store;
  MultiplexHttp m_TaskClient;
  MultiplexHttp m_ControlClient;
  TransportModule m_Transport;
  std::unique_ptr<ILinks> m_Links;
  std::unique_ptr<IConfigurationStore> m_Configuration;
  ConfigurationRelay m_Relay;
  HttpExecutor m_Executor;
  std::unique_ptr<ISlotService> m_Slots;
  std::unique_ptr<IEntrySelection> m_Selection;
  ProcessLifecycle m_Lifecycle;
  HttpServer m_Http;
  std::set<Incarnation> m_Entries;
  std::string m_Service;
};

AgentProgram::AgentProgram(const AgentSettings &Settings,
                           const StoreFactory &MakeStore)
    : m_Impl(std::make_unique<Impl>(Settings, MakeStore)) {}
AgentProgram::~AgentProgram() = default;

void AgentProgram::run() { m_Impl->run(); }

} // namespace cyclamenwalk
