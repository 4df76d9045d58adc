#ifndef CYCLAMENWALK_MESSAGE_TYPES_MESSAGES_H
#define CYCLAMENWALK_MESSAGE_TYPES_MESSAGES_H

#include "core/types/ids.h"
#include "core/types/resultcode.h"
#include "core/types/time.h"
#include "message/types/placement.h"

#include <string>
#include <variant>
#include <vector>

namespace cyclamenwalk {

enum class Role { Entry, Agent };

/// The right to start one task on a slot that an agent keeps free for it.
struct Credit {
  CreditId m_Id;
  /// Whether a task of the long class may use it.
  bool m_AllowsLong = true;
};

/// Opens a link. Unsequenced; repeated by the agent until the entry replies.
struct Hello {
  std::string m_Name;
  /// Where the sender listens, as IP:PORT.
  std::string m_Address;
  std::string m_FailureDomain;
  Role m_Role = Role::Agent;
  bool m_IsReply = false;
};

/// Keeps an idle link alive and carries an acknowledgement. Unsequenced.
struct Heartbeat {
  /// The receiver shall send again all that is not acknowledged.
  bool m_WantsResend = false;
  /// Nothing arrives from the receiver, so it shall replace its connection.
  bool m_IsNotReceiving = false;
};

/// The sender closes the link in good order.
struct Goodbye {};

/// What the backend server beside an agent offers.
struct BackendState {
  std::string m_Service;
  std::uint32_t m_Slots = 0;
  std::uint32_t m_Cpus = 0;
  std::uint64_t m_MemoryBytes = 0;
  bool m_IsLeaving = false;
};

/// Agent to entry: credits that the entry may spend.
struct CreditGrant {
  std::vector<Credit> m_Credits;
};

/// Agent to entry: credits that it will no longer honour.
struct CreditWithdraw {
  std::vector<CreditId> m_Credits;
};

/// Entry to agent: how many tasks wait for a slot of the agent's service.
struct Demand {
  std::uint32_t m_Waiting = 0;
  /// The order key of the first of them, from now; less is more urgent.
  Duration m_Urgency{};
};

/// Entry to agent: start one task against a credit.
struct Start {
  TaskId m_Task;
  CreditId m_Credit;
  std::uint64_t m_ConfigurationVersion = 0;
  std::string m_Service;
  std::string m_Kind;
  std::string m_Payload;
  /// Time left until the job's deadline when the message was sent.
  Duration m_Remaining{};
  bool m_IsLong = false;
  /// Piggybacked.
  Demand m_Demand;
};

/// Agent to entry: the task did not start, and will not.
struct StartRefused {
  TaskId m_Task;
  CreditId m_Credit;
  ResultCode m_Code = ResultCode::CreditUnknown;
};

/// Agent to entry: the task has ended.
struct TaskDone {
  TaskId m_Task;
  CreditId m_Credit;
  ResultCode m_Code = ResultCode::Ok;
  std::string m_Answer;
  Duration m_RunTime{};
  /// Piggybacked CreditGrant.
  std::vector<Credit> m_Credits;
};

/// Entry to agent: stop what runs of the job and start no more of it.
struct StopJob {
  JobId m_Job;
};

/// One entry, as the others and the agents find it.
struct EntryAddress {
  std::string m_Name;
  Incarnation m_Incarnation;
  /// IP:PORT for messages between processes.
  std::string m_Address;
  /// IP:PORT for callers and operators.
  std::string m_HttpAddress;
  std::string m_FailureDomain;
  bool operator==(const EntryAddress &) const = default;
};

/// Entry to agent: the entries that are members now.
struct EntryList {
  std::vector<EntryAddress> m_Entries;
};

/// The highest configuration version that the sender holds.
struct ConfigurationNotice {
  std::uint64_t m_Version = 0;
};

/// Asks for the body of the highest configuration of the receiver.
struct ConfigurationRequest {
  std::uint64_t m_Version = 0;
};

/// A whole configuration as the operator applied it.
struct ConfigurationBody {
  std::uint64_t m_Version = 0;
  std::string m_Text;
};

/// Entry to entry: cancel the job that a caller named, if it is here.
struct CancelJobByName {
  std::string m_Name;
};

struct CancelJobByNameReply {
  std::string m_Name;
  bool m_WasFound = false;
};

/// Entry to agent: reports that nothing else carries are to be at least this
/// far apart.
struct ReportInterval {
  Duration m_Period{};
};

using Message =
    std::variant<Hello, Heartbeat, Goodbye, BackendState, CreditGrant,
                 CreditWithdraw, Demand, Start, StartRefused, TaskDone, StopJob,
                 EntryList, ConfigurationNotice, ConfigurationRequest,
                 ConfigurationBody, WorkerReport, PlaceTasks, RunResults,
                 DeadlineMissForecast, CancelJobByName, CancelJobByNameReply,
                 ReportInterval>;

/// A message with what a link needs to deliver it once and in order.
struct Envelope {
  Incarnation m_Sender;
  /// Zero in the first Hello, when the receiver is not known yet.
  Incarnation m_Receiver;
  /// Drawn by the agent for each link that it opens.
  std::uint32_t m_Link = 0;
  /// Zero for unsequenced messages.
  std::uint64_t m_Sequence = 0;
  /// The highest sequence received in order from the receiver.
  std::uint64_t m_Acknowledged = 0;
  Message m_Message;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MESSAGE_TYPES_MESSAGES_H
