#ifndef CYCLAMENWALK_SLOT_TYPES_EXECUTION_H
#define CYCLAMENWALK_SLOT_TYPES_EXECUTION_H

#include "core/types/ids.h"
#include "core/types/resultcode.h"
#include "core/types/time.h"

#include <functional>
#include <string>

namespace cyclamenwalk {

/// A task to be executed by the backend server.
struct ExecutionRequest {
  TaskId m_Task;
  std::string m_Kind;
  std::string m_Payload;
  /// Time limit for the backend server's answer.
  Duration m_Timeout{};
};

struct ExecutionResult {
  ResultCode m_Code = ResultCode::Ok;
  std::string m_Answer;
  /// False when the task was never sent to the backend server, so that it
  /// doesn't run there.
  bool m_WasSent = true;
};

/// Periodic heartbeat of a backend server.
struct BackendOffer {
  std::string m_Service;
  /// IP:PORT at which it executes tasks.
  std::string m_Address;
  /// Identifies the instance of the backend server; generated at its start.
  std::string m_Instance;
  std::uint32_t m_Slots = 0;
  std::uint32_t m_Connections = 0;
  std::uint32_t m_Cpus = 0;
  std::uint64_t m_MemoryBytes = 0;
  bool operator==(const BackendOffer &) const = default;
};

/// The configured limits of the service of this agent.
struct SlotLimits {
  /// False when the active configuration no longer contains the service.
  bool m_IsServiceConfigured = true;
  /// Maximum number of concurrent tasks; zero for the number that the backend
  /// server announces.
  std::uint32_t m_Slots = 0;
  std::uint32_t m_Connections = 64;
  std::uint32_t m_LongSharePercent = 50;
  Duration m_LongThreshold = seconds(2);
};

struct SlotSettings {
  /// The backend server has to announce itself within this time.
  Duration m_BackendLease = seconds(3);
  /// Minimum time before an unused credit is withdrawn from an entry without
  /// demand and issued to another.
  Duration m_MinCreditAge = milliseconds(20);
  /// How long an entry's demand is valid unless it is stated again.
  Duration m_DemandLifetime = milliseconds(500);
  /// How long a started task is remembered.
  Duration m_TaskRetention = seconds(120);
  /// A task may exceed its deadline by this time before its outcome counts as
  /// unknown.
  Duration m_DeadlineGrace = seconds(1);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_TYPES_EXECUTION_H
