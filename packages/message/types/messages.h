#ifndef CYCLAMENWALK_MESSAGE_TYPES_MESSAGES_H
#define CYCLAMENWALK_MESSAGE_TYPES_MESSAGES_H

#include "core/types/ids.h"
#include "core/types/resultcode.h"
#include "core/types/time.h"
#include "message/types/forwarding.h"
#include "message/types/placement.h"

#include <string>
#include <variant>
#include <vector>

namespace cyclamenwalk {

enum class Role { Entry, Agent };

/// Permission to start one task on a slot that the agent reserves for it.
struct Credit {
  CreditId m_Id;
  /// Whether it may be used for a task of the long class.
  bool m_AllowsLongTasks = true;
};

/// Opens a link. Unsequenced; repeated by the sender until the peer replies.
struct Hello {
  std::string m_Name;
  /// The address on which the sender listens, as IP:PORT.
  std::string m_Address;
  std::string m_FailureDomain;
  Role m_Role = Role::Agent;
  /// The sender's share of a core, in thousandths; zero when unknown.
  std::uint32_t m_ProcessorMilliCores = 0;
  bool m_IsReply = false;
};

/// Keeps an idle link up and carries an acknowledgement. Unsequenced.
struct Heartbeat {
  /// Requests that the receiver resends all unacknowledged messages.
  bool m_RequestsResend = false;
  /// Requests that the receiver replaces its connection, because nothing
  /// arrives from it.
  bool m_IsNotReceiving = false;
  /// Requests a heartbeat at once, for the echo that it carries.
  bool m_RequestsReply = false;
  /// The sequence number of the last sequenced message sent before, so that the
  /// receiver notices a lost one.
  std::uint64_t m_LastSequence = 0;
};

/// Closes the link.
struct Goodbye {};

/// Agent to entry: the capacity of the backend server next to the agent.
struct BackendState {
  std::string m_Service;
  std::uint32_t m_Slots = 0;
  std::uint32_t m_Cpus = 0;
  std::uint64_t m_MemoryBytes = 0;
  bool m_IsLeaving = false;
};

/// Agent to entry: credits that the entry may use.
struct CreditGrant {
  std::vector<Credit> m_Credits;
};

/// Agent to entry: credits that are no longer valid.
struct CreditWithdraw {
  std::vector<CreditId> m_Credits;
};

/// Entry to agent: the number of tasks that wait for a slot of the agent's
/// service.
struct Demand {
  std::uint32_t m_Waiting = 0;
  /// The order key of the first of them, relative to now; a smaller value is
  /// more urgent.
  Duration m_FirstOrderWithin{};
};

/// Entry to agent: start one task, using a credit.
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
  /// Piggybacked, to save a message.
  Demand m_Demand;
};

/// Agent to entry: the task did not start and never will.
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
  /// Piggybacked CreditGrant, to save a message.
  std::vector<Credit> m_Credits;
};

/// Entry to agent: stop the running tasks of the job and start no more.
struct StopJob {
  JobId m_Job;
};

/// The identity and the addresses of an entry.
struct EntryAddress {
  std::string m_Name;
  Incarnation m_Incarnation;
  /// IP:PORT for messages from other processes.
  std::string m_Address;
  /// IP:PORT for requests from callers and operators.
  std::string m_HttpAddress;
  std::string m_FailureDomain;
  /// Its share of a core, in thousandths; zero when unknown.
  std::uint32_t m_ProcessorMilliCores = 0;
  bool operator==(const EntryAddress &) const = default;
};

/// To an agent: the entries that it may link to. To an entry: members that may
/// be new to it.
struct EntryList {
  std::vector<EntryAddress> m_Entries;
  /// Whether these are all members there are, by what the sender knows.
  bool m_IsComplete = false;
};

/// The highest configuration version that the sender holds.
struct ConfigurationNotice {
  std::uint64_t m_Version = 0;
};

/// Requests the configuration with the highest version that the receiver holds.
struct ConfigurationRequest {
  std::uint64_t m_Version = 0;
};

/// A complete configuration as applied by an operator.
struct ConfigurationBody {
  std::uint64_t m_Version = 0;
  std::string m_Text;
};

/// To entries and agents: the failure domains in which no task is started, as
/// of a version of the store.
struct EvacuationNotice {
  std::uint64_t m_Version = 0;
  std::vector<std::string> m_Domains;
};

/// Entry to entry: does the asked entry run the job with this name? An entry
/// that is not the asked one passes the message on to it.
struct FindJob {
  /// Assigned by the asking entry.
  std::uint64_t m_Request = 0;
  Incarnation m_Asker;
  Incarnation m_Asked;
  std::string m_Name;
  /// Whether the job is to be cancelled, and refused if it arrives later.
  bool m_Cancels = false;
};

/// The word of the asked entry, passed on to the asking one in the same way.
struct FindJobReply {
  std::uint64_t m_Request = 0;
  Incarnation m_Asker;
  Incarnation m_Asked;
  bool m_WasFound = false;
};

/// Entry to agent: the minimum interval between reports that are sent as
/// separate messages.
struct ReportInterval {
  Duration m_Period{};
};

using Message =
    std::variant<Hello, Heartbeat, Goodbye, BackendState, CreditGrant,
                 CreditWithdraw, Demand, Start, StartRefused, TaskDone, StopJob,
                 EntryList, ConfigurationNotice, ConfigurationRequest,
                 ConfigurationBody, WorkerReport, PlaceTasks, RunResults,
                 DeadlineMissForecast, FindJob, FindJobReply, ReportInterval,
                 PlacerState, ForwardJob, ForwardedJobAnswer,
                 CancelForwardedJob, EvacuationNotice>;

/// A message with the fields that a link needs to deliver it exactly once and
/// in order.
struct Envelope {
  Incarnation m_Sender;
  /// Zero in the first Hello, when the receiver is not known yet.
  Incarnation m_Receiver;
  /// Assigned by the process that opened the link.
  std::uint32_t m_Link = 0;
  /// Zero for unsequenced messages.
  std::uint64_t m_Sequence = 0;
  /// The highest sequence number received in order from the receiver.
  std::uint64_t m_Acknowledged = 0;
  /// When the message was first sent, by a steady clock of the sender; opaque
  /// to the receiver. In whole milliseconds, like the other times here.
  Duration m_SentAt{};
  /// The latest m_SentAt that the sender had received from the receiver; zero
  /// for none. Proves to the receiver that the sender was alive at that time or
  /// later.
  Duration m_Echo{};
  /// The longest time for which one of the processes on whose behalf the sender
  /// acts had not been confirmed alive when the message was first sent.
  Duration m_CallersSilence{};
  Message m_Message;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MESSAGE_TYPES_MESSAGES_H
