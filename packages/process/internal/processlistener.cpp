#include "process/processlistener.h"

#include "budget/types/budgetplan.h"

namespace cyclamenwalk {

namespace {

/// Requests that wait for an answer hold one each.
constexpr std::size_t MaxHandlerThreads = 256;

} // namespace

HttpServerSettings makeProcessListener(const ProcessSettings &Settings,
                                       IMetrics &Metrics) {
  const LimitSettings &Limits = Settings.m_Limits;
  BudgetPlan Plan = planBudget(
      {Limits.m_MemoryBytes, Limits.m_Descriptors, Limits.m_MaxConnections,
       connectionBytes(Limits.m_Requests.m_MaxHeaderBytes)});
  HttpServerSettings Listener = makeListener(
      Settings.m_HttpListen, Limits.m_Requests, Plan.m_Clients, Metrics);
  Listener.m_MaxHandlerThreads = MaxHandlerThreads;
  return Listener;
}

} // namespace cyclamenwalk
