#include "evacuation/internal/evacuationstate.h"

#include "core/log.h"

namespace cyclamenwalk {

namespace {

std::string joinNames(const std::set<std::string> &Names) {
  std::string Joined;
  for (const std::string &Name : Names)
    Joined += (Joined.empty() ? "" : ",") + Name;
  return Joined;
}

} // namespace

bool EvacuationState::adoptIfNewer(const Evacuation &Candidate,
                                   std::string_view Source) {
  if (Candidate.m_Version <= m_Current.m_Version)
    return false;
  bool HasChanged = Candidate.m_Domains != m_Current.m_Domains;
  m_Current = Candidate;
  if (!HasChanged)
    return true;
  logEvent(LogLevel::Info, "evacuation.changed",
           {{"version", m_Current.m_Version},
            {"domains", joinNames(m_Current.m_Domains)},
            {"source", Source}});
  m_Metrics.count(Metric::EvacuationChanges);
  for (const ChangeHook &Hook : m_Hooks)
    Hook();
  return true;
}

void EvacuationState::subscribe(ChangeHook Hook) {
  m_Hooks.push_back(std::move(Hook));
}

std::unique_ptr<IEvacuationState> makeEvacuationState(IMetrics &Metrics) {
  return std::make_unique<EvacuationState>(Metrics);
}

} // namespace cyclamenwalk
