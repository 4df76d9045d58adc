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
  /// The backend server shall answer within this time.
  Duration m_Timeout{};
};

struct ExecutionResult {
  ResultCode m_Code = ResultCode::Ok;
  std::string m_Answer;
};

/// What a backend server says of itself.
struct BackendOffer {
  std::string m_Service;
  /// IP:PORT at which it executes tasks.
  std::string m_Address;
  /// Drawn by the backend server at its start.
  std::string m_Run;
  std::uint32_t m_Slots = 0;
  std::uint32_t m_Connections = 0;
  std::uint32_t m_Cpus = 0;
  std::uint64_t m_MemoryBytes = 0;
  bool operator==(const BackendOffer &) const = default;
};

/// What the configuration says about the service of this agent.
struct SlotLimits {
  /// False when the configuration in force no longer has the service.
  bool m_IsServiceKnown = true;
  /// Tasks at once; zero for what the backend server announces.
  std::uint32_t m_Slots = 0;
  std::uint32_t m_Connections = 64;
  std::uint32_t m_LongSharePercent = 50;
  Duration m_LongThreshold = seconds(2);
};

struct SlotSettings {
  /// The backend server has to announce itself within this time.
  Duration m_BackendLease = seconds(3);
  /// How long an idle credit stays with an entry that does not need it while
  /// another does.
  Duration m_MinCreditAge = milliseconds(20);
  /// How long an entry's demand counts without being stated again.
  Duration m_DemandLifetime = milliseconds(500);
  /// How long a task is remembered after its end.
  Duration m_TaskMemory = seconds(120);
  /// A task may run this much past its deadline before its outcome counts as
  /// unknown.
  Duration m_DeadlineGrace = seconds(1);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SLOT_TYPES_EXECUTION_H
