#ifndef CYCLAMENWALK_PROTOCOL_INTERNAL_FIELDS_H
#define CYCLAMENWALK_PROTOCOL_INTERNAL_FIELDS_H

#include "message/types/messages.h"

namespace cyclamenwalk {

/// Calls \p Visit with all fields of a message, in the order in which they are
/// encoded. Packing and unpacking use the same list.
template <typename Call> void visitFields(Hello &Value, Call &&Visit) {
  Visit(Value.m_Name, Value.m_Address, Value.m_FailureDomain, Value.m_Role,
        Value.m_ProcessorMilliCores, Value.m_IsReply);
}
template <typename Call> void visitFields(Heartbeat &Value, Call &&Visit) {
  Visit(Value.m_RequestsResend, Value.m_IsNotReceiving, Value.m_RequestsReply,
        Value.m_LastSequence);
}
template <typename Call> void visitFields(Goodbye &, Call &&Visit) { Visit(); }
template <typename Call> void visitFields(BackendState &Value, Call &&Visit) {
  Visit(Value.m_Service, Value.m_Slots, Value.m_Cpus, Value.m_MemoryBytes,
        Value.m_IsLeaving);
}
template <typename Call> void visitFields(Credit &Value, Call &&Visit) {
  Visit(Value.m_Id, Value.m_AllowsLongTasks);
}
template <typename Call> void visitFields(CreditGrant &Value, Call &&Visit) {
  Visit(Value.m_Credits);
}
template <typename Call> void visitFields(CreditWithdraw &Value, Call &&Visit) {
  Visit(Value.m_Credits);
}
template <typename Call> void visitFields(Demand &Value, Call &&Visit) {
  Visit(Value.m_Waiting, Value.m_FirstOrderWithin);
}
template <typename Call> void visitFields(Start &Value, Call &&Visit) {
  Visit(Value.m_Task, Value.m_Credit, Value.m_ConfigurationVersion,
        Value.m_Service, Value.m_Kind, Value.m_Payload, Value.m_Remaining,
        Value.m_IsLong, Value.m_Demand);
}
template <typename Call> void visitFields(StartRefused &Value, Call &&Visit) {
  Visit(Value.m_Task, Value.m_Credit, Value.m_Code);
}
template <typename Call> void visitFields(TaskDone &Value, Call &&Visit) {
  Visit(Value.m_Task, Value.m_Credit, Value.m_Code, Value.m_Answer,
        Value.m_RunTime, Value.m_Credits);
}
template <typename Call> void visitFields(StopJob &Value, Call &&Visit) {
  Visit(Value.m_Job);
}
template <typename Call> void visitFields(EntryAddress &Value, Call &&Visit) {
  Visit(Value.m_Name, Value.m_Incarnation, Value.m_Address, Value.m_HttpAddress,
        Value.m_FailureDomain, Value.m_ProcessorMilliCores);
}
template <typename Call> void visitFields(EntryList &Value, Call &&Visit) {
  Visit(Value.m_Entries, Value.m_IsComplete);
}
template <typename Call>
void visitFields(ConfigurationNotice &Value, Call &&Visit) {
  Visit(Value.m_Version);
}
template <typename Call>
void visitFields(ConfigurationRequest &Value, Call &&Visit) {
  Visit(Value.m_Version);
}
template <typename Call>
void visitFields(ConfigurationBody &Value, Call &&Visit) {
  Visit(Value.m_Version, Value.m_Text);
}
template <typename Call>
void visitFields(EvacuationNotice &Value, Call &&Visit) {
  Visit(Value.m_Version, Value.m_Domains);
}
template <typename Call> void visitFields(Resources &Value, Call &&Visit) {
  Visit(Value.m_MilliCores, Value.m_MemoryMb, Value.m_Gpus);
}
template <typename Call> void visitFields(WaitingWork &Value, Call &&Visit) {
  Visit(Value.m_OrderWithin, Value.m_MilliCores);
}
template <typename Call> void visitFields(LearnedSpeed &Value, Call &&Visit) {
  Visit(Value.m_SlownessPermille, Value.m_SpreadPermille, Value.m_Ends);
}
template <typename Call> void visitFields(ExpectedEnd &Value, Call &&Visit) {
  Visit(Value.m_Within, Value.m_Freed);
}
template <typename Call> void visitFields(WorkerReport &Value, Call &&Visit) {
  Visit(Value.m_Service, Value.m_Rack, Value.m_Kind, Value.m_Capacity,
        Value.m_Free, Value.m_IsAccepting, Value.m_SlowdownPercent,
        Value.m_MeanRemaining, Value.m_Waiting, Value.m_PlacementsSeen,
        Value.m_Speed, Value.m_ExpectedEnds);
}
template <typename Call> void visitFields(PlacedTask &Value, Call &&Visit) {
  Visit(Value.m_Index, Value.m_Run);
}
template <typename Call> void visitFields(PlaceTasks &Value, Call &&Visit) {
  Visit(Value.m_Job, Value.m_Name, Value.m_Service, Value.m_Spec,
        Value.m_Required, Value.m_Tasks, Value.m_ExpectedRunTime,
        Value.m_StartWithin, Value.m_OrderWithin, Value.m_Remaining,
        Value.m_MaxWait);
}
template <typename Call> void visitFields(RunResult &Value, Call &&Visit) {
  Visit(Value.m_Job, Value.m_Index, Value.m_Run, Value.m_RunOutcome,
        Value.m_RunTime, Value.m_StartMargin);
}
template <typename Call> void visitFields(RunResults &Value, Call &&Visit) {
  Visit(Value.m_RunResults, Value.m_Report);
}
template <typename Call>
void visitFields(DeadlineMissForecast &Value, Call &&Visit) {
  Visit(Value.m_Job, Value.m_Index, Value.m_Run);
}
template <typename Call> void visitFields(FindJob &Value, Call &&Visit) {
  Visit(Value.m_Request, Value.m_Asker, Value.m_Asked, Value.m_Name,
        Value.m_Cancels);
}
template <typename Call> void visitFields(ReportInterval &Value, Call &&Visit) {
  Visit(Value.m_Period);
}
template <typename Call> void visitFields(FindJobReply &Value, Call &&Visit) {
  Visit(Value.m_Request, Value.m_Asker, Value.m_Asked, Value.m_WasFound);
}
template <typename Call> void visitFields(ServiceRoom &Value, Call &&Visit) {
  Visit(Value.m_Service, Value.m_FreeMilliCores, Value.m_CapacityMilliCores,
        Value.m_Racks);
}
template <typename Call> void visitFields(GroupWork &Value, Call &&Visit) {
  Visit(Value.m_Route, Value.m_FailureDomain, Value.m_WidthClass,
        Value.m_Priority, Value.m_OfferedJobs, Value.m_ServedJobs,
        Value.m_OfferedWork);
}
template <typename Call> void visitFields(PlacerState &Value, Call &&Visit) {
  Visit(Value.m_IsAccepting, Value.m_Rooms, Value.m_GroupWork);
}
template <typename Call> void visitFields(BatchSpec &Value, Call &&Visit) {
  Visit(Value.m_Name, Value.m_BackendName, Value.m_Route, Value.m_Service,
        Value.m_Spec, Value.m_Tasks, Value.m_Required, Value.m_EstimatedRunTime,
        Value.m_Rack, Value.m_Deadline, Value.m_Priority, Value.m_MaxAttempts,
        Value.m_SlackFactor, Value.m_TargetLatency,
        Value.m_ConfigurationVersion, Value.m_Age, Value.m_OriginDomain,
        Value.m_WasRefused);
}
template <typename Call> void visitFields(ForwardJob &Value, Call &&Visit) {
  Visit(Value.m_Request, Value.m_Spec);
}
template <typename Call>
void visitFields(ForwardedJobAnswer &Value, Call &&Visit) {
  Visit(Value.m_Request, Value.m_Code, Value.m_RetryAfter, Value.m_State);
}
template <typename Call>
void visitFields(CancelForwardedJob &Value, Call &&Visit) {
  Visit(Value.m_Request);
}
template <typename Call> void visitFields(Incarnation &Value, Call &&Visit) {
  Visit(Value.m_Value);
}
template <typename Call> void visitFields(CreditId &Value, Call &&Visit) {
  Visit(Value.m_Value);
}
template <typename Call> void visitFields(JobId &Value, Call &&Visit) {
  Visit(Value.m_Entry, Value.m_Sequence);
}
template <typename Call> void visitFields(TaskId &Value, Call &&Visit) {
  Visit(Value.m_Job, Value.m_Index);
}

/// Whether a type with one field is encoded as that number, without an array.
template <typename T> struct IsEncodedAsNumber : std::false_type {};
template <> struct IsEncodedAsNumber<Incarnation> : std::true_type {};
template <> struct IsEncodedAsNumber<CreditId> : std::true_type {};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PROTOCOL_INTERNAL_FIELDS_H
