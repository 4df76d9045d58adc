#include "budget/connectiontable.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

/// A connection that has just been opened, or answered, is about to send a
/// request.
constexpr Duration MinVictimWait = milliseconds(100);
/// The parts of a body arrive more frequently, unless its sender has stopped.
constexpr Duration MinVictimStall = milliseconds(250);
constexpr Duration MinQuietTime = seconds(1);
constexpr Duration BodyCheckPeriod = seconds(1);
constexpr Duration DefaultCheckPeriod = seconds(3);

} // namespace

ConnectionTable::List &ConnectionTable::listOf(ConnectionPhase Phase) {
  return m_Lists.at(static_cast<std::size_t>(Phase));
}

const ConnectionTable::List &
ConnectionTable::listOf(ConnectionPhase Phase) const {
  return m_Lists.at(static_cast<std::size_t>(Phase));
}

std::size_t ConnectionTable::count(ConnectionPhase Phase) const {
  return listOf(Phase).size();
}

void ConnectionTable::add(ConnectionNumber Number, TimePoint Now) {
  Connection Added;
  Added.m_Number = Number;
  Added.m_PhaseStart = Now;
  Added.m_NextCheck = firstCheck(Added);
  List &Waiting = listOf(ConnectionPhase::Waiting);
  m_Connections[Number] = Waiting.insert(Waiting.end(), Added);
}

void ConnectionTable::remove(ConnectionNumber Number) {
  auto It = m_Connections.find(Number);
  if (It == m_Connections.end())
    return;
  listOf(It->second->m_Phase).erase(It->second);
  m_Connections.erase(It);
}

TimePoint ConnectionTable::firstCheck(const Connection &Current) const {
  switch (Current.m_Phase) {
  case ConnectionPhase::Receiving:
    return Current.m_PhaseStart + BodyCheckPeriod;
  case ConnectionPhase::Closing:
    return Current.m_PhaseStart + m_Limits.m_LingerTime;
  default:
    return Current.m_PhaseStart + (m_Limits.m_HeaderTimeout > Duration::zero()
                                       ? m_Limits.m_HeaderTimeout
                                       : DefaultCheckPeriod);
  }
}

void ConnectionTable::setPhase(ConnectionNumber Number, ConnectionPhase Phase,
                               TimePoint Now) {
  auto It = m_Connections.find(Number);
  if (It == m_Connections.end())
    return;
  Connection &Current = *It->second;
  List &Target = listOf(Phase);
  Target.splice(Target.end(), listOf(Current.m_Phase), It->second);
  Current.m_Phase = Phase;
  Current.m_PhaseStart = Now;
  Current.m_LastBytes = Now;
  Current.m_BodyBytes = 0;
  Current.m_NextCheck = firstCheck(Current);
}

void ConnectionTable::recordBytes(ConnectionNumber Number, std::size_t Bytes,
                                  TimePoint Now) {
  auto It = m_Connections.find(Number);
  if (It == m_Connections.end() ||
      It->second->m_Phase != ConnectionPhase::Receiving)
    return;
  It->second->m_BodyBytes += Bytes;
  It->second->m_LastBytes = Now;
  List &Receiving = listOf(ConnectionPhase::Receiving);
  Receiving.splice(Receiving.end(), Receiving, It->second);
}

std::optional<CloseReason>
ConnectionTable::checkWaiting(Connection &Current, TimePoint Now,
                              const HeaderTest &HasHeaderBegun) {
  Duration Waited = Now - Current.m_PhaseStart;
  bool IsHeaderLimited = m_Limits.m_HeaderTimeout > Duration::zero();
  if (IsHeaderLimited && Waited >= m_Limits.m_HeaderTimeout &&
      HasHeaderBegun(Current.m_Number, Current.m_PhaseStart))
    return CloseReason::HeaderTooSlow;
  bool IsIdleLimited = m_Limits.m_IdleTimeout > Duration::zero();
  if (IsIdleLimited && Waited >= m_Limits.m_IdleTimeout)
    return CloseReason::Idle;
  return std::nullopt;
}

std::optional<CloseReason>
ConnectionTable::checkReceiving(Connection &Current, TimePoint Now) const {
  Duration Received = Now - Current.m_PhaseStart - m_Limits.m_HeaderTimeout;
  double Required = std::chrono::duration<double>(Received).count() *
                    static_cast<double>(m_Limits.m_BodyBytesPerSecond);
  if (static_cast<double>(Current.m_BodyBytes) < Required)
    return CloseReason::BodyTooSlow;
  return std::nullopt;
}

std::optional<CloseReason>
ConnectionTable::check(Connection &Current, TimePoint Now,
                       const HeaderTest &HasHeaderBegun) {
  switch (Current.m_Phase) {
  case ConnectionPhase::Waiting:
    return checkWaiting(Current, Now, HasHeaderBegun);
  case ConnectionPhase::Receiving:
    return checkReceiving(Current, Now);
  case ConnectionPhase::Writing:
    if (m_Limits.m_WriteTimeout > Duration::zero() &&
        Now - Current.m_PhaseStart >= m_Limits.m_WriteTimeout)
      return CloseReason::ReaderTooSlow;
    return std::nullopt;
  case ConnectionPhase::Closing:
    return CloseReason::LingerEnded;
  default:
    return std::nullopt;
  }
}

std::vector<ConnectionToClose>
ConnectionTable::takeOverdue(TimePoint Now, const HeaderTest &HasHeaderBegun) {
  std::vector<ConnectionToClose> Overdue;
  for (ConnectionPhase Phase :
       {ConnectionPhase::Waiting, ConnectionPhase::Receiving,
        ConnectionPhase::Writing, ConnectionPhase::Closing})
    for (Connection &Current : listOf(Phase)) {
      if (Current.m_NextCheck > Now)
        continue;
      auto Reason = check(Current, Now, HasHeaderBegun);
      Current.m_NextCheck = Now + (firstCheck(Current) - Current.m_PhaseStart);
      if (Reason)
        Overdue.push_back({Current.m_Number, *Reason});
    }
  return Overdue;
}

std::vector<ConnectionNumber> ConnectionTable::listQuiet(TimePoint Now) const {
  std::vector<ConnectionNumber> Quiet;
  for (const Connection &Current : listOf(ConnectionPhase::Waiting)) {
    if (Now - Current.m_PhaseStart < MinQuietTime)
      break;
    Quiet.push_back(Current.m_Number);
  }
  for (const Connection &Current : listOf(ConnectionPhase::Receiving)) {
    if (Now - Current.m_LastBytes < MinQuietTime)
      break;
    Quiet.push_back(Current.m_Number);
  }
  return Quiet;
}

std::optional<ConnectionPhase>
ConnectionTable::phaseOf(ConnectionNumber Number) const {
  auto It = m_Connections.find(Number);
  if (It == m_Connections.end())
    return std::nullopt;
  return It->second->m_Phase;
}

std::optional<ConnectionNumber>
ConnectionTable::chooseVictim(TimePoint Now) const {
  const List &Waiting = listOf(ConnectionPhase::Waiting);
  if (!Waiting.empty() && Now - Waiting.front().m_PhaseStart >= MinVictimWait)
    return Waiting.front().m_Number;
  const List &Receiving = listOf(ConnectionPhase::Receiving);
  if (!Receiving.empty() &&
      Now - Receiving.front().m_LastBytes >= MinVictimStall)
    return Receiving.front().m_Number;
  return std::nullopt;
}

} // namespace cyclamenwalk
