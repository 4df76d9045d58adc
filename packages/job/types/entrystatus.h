#ifndef CYCLAMENWALK_JOB_TYPES_ENTRYSTATUS_H
#define CYCLAMENWALK_JOB_TYPES_ENTRYSTATUS_H

#include "core/types/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// The state of one backend server as reported to an entry.
struct WorkerStatus {
  std::string m_Agent;
  Incarnation m_Incarnation;
  std::string m_FailureDomain;
  std::string m_Service;
  std::uint32_t m_Slots = 0;
  bool m_IsLeaving = false;
};

/// Task and credit counts of one service at an entry.
struct ServiceStatus {
  std::string m_Service;
  std::uint32_t m_Waiting = 0;
  std::uint32_t m_InFlight = 0;
  std::uint32_t m_Credits = 0;
};

/// What an entry reports to operators.
struct EntryStatus {
  std::vector<WorkerStatus> m_Workers;
  std::vector<ServiceStatus> m_Services;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_TYPES_ENTRYSTATUS_H
