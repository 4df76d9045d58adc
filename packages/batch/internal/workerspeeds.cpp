#include "batch/internal/workerspeeds.h"

namespace cyclamenwalk {

namespace {

/// Workers are named in the log when they are slower than their kind by this
/// factor.
constexpr double MinNoticedRatio = 1.25;

} // namespace

void WorkerSpeeds::add(Incarnation Agent, const std::string &Kind,
                       const LearnedSpeed &Speed) {
  m_Members[Kind].m_Agents.push_back(Agent);
  m_Members[Kind].m_Speeds.push_back(Speed);
}

void WorkerSpeeds::update() {
  double Sum = 0;
  for (const auto &Item : m_Members) {
    const Members &OfKind = Item.second;
    KindSpeeds Speeds = shrinkToKind(OfKind.m_Speeds);
    m_ByKind[Item.first] = Speeds.m_Slowness;
    for (std::size_t I = 0; I < OfKind.m_Agents.size(); ++I) {
      m_ByAgent[OfKind.m_Agents[I]] = Speeds.m_ByWorker[I];
      Sum += Speeds.m_ByWorker[I];
    }
  }
  if (!m_ByAgent.empty())
    m_Mean = Sum / static_cast<double>(m_ByAgent.size());
}

double WorkerSpeeds::slowness(Incarnation Agent,
                              const std::string &Kind) const {
  auto OfAgent = m_ByAgent.find(Agent);
  if (OfAgent != m_ByAgent.end())
    return OfAgent->second;
  return slownessOf(Kind);
}

double WorkerSpeeds::slownessOf(const std::string &Kind) const {
  auto OfKind = m_ByKind.find(Kind);
  return OfKind != m_ByKind.end() ? OfKind->second : m_Mean;
}

std::set<Incarnation> WorkerSpeeds::slowAgents() const {
  std::set<Incarnation> Agents;
  for (const auto &Item : m_Members)
    for (Incarnation Agent : Item.second.m_Agents)
      if (m_ByAgent.at(Agent) > MinNoticedRatio * m_ByKind.at(Item.first))
        Agents.insert(Agent);
  return Agents;
}

} // namespace cyclamenwalk
