#include "slot/internal/slotservice.h"

#include "core/log.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

constexpr std::uint32_t Percent = 100;

} // namespace

SlotService::SlotService(SlotSettings Settings, EntryChoice ChooseEntry,
                         const IChartSource &Charts, ILinks &Links,
                         IExecutor &Executor, ITimerService &Timers,
                         IMetrics &Metrics)
    : m_Settings(Settings), m_Links(Links), m_Executor(Executor),
      m_Timers(Timers), m_Metrics(Metrics), m_BackendChart(bindBackend(Charts)),
      m_CreditChart(bindCredit(Charts)),
      m_ExecutionChart(bindExecution(Charts)),
      m_Credits(
          Settings, std::move(ChooseEntry),
          [this](IssuedCredit &C) {
            m_CreditChart.fire(C, CreditEvent::Withdraw);
          },
          Links, Timers, Metrics),
      m_TaskHistory(Settings.m_TaskRetention) {
  m_Backend.m_State = m_BackendChart.initial();
}

SlotService::~SlotService() {
  m_Timers.cancel(m_Backend.m_LeaseTimer);
  for (auto &Item : m_Running) {
    m_Timers.cancel(Item.second->m_OverrunTimer);
    m_Timers.cancel(Item.second->m_LostTimer);
  }
}

BackendChart SlotService::bindBackend(const IChartSource &Charts) {
  auto IsSameInstance = [](const Backend &B) {
    return B.m_ReceivedOffer.m_Instance == B.m_Offer.m_Instance;
  };
  return BackendChart(
      Charts.chart("backend"), {{"isSameInstance", IsSameInstance}},
      {{"adoptOffer", [this](Backend &) { adoptOffer(); }},
       {"renewLease", [this](Backend &) { renewLease(); }},
       {"resumeServing", [this](Backend &) { resumeServing(); }},
       {"failRunningTasks", [this](Backend &) { failRunningTasks(); }},
       {"withdrawCredits", [this](Backend &) {
          m_Credits.withdrawAll();
          sendStateToAll();
        }}});
}

CreditChart SlotService::bindCredit(const IChartSource &Charts) {
  auto IsStartRefused = [this](const IssuedCredit &C) {
    return refusalCode(C) != ResultCode::Ok;
  };
  return CreditChart(
      Charts.chart("credit"), {{"isStartRefused", IsStartRefused}},
      {{"refuseStart",
        [this](IssuedCredit &C) {
          refuseStart(C.m_Entry, *C.m_Start, refusalCode(C));
        }},
       {"startTask", [this](IssuedCredit &C) { startTask(C); }}});
}

ExecutionChart SlotService::bindExecution(const IChartSource &Charts) {
  auto CountAsLong = [this](Execution &E) {
    if (!E.m_IsLong)
      ++m_LongRunning;
    E.m_IsLong = true;
  };
  auto ReportLost = [this](Execution &E) {
    E.m_Result = {ResultCode::BackendLost, {}};
    reportResult(E);
  };
  return ExecutionChart(
      Charts.chart("execution"), {},
      {{"countAsLong", CountAsLong},
       {"requestStop",
        [this](Execution &E) { m_Executor.stop(E.m_Address, E.m_Task); }},
       {"reportResult", [this](Execution &E) { reportResult(E); }},
       {"reportUnanswered", [this](Execution &E) { sendResult(E, {}); }},
       {"reportLost", ReportLost},
       {"releaseSlot", [this](Execution &E) { releaseSlot(E); }}});
}

void SlotService::announce(const BackendOffer &Offer) {
  // An announcement that was delayed; no instance comes back.
  if (m_FormerInstances.count(Offer.m_Instance) > 0)
    return;
  m_Backend.m_ReceivedOffer = Offer;
  m_BackendChart.fire(m_Backend, BackendEvent::Announced);
}

void SlotService::drain() {
  logEvent(LogLevel::Info, "backend.leaving",
           {{"service", m_Backend.m_Offer.m_Service}});
  m_BackendChart.fire(m_Backend, BackendEvent::Leave);
}

void SlotService::adoptOffer() {
  // The new instance may belong to another service.
  m_Credits.withdrawAll();
  bool HasEverServed = !m_Backend.m_Offer.m_Service.empty();
  if (HasEverServed &&
      m_Backend.m_Offer.m_Instance != m_Backend.m_ReceivedOffer.m_Instance)
    m_FormerInstances.insert(m_Backend.m_Offer.m_Instance);
  m_Backend.m_Offer = m_Backend.m_ReceivedOffer;
  logEvent(LogLevel::Info, "backend.serving",
           {{"service", m_Backend.m_Offer.m_Service},
            {"address", m_Backend.m_Offer.m_Address},
            {"slots", m_Backend.m_Offer.m_Slots}});
  resumeServing();
}

void SlotService::resumeServing() {
  renewLease();
  sendStateToAll();
  distributeIdleSlots();
}

void SlotService::renewLease() {
  m_Timers.cancel(m_Backend.m_LeaseTimer);
  m_Backend.m_LeaseTimer =
      m_Timers.subscribe(m_Settings.m_BackendLease, [this] {
        logEvent(LogLevel::Warning, "backend.lease_expired",
                 {{"service", m_Backend.m_Offer.m_Service}});
        m_BackendChart.fire(m_Backend, BackendEvent::LeaseExpired);
      });
}

void SlotService::sendState(Incarnation Entry) {
  BackendState State;
  State.m_Service = m_Backend.m_Offer.m_Service;
  State.m_Slots = slots();
  State.m_Cpus = m_Backend.m_Offer.m_Cpus;
  State.m_MemoryBytes = m_Backend.m_Offer.m_MemoryBytes;
  State.m_IsLeaving = !isServing();
  m_Links.send(Entry, std::move(State));
}

void SlotService::sendStateToAll() {
  bool HasEverServed = !m_Backend.m_Offer.m_Service.empty();
  if (!HasEverServed)
    return;
  for (Incarnation Entry : m_Entries)
    sendState(Entry);
}

void SlotService::setLimits(const SlotLimits &Limits) {
  m_Limits = Limits;
  auto UsedSlots =
      static_cast<std::uint32_t>(m_Running.size()) + m_Credits.issuedCount();
  if (UsedSlots > slots())
    m_Credits.withdraw(UsedSlots - slots());
  sendStateToAll();
  distributeIdleSlots();
}

void SlotService::entryUp(const Peer &Entry) {
  m_Entries.push_back(Entry.m_Incarnation);
  m_Credits.addEntry(Entry.m_Incarnation);
  if (!m_Backend.m_Offer.m_Service.empty())
    sendState(Entry.m_Incarnation);
  // Redistributes idle slots so that the new entry gets its share.
  std::uint32_t FairShare =
      m_Credits.issuedCount() / static_cast<std::uint32_t>(m_Entries.size());
  m_Credits.withdraw(FairShare);
  distributeIdleSlots();
}

void SlotService::entryDown(const Peer &Entry) {
  std::erase(m_Entries, Entry.m_Incarnation);
  m_Credits.removeEntry(Entry.m_Incarnation);
  distributeIdleSlots();
}

void SlotService::receive(Incarnation Entry, Message &Body) {
  if (auto *StartBody = std::get_if<Start>(&Body))
    receiveStart(Entry, *StartBody);
  else if (auto *DemandBody = std::get_if<Demand>(&Body))
    receiveDemand(Entry, *DemandBody);
  else if (auto *StopBody = std::get_if<StopJob>(&Body))
    receiveStop(StopBody->m_Job);
}

void SlotService::receiveStart(Incarnation Entry, Start &Body) {
  m_Credits.setDemand(Entry, Body.m_Demand);
  // A repeated start must not be refused: its task has been started.
  if (m_TaskHistory.contains(Body.m_Task))
    return;
  IssuedCredit *HeldCredit = m_Credits.find(Entry, Body.m_Credit);
  if (!HeldCredit) {
    refuseStart(Entry, Body, ResultCode::CreditUnknown);
    return;
  }
  HeldCredit->m_Start = &Body;
  m_CreditChart.fire(*HeldCredit, CreditEvent::Start);
  // The credit is used up even if the start was refused.
  m_Credits.erase(Body.m_Credit);
  distributeIdleSlots();
}

ResultCode SlotService::refusalCode(const IssuedCredit &HeldCredit) const {
  if (!isServing())
    return ResultCode::BackendLeaving;
  if (!m_Limits.m_IsServiceConfigured ||
      HeldCredit.m_Start->m_Service != m_Backend.m_Offer.m_Service)
    return ResultCode::WithdrawnConfiguration;
  bool IsLong = HeldCredit.m_Start->m_IsLong;
  if (IsLong && (!HeldCredit.m_AllowsLongTasks || m_LongRunning >= longSlots()))
    return ResultCode::LongShareFull;
  return ResultCode::Ok;
}

void SlotService::refuseStart(Incarnation Entry, const Start &Refused,
                              ResultCode Code) {
  m_Metrics.count(Metric::StartsRefused);
  m_Links.send(Entry, StartRefused{Refused.m_Task, Refused.m_Credit, Code});
}

void SlotService::startTask(IssuedCredit &HeldCredit) {
  Start &Body = *HeldCredit.m_Start;
  auto Started = std::make_shared<Execution>();
  Started->m_State = m_ExecutionChart.initial();
  Started->m_Task = Body.m_Task;
  Started->m_Credit = HeldCredit.m_Id;
  Started->m_Entry = HeldCredit.m_Entry;
  Started->m_Address = m_Backend.m_Offer.m_Address;
  Started->m_IsLong = Body.m_IsLong;
  Started->m_StartedAt = m_Timers.now();
  if (Started->m_IsLong)
    ++m_LongRunning;
  m_TaskHistory.add(Body.m_Task, m_Timers.now());
  m_Running.emplace(Body.m_Task, Started);
  m_Metrics.count(Metric::StartsExecuted);
  subscribeTimers(Started, Body.m_Remaining);
  executeTask(Started, Body);
}

void SlotService::subscribeTimers(const ExecutionPointer &Started,
                                  Duration Remaining) {
  std::weak_ptr<Execution> Weak = Started;
  auto FireIfAlive = [this, Weak](ExecutionEvent Event) {
    if (auto Alive = Weak.lock())
      fire(Alive, Event);
  };
  Started->m_OverrunTimer =
      m_Timers.subscribe(m_Limits.m_LongThreshold, [FireIfAlive] {
        FireIfAlive(ExecutionEvent::Overrun);
      });
  Started->m_LostTimer =
      m_Timers.subscribe(Remaining + m_Settings.m_DeadlineGrace,
                         [FireIfAlive] { FireIfAlive(ExecutionEvent::Lost); });
}

void SlotService::executeTask(const ExecutionPointer &Started, Start &Body) {
  ExecutionRequest Request{Body.m_Task, std::move(Body.m_Kind),
                           std::move(Body.m_Payload), Body.m_Remaining};
  std::weak_ptr<Execution> Weak = Started;
  m_Executor.execute(Started->m_Address, std::move(Request),
                     [this, Weak](ExecutionResult Result) {
                       auto Alive = Weak.lock();
                       if (!Alive)
                         return;
                       finishTask(Alive, std::move(Result));
                     });
}

void SlotService::finishTask(const ExecutionPointer &Ended,
                             ExecutionResult Result) {
  // A lost contact withdraws all credits; none is issued until the backend
  // server announces itself again.
  if (Result.m_Code == ResultCode::BackendLost)
    m_BackendChart.fire(m_Backend, BackendEvent::ContactLost);
  bool MayRun = Result.m_Code == ResultCode::BackendLost && Result.m_WasSent;
  Ended->m_Result = std::move(Result);
  fire(Ended, MayRun ? ExecutionEvent::Unanswered : ExecutionEvent::Done);
}

void SlotService::fire(const ExecutionPointer &Target, ExecutionEvent Event) {
  m_ExecutionChart.fire(*Target, Event);
}

void SlotService::reportResult(Execution &Ended) {
  ExecutionPointer KeepAlive = removeExecution(Ended);
  sendResult(Ended, distribute(Ended.m_Entry));
}

void SlotService::releaseSlot(Execution &Ended) {
  ExecutionPointer KeepAlive = removeExecution(Ended);
  logEvent(LogLevel::Info, "slot.released",
           {{"task", toString(Ended.m_Task)},
            {"held_ms", toMilliseconds(m_Timers.now() - Ended.m_StartedAt)}});
  distributeIdleSlots();
}

SlotService::ExecutionPointer
SlotService::removeExecution(const Execution &Ended) {
  auto It = m_Running.find(Ended.m_Task);
  ExecutionPointer Removed = It->second;
  m_Running.erase(It);
  if (Ended.m_IsLong)
    --m_LongRunning;
  m_Timers.cancel(Ended.m_OverrunTimer);
  m_Timers.cancel(Ended.m_LostTimer);
  return Removed;
}

void SlotService::sendResult(Execution &Ended, std::vector<Credit> Credits) {
  TaskDone Done;
  Done.m_Task = Ended.m_Task;
  Done.m_Credit = Ended.m_Credit;
  Done.m_Code = Ended.m_Result.m_Code;
  Done.m_Answer = std::move(Ended.m_Result.m_Answer);
  Done.m_RunTime = m_Timers.now() - Ended.m_StartedAt;
  Done.m_Credits = std::move(Credits);
  m_Links.send(Ended.m_Entry, std::move(Done));
}

/// Called when another instance of the backend server has announced itself.
void SlotService::failRunningTasks() {
  auto LostExecutions = m_Running;
  for (auto &Item : LostExecutions)
    fire(Item.second, ExecutionEvent::Lost);
}

void SlotService::receiveDemand(Incarnation Entry, const Demand &StatedDemand) {
  m_Credits.setDemand(Entry, StatedDemand);
  if (m_Credits.reclaimFor(Entry) > 0)
    distributeIdleSlots();
}

void SlotService::receiveStop(JobId Job) {
  std::vector<ExecutionPointer> StoppedExecutions;
  for (const auto &Item : m_Running)
    if (Item.first.m_Job == Job)
      StoppedExecutions.push_back(Item.second);
  for (const ExecutionPointer &Stopped : StoppedExecutions)
    fire(Stopped, ExecutionEvent::Stop);
}

std::uint32_t SlotService::slots() const {
  std::uint32_t OfferedSlots = m_Backend.m_Offer.m_Slots;
  std::uint32_t ConfiguredSlots =
      m_Limits.m_Slots == 0 ? OfferedSlots : m_Limits.m_Slots;
  return std::min({OfferedSlots, ConfiguredSlots, m_Limits.m_Connections});
}

std::uint32_t SlotService::longSlots() const {
  std::uint32_t MaxLongSlots = slots() * m_Limits.m_LongSharePercent / Percent;
  // At least one, so that a service with only long tasks makes progress.
  return std::max<std::uint32_t>(1, MaxLongSlots);
}

std::vector<Credit> SlotService::distribute(Incarnation PreviousHolder) {
  if (!isServing() || !m_Limits.m_IsServiceConfigured)
    return {};
  std::uint32_t UsedSlots =
      static_cast<std::uint32_t>(m_Running.size()) + m_Credits.issuedCount();
  std::uint32_t FreeSlots = slots() - std::min(slots(), UsedSlots);
  std::uint32_t UsedLongSlots = m_LongRunning + m_Credits.issuedLongCount();
  std::uint32_t FreeLongSlots =
      longSlots() - std::min(longSlots(), UsedLongSlots);
  return m_Credits.distribute(FreeSlots, FreeLongSlots, PreviousHolder);
}

void SlotService::distributeIdleSlots() { distribute(Incarnation{}); }

std::size_t SlotService::running() const {
  auto Count =
      std::count_if(m_Running.begin(), m_Running.end(), [](const auto &Item) {
        return Item.second->m_State != ExecutionState::Unconfirmed;
      });
  return static_cast<std::size_t>(Count);
}

std::size_t SlotService::issuedCredits() const {
  return m_Credits.issuedCount();
}

bool SlotService::isServing() const {
  return m_Backend.m_State == BackendPhase::Serving;
}

std::unique_ptr<ISlotService>
makeSlotService(SlotSettings Settings, EntryChoice ChooseEntry,
                const IChartSource &Charts, ILinks &Links, IExecutor &Executor,
                ITimerService &Timers, IMetrics &Metrics) {
  return std::make_unique<SlotService>(Settings, std::move(ChooseEntry), Charts,
                                       Links, Executor, Timers, Metrics);
}

} // namespace cyclamenwalk
