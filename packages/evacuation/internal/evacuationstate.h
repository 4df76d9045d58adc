#ifndef CYCLAMENWALK_EVACUATION_INTERNAL_EVACUATIONSTATE_H
#define CYCLAMENWALK_EVACUATION_INTERNAL_EVACUATIONSTATE_H

#include "evacuation/evacuationmodule.h"

#include <vector>

namespace cyclamenwalk {

class EvacuationState final : public IEvacuationState {
public:
  explicit EvacuationState(IMetrics &Metrics) : m_Metrics(Metrics) {}

  bool adoptIfNewer(const Evacuation &Candidate,
                    std::string_view Source) override;
  const Evacuation &current() const override { return m_Current; }
  void subscribe(ChangeHook Hook) override;

private:
  IMetrics &m_Metrics;
  Evacuation m_Current;
  std::vector<ChangeHook> m_Hooks;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_EVACUATION_INTERNAL_EVACUATIONSTATE_H
