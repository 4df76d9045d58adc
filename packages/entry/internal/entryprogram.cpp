#include "entry/entryprogram.h"

#include "configuration/configurationmodule.h"
#include "configuration/configurationrelay.h"
#include "core/controlloop.h"
#include "core/log.h"
#include "entry/internal/callerapi.h"
#include "entry/internal/jsoncodec.h"
#include "entry/internal/operatorapi.h"
#include "entry/internal/peersync.h"
#include "entry/internal/policychoice.h"
#include "http/multiplexhttp.h"
#include "job/jobmodule.h"
#include "membership/membershipmodule.h"
#include "process/chartlocation.h"
#include "process/filereload.h"
#include "process/processlistener.h"
#include "process/signalwatch.h"
#include "request/requestmodule.h"
#include "rowcodec/rowcodecs.h"
#include "settings/desiredstatereader.h"
#include "statechart/chartfolder.h"
#include "store/storemodule.h"
#include "transport/transportmodule.h"

#include <set>

namespace cyclamenwalk {

namespace {

/// Longer than the 300 s for which the owner waits, see fetchFromOwner().
constexpr Duration FetchTimeout = seconds(305);
constexpr Duration HttpStopTimeout = seconds(5);

DesiredState parseConfiguration(const std::string &Text) {
  return readDesiredState(Text, "configuration");
}

} // namespace

class EntryProgram::Impl {
public:
  Impl(const EntrySettings &Settings, const StoreFactory &MakeStore)
      : m_Settings(Settings), m_Process(Settings.m_Process),
        m_Self(makeEntryAddress()), m_Charts(chartLocation(m_Process.m_Charts)),
        m_Metrics(m_Process.m_Name, m_Process.m_FailureDomain),
        m_Reload(m_Process.m_Source, parseEntrySettings, m_Charts, m_Loop,
                 m_Metrics),
        m_Store(makeStore(
            {m_Process.m_PlatformAddress, m_Process.m_PlatformTimeout},
            MakeStore, m_Loop, m_Loop, m_Metrics)),
        m_Client(MultiplexSettings{}, m_Loop),
        m_Transport(
            {m_Process.m_MessageListenAddress, m_Process.m_MessageLimit},
            m_Loop, m_Metrics),
        m_Links(makeLinks(makeIdentity(), LinkSettings{}, m_Charts,
                          m_Transport.transport(), m_Loop, m_Metrics)),
        m_Registry(makeEntryRegistry(m_Self, RegistrySettings{},
                                     entryRowCodec(), m_Charts, *m_Store,
                                     m_Loop)),
        m_Configuration(makeConfigurationStore(parseConfiguration, m_Charts)),
        m_Relay(*m_Configuration, *m_Links),
        m_Apply(makeApplyService(parseConfiguration, configurationRecordCodec(),
                                 *m_Configuration, m_Charts, *m_Store, *m_Store,
                                 m_Loop)),
        m_Jobs(makeJobs()), m_Requests(makeRequests()),
        m_Lifecycle(lifecycleHooks(), m_Process.m_DrainLimit, m_Charts, m_Loop),
        m_PeerSync({Settings.m_Peers, Settings.m_OperatorToken}, m_Self,
                   m_Client, *m_Registry, *m_Configuration, m_Loop),
        m_Context{m_Self,      Settings.m_OperatorToken,
                  m_Loop,      m_Loop,
                  *m_Jobs,     *m_Requests,
                  *m_Registry, *m_Configuration,
                  *m_Apply,    *m_Store,
                  m_Lifecycle, m_Metrics},
        m_CallerApi(m_Context), m_OperatorApi(m_Context),
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
  EntryAddress makeEntryAddress() const {
    return {m_Process.m_Name, generateIncarnation(),
            m_Process.m_MessageListenAddress, m_Process.m_HttpListen,
            m_Process.m_FailureDomain};
  }

  ProcessIdentity makeIdentity() const {
    return {m_Self.m_Name, m_Self.m_Incarnation, m_Self.m_Address,
            m_Self.m_FailureDomain, Role::Entry};
  }

  std::unique_ptr<IJobService> makeJobs() {
    JobSettings Settings;
    Settings.m_MaxJobs = m_Settings.m_MaxJobs;
    Settings.m_AnswerLifetime = m_Settings.m_AnswerLifetime;
    Settings.m_MaxAnswerBytes = m_Settings.m_AnswerMemory;
    return makeJobService(
        m_Self.m_Incarnation, Settings, choosePolicies(m_Settings),
        [this] { return computeShare(); },
        {m_Charts, *m_Links, *m_Configuration, m_Loop, m_Metrics});
  }

  std::unique_ptr<IRequestService> makeRequests() {
    return makeRequestService(m_Self.m_Incarnation, RequestSettings{},
                              claimRowCodec(),
                              [this](JobId Id, const JobCallback &Callback) {
                                fetchFromOwner(Id, Callback);
                              },
                              {m_Charts, *m_Jobs, *m_Store, m_Loop});
  }

  ProcessLifecycle::Hooks lifecycleHooks() {
    return {[this] { m_Http.closeConnectionsAfterResponse(); },
            [this] {
              // A request that is in flight may not have created its job yet.
              return m_Http.running() == 0 && m_Jobs->running() == 0 &&
                     m_Links->isFlushed();
            },
            [this] { leave(); }, [this] { m_Loop.stop(); }};
  }

  /// The lease row is deleted only here, so that other entries can fetch jobs
  /// during a drain.
  void leave() {
    m_Registry->leave();
    for (Incarnation Agent : std::set<Incarnation>(m_Agents)) {
      m_Links->send(Agent, EntryList{m_Registry->members()});
      m_Links->disconnect(Agent);
    }
  }

  void subscribeToSettings() {
    m_Reload.applyAtOnce({"process.log_level"}, [](const EntrySettings &New) {
      setLogLevel(New.m_Process.m_LogLevel);
    });
    m_Reload.applyAtOnce({"drain.limit"}, [this](const EntrySettings &New) {
      m_Lifecycle.setDrainLimit(New.m_Process.m_DrainLimit);
    });
  }

  void setLinkHooks() {
    m_Links->setHooks({[this](const Peer &Agent) { handleAgentUp(Agent); },
                       [this](Incarnation Agent, Message &Body) {
                         if (!m_Relay.receive(Agent, Body))
                           m_Jobs->receive(Agent, Body);
                       },
                       [this](const Peer &Agent) { handleAgentDown(Agent); },
                       [](const std::string &) {}});
    m_Configuration->subscribe([this] { m_Jobs->reconfigure(); });
  }

  void addHttpRoutes() {
    m_CallerApi.addRoutes(m_Http);
    m_OperatorApi.addRoutes(m_Http);
    m_Http.onBodyTooLarge([this](const HttpRequest &) {
      return encodeProblem(ResultCode::BodyTooLarge,
                           "the body exceeds " +
                               std::to_string(m_Process.m_BodyLimit) +
                               " bytes");
    });
    m_Http.onNotFound([](const HttpRequest &Request) {
      return encodeProblem(ResultCode::NotFound,
                           "no such resource: " + Request.m_Url);
    });
  }

  void start() {
    m_Watch = std::make_unique<ConfigurationWatch>(
        m_Settings.m_ConfigurationPollPeriod, configurationRecordCodec(),
        *m_Configuration, *m_Store, *m_Store, m_Loop);
    m_Registry->start([this](const std::vector<EntryAddress> &) {
      m_Jobs->reconfigure();
      sendEntryList();
    });
    m_PeerSync.start();
    m_Http.start();
    m_Lifecycle.ready();
    logEvent(LogLevel::Info, "entry.started",
             {{"incarnation", toString(m_Self.m_Incarnation)},
              {"http", m_Self.m_HttpAddress},
              {"messages", m_Self.m_Address}});
  }

  void handleAgentUp(const Peer &Agent) {
    logEvent(LogLevel::Info, "agent.up",
             {{"agent", Agent.m_Name},
              {"incarnation", toString(Agent.m_Incarnation)}});
    m_Agents.insert(Agent.m_Incarnation);
    m_Jobs->agentUp(Agent);
    m_Relay.peerUp(Agent.m_Incarnation);
    m_Links->send(Agent.m_Incarnation, EntryList{m_Registry->members()});
  }

  void handleAgentDown(const Peer &Agent) {
    logEvent(LogLevel::Info, "agent.down",
             {{"agent", Agent.m_Name},
              {"incarnation", toString(Agent.m_Incarnation)}});
    m_Agents.erase(Agent.m_Incarnation);
    m_Relay.peerDown(Agent.m_Incarnation);
    m_Jobs->agentDown(Agent);
  }

  void sendEntryList() {
    for (Incarnation Agent : m_Agents)
      m_Links->send(Agent, EntryList{m_Registry->members()});
  }

  EntryShare computeShare() const {
    auto Members = m_Registry->members();
    EntryShare Share;
    Share.m_Entries = Members.size();
    for (std::size_t I = 0; I < Members.size(); ++I)
      if (Members[I].m_Incarnation == m_Self.m_Incarnation)
        Share.m_Rank = I;
    return Share;
  }

  void fetchFromOwner(JobId Id, const JobCallback &Callback) {
    for (const EntryAddress &Member : m_Registry->members()) {
      if (Member.m_Incarnation != Id.m_Entry)
        continue;
      HttpRequest Request;
      Request.m_Url = "http://" + Member.m_HttpAddress + "/v1/jobs/" +
                      toString(Id) + "?wait_ms=300000";
      m_Client.send(Request, FetchTimeout,
                    [Id, Callback](const HttpResponse &Response) {
                      Callback(decodeAnswer(Id, Response));
                    });
      return;
    }
    Callback(decodeAnswer(Id, HttpResponse{}));
  }

  // First, as it blocks signals before any thread is created.
  SignalWatch m_Signals;
  const EntrySettings m_Settings;
  const ProcessSettings &m_Process;
  const EntryAddress m_Self;
  const ChartFolder m_Charts;
  ControlLoop m_Loop;
  MetricsRegistry m_Metrics;
  FileReload<EntrySettings> m_Reload;
  const std::unique_ptr<IStore> m_Store;
  MultiplexHttp m_Client;
  TransportModule m_Transport;
  std::unique_ptr<ILinks> m_Links;
  std::unique_ptr<IEntryRegistry> m_Registry;
  std::unique_ptr<IConfigurationStore> m_Configuration;
  ConfigurationRelay m_Relay;
  std::unique_ptr<IApplyService> m_Apply;
  std::unique_ptr<IJobService> m_Jobs;
  std::unique_ptr<IRequestService> m_Requests;
  ProcessLifecycle m_Lifecycle;
  PeerSync m_PeerSync;
  EntryContext m_Context;
  CallerApi m_CallerApi;
  OperatorApi m_OperatorApi;
  HttpServer m_Http;
  std::unique_ptr<ConfigurationWatch> m_Watch;
  std::set<Incarnation> m_Agents;
};

EntryProgram::EntryProgram(const EntrySettings &Settings,
                           const StoreFactory &MakeStore)
    : m_Impl(std::make_unique<Impl>(Settings, MakeStore)) {}
EntryProgram::~EntryProgram() = default;

void EntryProgram::run() { m_Impl->run(); }

} // namespace cyclamenwalk
