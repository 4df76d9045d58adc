#ifndef CYCLAMENWALK_PROTOCOL_INTERNAL_FIELDS_H
#define CYCLAMENWALK_PROTOCOL_INTERNAL_FIELDS_H

#include "message/types/messages.h"

namespace cyclamenwalk {

/// Lists the fields of each message once, for packing and unpacking alike.
/// \p All is called with every field in the order of the wire format.
template <typename Call> void fields(Hello &M, Call &&All) {
  All(M.m_Name, M.m_Address, M.m_FailureDomain, M.m_Role, M.m_IsReply);
}
template <typename Call> void fields(Heartbeat &M, Call &&All) {
  All(M.m_RequestsResend, M.m_IsNotReceiving);
}
template <typename Call> void fields(Goodbye &, Call &&All) { All(); }
template <typename Call> void fields(BackendState &M, Call &&All) {
  All(M.m_Service, M.m_Slots, M.m_Cpus, M.m_MemoryBytes, M.m_IsLeaving);
}
template <typename Call> void fields(Credit &M, Call &&All) {
  All(M.m_Id, M.m_AllowsLongTasks);
}
template <typename Call> void fields(CreditGrant &M, Call &&All) {
  All(M.m_Credits);
}
template <typename Call> void fields(CreditWithdraw &M, Call &&All) {
  All(M.m_Credits);
}
template <typename Call> void fields(Demand &M, Call &&All) {
  All(M.m_Waiting, M.m_FirstOrderWithin);
}
template <typename Call> void fields(Start &M, Call &&All) {
  All(M.m_Task, M.m_Credit, M.m_ConfigurationVersion, M.m_Service, M.m_Kind,
      M.m_Payload, M.m_Remaining, M.m_IsLong, M.m_Demand);
}
template <typename Call> void fields(StartRefused &M, Call &&All) {
  All(M.m_Task, M.m_Credit, M.m_Code);
}
template <typename Call> void fields(TaskDone &M, Call &&All) {
  All(M.m_Task, M.m_Credit, M.m_Code, M.m_Answer, M.m_RunTime, M.m_Credits);
}
template <typename Call> void fields(StopJob &M, Call &&All) { All(M.m_Job); }
template <typename Call> void fields(EntryAddress &M, Call &&All) {
  All(M.m_Name, M.m_Incarnation, M.m_Address, M.m_HttpAddress,
      M.m_FailureDomain);
}
template <typename Call> void fields(EntryList &M, Call &&All) {
  All(M.m_Entries);
}
template <typename Call> void fields(ConfigurationNotice &M, Call &&All) {
  All(M.m_Version);
}
template <typename Call> void fields(ConfigurationRequest &M, Call &&All) {
  All(M.m_Version);
}
template <typename Call> void fields(ConfigurationBody &M, Call &&All) {
  All(M.m_Version, M.m_Text);
}
template <typename Call> void fields(Resources &M, Call &&All) {
  All(M.m_MilliCores, M.m_MemoryMb, M.m_Gpus);
}
template <typename Call> void fields(WaitingWork &M, Call &&All) {
  All(M.m_OrderWithin, M.m_MilliCores);
}
template <typename Call> void fields(WorkerReport &M, Call &&All) {
  All(M.m_Service, M.m_Rack, M.m_Kind, M.m_Capacity, M.m_Free, M.m_IsAccepting,
      M.m_SlowdownPercent, M.m_MeanRemaining, M.m_Waiting, M.m_PlacementsSeen);
}
template <typename Call> void fields(PlacedTask &M, Call &&All) {
  All(M.m_Index, M.m_Run);
}
template <typename Call> void fields(PlaceTasks &M, Call &&All) {
  All(M.m_Job, M.m_Name, M.m_Service, M.m_Spec, M.m_Required, M.m_Tasks,
      M.m_ExpectedRunTime, M.m_StartWithin, M.m_OrderWithin, M.m_Remaining,
      M.m_MaxWait);
}
template <typename Call> void fields(RunResult &M, Call &&All) {
  All(M.m_Job, M.m_Index, M.m_Run, M.m_RunOutcome, M.m_RunTime,
      M.m_StartMargin);
}
template <typename Call> void fields(RunResults &M, Call &&All) {
  All(M.m_RunResults, M.m_Report);
}
template <typename Call> void fields(DeadlineMissForecast &M, Call &&All) {
  All(M.m_Job, M.m_Index, M.m_Run);
}
template <typename Call> void fields(CancelJobByName &M, Call &&All) {
  All(M.m_Name);
}
template <typename Call> void fields(ReportInterval &M, Call &&All) {
  All(M.m_Period);
}
template <typename Call> void fields(CancelJobByNameReply &M, Call &&All) {
  All(M.m_Name, M.m_WasFound);
}
template <typename Call> void fields(Incarnation &M, Call &&All) {
  All(M.m_Value);
}
template <typename Call> void fields(CreditId &M, Call &&All) {
  All(M.m_Value);
}
template <typename Call> void fields(JobId &M, Call &&All) {
  All(M.m_Entry, M.m_Sequence);
}
template <typename Call> void fields(TaskId &M, Call &&All) {
  All(M.m_Job, M.m_Index);
}

/// Identifiers that hold one number travel as that number.
template <typename T> struct IsPlainNumber : std::false_type {};
template <> struct IsPlainNumber<Incarnation> : std::true_type {};
template <> struct IsPlainNumber<CreditId> : std::true_type {};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PROTOCOL_INTERNAL_FIELDS_H
