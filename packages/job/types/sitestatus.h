#ifndef CYCLAMENWALK_JOB_TYPES_SITESTATUS_H
#define CYCLAMENWALK_JOB_TYPES_SITESTATUS_H

#include "core/types/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// One backend server as an entry sees it, for operators.
struct WorkerStatus {
  std::string m_Agent;
  Incarnation m_Incarnation;
  std::string m_FailureDomain;
  std::string m_Service;
  std::uint32_t m_Slots = 0;
  bool m_IsLeaving = false;
};

/// One service as an entry sees it, for operators.
struct ServiceStatus {
  std::string m_Service;
  std::uint32_t m_Waiting = 0;
  std::uint32_t m_InFlight = 0;
  std::uint32_t m_Credits = 0;
};

struct SiteStatus {
  std::vector<WorkerStatus> m_Workers;
  std::vector<ServiceStatus> m_Services;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_TYPES_SITESTATUS_H
