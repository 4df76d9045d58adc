#include "job/internal/dispatcher.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// Weight of one observation in the running mean of slots.
constexpr double SlotsWeight = 0.02;

} // namespace

Dispatcher::Dispatcher(JobSettings Settings, const PolicyHooks &Hooks,
                       Place Send, ILinks &Links, ITimerService &Timers,
                       IMetrics &Metrics)
    : m_Settings(Settings), m_Place(std::move(Send)), m_Links(Links),
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
  auto Found = std::find_if(
      m_Agents.begin(), m_Agents.end(),
      [Agent](const KnownAgent &Known) { return Known.m_Agent == Agent; });
  if (Found == m_Agents.end())
    return;
  m_TotalSlots -= Found->m_Slots;
  m_Agents.erase(Found);
  m_Queue->setSlots(m_TotalSlots);
}

std::uint32_t Dispatcher::expectedSlots(std::size_t Entries) {
  // The momentary number would count the same slots at several entries.
  double Now = m_Ledger->held() + m_Ledger->inFlight();
  m_UsualSlots += SlotsWeight * (Now - m_UsualSlots);
  auto FairShare = static_cast<std::uint32_t>(
      m_TotalSlots / std::max<std::size_t>(1, Entries));
  return std::max(FairShare, static_cast<std::uint32_t>(m_UsualSlots));
}

void Dispatcher::addCredits(Incarnation Agent,
                            const std::vector<Credit> &Granted) {
  for (const Credit &Added : Granted)
    m_Ledger->add(Agent, Added);
  m_HasNewCredits = m_HasNewCredits || !Granted.empty();
}

void Dispatcher::dispatch() {
  while (dispatchOne()) {
  }
  if (m_DemandTimer == 0)
    m_HasNewCredits = false;
  watchDemand(m_Settings.m_DemandDelay);
}

bool Dispatcher::dispatchOne() {
  if (!m_Ledger->hasCredit())
    return false;
  auto Job = m_Queue->take(m_Ledger->hasLongTaskCredit());
  if (!Job)
    return false;
  m_Place(*Job);
  return true;
}

bool Dispatcher::needsCredits() const {
  return m_Queue->hasTask(true) && !m_Agents.empty();
}

/// Demand is stated after a moment in which a credit may still come.
void Dispatcher::watchDemand(Duration Delay) {
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
  // While credits come in, the starts that they pay for state the demand.
  if (m_HasNewCredits) {
    m_DemandPause = m_Settings.m_DemandPeriod;
  } else {
    stateDemand();
    m_DemandPause = std::clamp(m_DemandPause * 2, m_Settings.m_DemandPeriod,
                               m_Settings.m_MaxDemandPeriod);
  }
  m_HasNewCredits = false;
  watchDemand(m_DemandPause);
}

Demand Dispatcher::demand() const {
  auto Key = m_Queue->headOrderKey();
  if (!Key)
    return {};
  return {m_Queue->waiting(), *Key - m_Timers.now()};
}

void Dispatcher::stateDemand() {
  std::size_t Told = std::min(m_Settings.m_DemandFanout, m_Agents.size());
  for (std::size_t I = 0; I < Told; ++I) {
    m_NextAgent = (m_NextAgent + 1) % m_Agents.size();
    m_Metrics.count(Metric::DemandSent);
    m_Links.send(m_Agents[m_NextAgent].m_Agent, demand());
  }
}

} // namespace cyclamenwalk
