#include "slot/internal/slotservice.h"

#include "core/log.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

constexpr std::uint32_t Percent = 100;

} // namespace

SlotService::SlotService(SlotSettings Settings, EntryChoice Choose,
                         const IChartSource &Charts, ILinks &Links,
                         IExecutor &Executor, ITimerService &Timers,
                         IMetrics &Metrics)
    : m_Settings(Settings), m_Links(Links), m_Executor(Executor),
      m_Timers(Timers), m_Metrics(Metrics), m_BackendChart(bindBackend(Charts)),
      m_CreditChart(bindCredit(Charts)),
      m_ExecutionChart(bindExecution(Charts)),
      m_Credits(
          Settings, std::move(Choose),
          [this](IssuedCredit &C) {
            m_CreditChart.fire(C, CreditEvent::Withdraw);
          },
          Links, Timers, Metrics),
      m_Memory(Settings.m_TaskMemory) {
  m_Backend.m_State = m_BackendChart.initial();
}

SlotService::~SlotService() {
  m_Timers.cancel(m_Backend.m_Lease);
  for (auto &Known : m_Running) {
    m_Timers.cancel(Known.second->m_OverrunTimer);
    m_Timers.cancel(Known.second->m_LostTimer);
  }
}

BackendChart SlotService::bindBackend(const IChartSource &Charts) {
  auto IsSameRun = [](const Backend &B) {
    return B.m_Announced.m_Run == B.m_Offer.m_Run;
  };
  return BackendChart(Charts.chart("backend"), {{"isSameRun", IsSameRun}},
                      {{"open", [this](Backend &) { open(); }},
                       {"renew", [this](Backend &) { renewLease(); }},
                       {"reopen", [this](Backend &) { reopen(); }},
                       {"loseRunning", [this](Backend &) { loseRunning(); }},
                       {"withdrawAll", [this](Backend &) {
                          m_Credits.withdrawAll();
                          sendStateToAll();
                        }}});
}

CreditChart SlotService::bindCredit(const IChartSource &Charts) {
  auto IsRefused = [this](const IssuedCredit &Known) {
    return refusalOf(Known) != ResultCode::Ok;
  };
  return CreditChart(
      Charts.chart("credit"), {{"isRefused", IsRefused}},
      {{"refuse",
        [this](IssuedCredit &C) {
          refuse(C.m_Entry, *C.m_Start, refusalOf(C));
        }},
       {"startTask", [this](IssuedCredit &C) { startTask(C); }}});
}

ExecutionChart SlotService::bindExecution(const IChartSource &Charts) {
  auto ReclassAsLong = [this](Execution &E) {
    if (!E.m_IsLong)
      ++m_LongRunning;
    E.m_IsLong = true;
  };
  auto ReportLost = [this](Execution &E) {
    E.m_Result = {ResultCode::BackendLost, {}};
    report(E);
  };
  return ExecutionChart(
      Charts.chart("execution"), {},
      {{"reclassAsLong", ReclassAsLong},
       {"askToStop",
        [this](Execution &E) { m_Executor.stop(E.m_Address, E.m_Task); }},
       {"report", [this](Execution &E) { report(E); }},
       {"reportLost", ReportLost}});
}

void SlotService::announce(const BackendOffer &Offer) {
  m_Backend.m_Announced = Offer;
  m_BackendChart.fire(m_Backend, BackendEvent::Announced);
}

void SlotService::leave() {
  logEvent(LogLevel::Info, "backend.leaving",
           {{"service", m_Backend.m_Offer.m_Service}});
  m_BackendChart.fire(m_Backend, BackendEvent::Leave);
}

void SlotService::open() {
  // The new run may be of another service.
  m_Credits.withdrawAll();
  m_Backend.m_Offer = m_Backend.m_Announced;
  logEvent(LogLevel::Info, "backend.serving",
           {{"service", m_Backend.m_Offer.m_Service},
            {"address", m_Backend.m_Offer.m_Address},
            {"slots", m_Backend.m_Offer.m_Slots}});
  reopen();
}

/// The backend server has shown that it is there after all.
void SlotService::reopen() {
  renewLease();
  sendStateToAll();
  distributeIdle();
}

void SlotService::renewLease() {
  m_Timers.cancel(m_Backend.m_Lease);
  m_Backend.m_Lease = m_Timers.subscribe(m_Settings.m_BackendLease, [this] {
    logEvent(LogLevel::Warning, "backend.lapsed",
             {{"service", m_Backend.m_Offer.m_Service}});
    m_BackendChart.fire(m_Backend, BackendEvent::Lapsed);
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
  auto Used = static_cast<std::uint32_t>(m_Running.size()) + m_Credits.out();
  if (Used > slots())
    m_Credits.withdraw(Used - slots());
  sendStateToAll();
  distributeIdle();
}

void SlotService::entryUp(const Peer &Entry) {
  m_Entries.push_back(Entry.m_Incarnation);
  m_Credits.addEntry(Entry.m_Incarnation);
  if (!m_Backend.m_Offer.m_Service.empty())
    sendState(Entry.m_Incarnation);
  // Idle slots are divided anew, so that the newcomer gets its part.
  std::uint32_t FairShare =
      m_Credits.out() / static_cast<std::uint32_t>(m_Entries.size());
  m_Credits.withdraw(FairShare);
  distributeIdle();
}

void SlotService::entryDown(const Peer &Entry) {
  std::erase(m_Entries, Entry.m_Incarnation);
  m_Credits.removeEntry(Entry.m_Incarnation);
  distributeIdle();
}

void SlotService::receive(Incarnation Entry, Message &Body) {
  if (auto *Known = std::get_if<Start>(&Body))
    receiveStart(Entry, *Known);
  else if (auto *Stated = std::get_if<Demand>(&Body))
    receiveDemand(Entry, *Stated);
  else if (auto *Stop = std::get_if<StopJob>(&Body))
    receiveStop(Stop->m_Job);
}

void SlotService::receiveStart(Incarnation Entry, Start &Body) {
  m_Credits.setDemand(Entry, Body.m_Demand);
  // A repeated start must not be answered with "did not start".
  if (m_Memory.contains(Body.m_Task))
    return;
  IssuedCredit *Known = m_Credits.find(Entry, Body.m_Credit);
  if (!Known) {
    refuse(Entry, Body, ResultCode::CreditUnknown);
    return;
  }
  Known->m_Start = &Body;
  m_CreditChart.fire(*Known, CreditEvent::Start);
  // Refused or used, the credit is spent.
  m_Credits.erase(Body.m_Credit);
  distributeIdle();
}

ResultCode SlotService::refusalOf(const IssuedCredit &Known) const {
  if (!isServing())
    return ResultCode::BackendLeaving;
  if (!m_Limits.m_IsServiceKnown ||
      Known.m_Start->m_Service != m_Backend.m_Offer.m_Service)
    return ResultCode::WithdrawnConfiguration;
  bool IsLong = Known.m_Start->m_IsLong;
  if (IsLong && (!Known.m_AllowsLong || m_LongRunning >= longSlots()))
    return ResultCode::LongShareFull;
  return ResultCode::Ok;
}

void SlotService::refuse(Incarnation Entry, const Start &Sent,
                         ResultCode Code) {
  m_Metrics.count(Metric::StartsRefused);
  m_Links.send(Entry, StartRefused{Sent.m_Task, Sent.m_Credit, Code});
}

void SlotService::startTask(IssuedCredit &Known) {
  Start &Body = *Known.m_Start;
  auto Started = std::make_shared<Execution>();
  Started->m_State = m_ExecutionChart.initial();
  Started->m_Task = Body.m_Task;
  Started->m_Credit = Known.m_Id;
  Started->m_Entry = Known.m_Entry;
  Started->m_Address = m_Backend.m_Offer.m_Address;
  Started->m_IsLong = Body.m_IsLong;
  Started->m_StartedAt = m_Timers.now();
  if (Started->m_IsLong)
    ++m_LongRunning;
  m_Memory.add(Body.m_Task, m_Timers.now());
  m_Running.emplace(Body.m_Task, Started);
  m_Metrics.count(Metric::StartsExecuted);
  subscribeTimers(Started, Body.m_Remaining);
  executeTask(Started, Body);
}

void SlotService::subscribeTimers(const ExecutionPointer &Started,
                                  Duration Remaining) {
  std::weak_ptr<Execution> Weak = Started;
  auto Fire = [this, Weak](ExecutionEvent What) {
    if (auto Alive = Weak.lock())
      fire(Alive, What);
  };
  Started->m_OverrunTimer = m_Timers.subscribe(
      m_Limits.m_LongThreshold, [Fire] { Fire(ExecutionEvent::Overrun); });
  Started->m_LostTimer =
      m_Timers.subscribe(Remaining + m_Settings.m_DeadlineGrace,
                         [Fire] { Fire(ExecutionEvent::Lost); });
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
                       finish(Alive, std::move(Result));
                     });
}

void SlotService::finish(const ExecutionPointer &Ended,
                         ExecutionResult Result) {
  // No credit goes out before the backend server has announced itself again.
  if (Result.m_Code == ResultCode::BackendLost)
    m_BackendChart.fire(m_Backend, BackendEvent::ContactLost);
  Ended->m_Result = std::move(Result);
  fire(Ended, ExecutionEvent::Done);
}

void SlotService::fire(const ExecutionPointer &Known, ExecutionEvent What) {
  m_ExecutionChart.fire(*Known, What);
}

void SlotService::report(Execution &Ended) {
  auto Found = m_Running.find(Ended.m_Task);
  ExecutionPointer KeptAlive = Found->second;
  m_Running.erase(Found);
  if (Ended.m_IsLong)
    --m_LongRunning;
  m_Timers.cancel(Ended.m_OverrunTimer);
  m_Timers.cancel(Ended.m_LostTimer);
  TaskDone Done;
  Done.m_Task = Ended.m_Task;
  Done.m_Credit = Ended.m_Credit;
  Done.m_Code = Ended.m_Result.m_Code;
  Done.m_Answer = std::move(Ended.m_Result.m_Answer);
  Done.m_RunTime = m_Timers.now() - Ended.m_StartedAt;
  Done.m_Credits = distribute(Ended.m_Entry);
  m_Links.send(Ended.m_Entry, std::move(Done));
}

/// The backend server was replaced: what ran on its predecessor is lost.
void SlotService::loseRunning() {
  auto Lost = m_Running;
  for (auto &Known : Lost)
    fire(Known.second, ExecutionEvent::Lost);
}

void SlotService::receiveDemand(Incarnation Entry, const Demand &Stated) {
  m_Credits.setDemand(Entry, Stated);
  if (m_Credits.reclaimFor(Entry) > 0)
    distributeIdle();
}

void SlotService::receiveStop(JobId Job) {
  std::vector<ExecutionPointer> Stopped;
  for (const auto &Known : m_Running)
    if (Known.first.m_Job == Job)
      Stopped.push_back(Known.second);
  for (const ExecutionPointer &Known : Stopped)
    fire(Known, ExecutionEvent::Stop);
}

std::uint32_t SlotService::slots() const {
  std::uint32_t Offered = m_Backend.m_Offer.m_Slots;
  std::uint32_t Wanted = m_Limits.m_Slots == 0 ? Offered : m_Limits.m_Slots;
  return std::min({Offered, Wanted, m_Limits.m_Connections});
}

std::uint32_t SlotService::longSlots() const {
  std::uint32_t Share = slots() * m_Limits.m_LongSharePercent / Percent;
  // A service whose tasks are all long must not stand still.
  return std::max<std::uint32_t>(1, Share);
}

std::vector<Credit> SlotService::distribute(Incarnation Finisher) {
  if (!isServing() || !m_Limits.m_IsServiceKnown)
    return {};
  std::uint32_t Used =
      static_cast<std::uint32_t>(m_Running.size()) + m_Credits.out();
  std::uint32_t Free = slots() - std::min(slots(), Used);
  std::uint32_t LongUsed = m_LongRunning + m_Credits.longOut();
  std::uint32_t FreeLong = longSlots() - std::min(longSlots(), LongUsed);
  return m_Credits.distribute(Free, FreeLong, Finisher);
}

void SlotService::distributeIdle() { distribute(Incarnation{}); }

std::size_t SlotService::running() const { return m_Running.size(); }

std::size_t SlotService::creditsOut() const { return m_Credits.out(); }

bool SlotService::isServing() const {
  return m_Backend.m_State == BackendPhase::Serving;
}

std::unique_ptr<ISlotService>
makeSlotService(SlotSettings Settings, EntryChoice Choose,
                const IChartSource &Charts, ILinks &Links, IExecutor &Executor,
                ITimerService &Timers, IMetrics &Metrics) {
  return std::make_unique<SlotService>(Settings, std::move(Choose), Charts,
                                       Links, Executor, Timers, Metrics);
}

} // namespace cyclamenwalk
