#include "job/internal/dispatcher.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// Weight of a new value in the running mean of slots.
constexpr double SlotsSmoothingFactor = 0.02;

} // namespace

Dispatcher::Dispatcher(JobSettings Settings, const PolicyHooks &Hooks,
                       StartHook StartTask, ILinks &Links,
                       ITimerService &Timers, IMetrics &Metrics)
    : m_Settings(Settings), m_StartTask(std::move(StartTask)), m_Links(Links),
      m_Timers(Timers), m_Metrics(Metrics),
      m_Queue(makeTaskQueue(Hooks.m_JobOrder)),
      m_Ledger(makeCreditLedger(Hooks.m_WorkerScore)) {}

Dispatcher::~Dispatcher() { m_Timers.cancel(m_DemandTimer); }

void Dispatcher::addAgent(Incarnation Agent, std::uint32_t Slots) {
  removeAgent(Agent);
  m_Agents.push_back({Agent, Slots});
  m_TotalSlots += Slots;
  m_Queue->setSlots(m_TotalSlots);
}

void Dispatcher::removeAgent(Incarnation Agent) {
  auto It = std::find_if(m_Agents.begin(), m_Agents.end(),
                         [Agent](const AgentSlots &Candidate) {
                           return Candidate.m_Agent == Agent;
                         });
  if (It == m_Agents.end())
    return;
  m_TotalSlots -= It->m_Slots;
  m_Agents.erase(It);
  m_Queue->setSlots(m_TotalSlots);
}

std::uint32_t Dispatcher::expectedSlots(std::size_t Entries) {
  // A mean, because the current numbers of several entries can include the
  // same slots.
  double SlotsNow = m_Ledger->unspentCredits() + m_Ledger->inFlight();
  m_MeanSlots += SlotsSmoothingFactor * (SlotsNow - m_MeanSlots);
  auto FairShare = static_cast<std::uint32_t>(
      m_TotalSlots / std::max<std::size_t>(1, Entries));
  return std::max(FairShare, static_cast<std::uint32_t>(m_MeanSlots));
}

void Dispatcher::addCredits(Incarnation Agent,
                            const std::vector<Credit> &Granted) {
  for (const Credit &NewCredit : Granted)
    m_Ledger->add(Agent, NewCredit);
  m_HasNewCredits = m_HasNewCredits || !Granted.empty();
}

void Dispatcher::dispatch() {
  while (dispatchOne()) {
  }
  if (m_DemandTimer == 0)
    m_HasNewCredits = false;
  scheduleDemandCheck(m_Settings.m_DemandDelay);
}

bool Dispatcher::dispatchOne() {
  if (!m_Ledger->hasCredit())
    return false;
  auto NextJob = m_Queue->take(m_Ledger->hasLongTaskCredit());
  if (!NextJob)
    return false;
  m_StartTask(*NextJob);
  return true;
}

bool Dispatcher::needsCredits() const {
  return m_Queue->hasTask(true) && !m_Agents.empty();
}

/// Checks demand after a delay, since credits may arrive in the meantime.
void Dispatcher::scheduleDemandCheck(Duration Delay) {
  if (m_DemandTimer != 0 || !needsCredits())
    return;
  m_DemandTimer = m_Timers.subscribe(Delay, [this] {
    m_DemandTimer = 0;
    checkDemand();
  });
}

void Dispatcher::checkDemand() {
  if (!needsCredits())
    return;
  // Each Start message carries the demand, so as long as credits arrive no
  // separate message is needed.
  if (m_HasNewCredits) {
    m_DemandCheckPeriod = m_Settings.m_MinDemandPeriod;
  } else {
    sendDemand();
    m_DemandCheckPeriod =
        std::clamp(m_DemandCheckPeriod * 2, m_Settings.m_MinDemandPeriod,
                   m_Settings.m_MaxDemandPeriod);
  }
  m_HasNewCredits = false;
  scheduleDemandCheck(m_DemandCheckPeriod);
}

Demand Dispatcher::demand() const {
  auto OrderKey = m_Queue->headOrderKey();
  if (!OrderKey)
    return {};
  return {m_Queue->waiting(), *OrderKey - m_Timers.now()};
}

void Dispatcher::sendDemand() {
  std::size_t Recipients = std::min(m_Settings.m_DemandFanout, m_Agents.size());
  for (std::size_t I = 0; I < Recipients; ++I) {
    m_LastNotifiedAgent = (m_LastNotifiedAgent + 1) % m_Agents.size();
    m_Metrics.count(Metric::DemandMessagesSent);
    m_Links.send(m_Agents[m_LastNotifiedAgent].m_Agent, demand());
  }
}

} // namespace cyclamenwalk
