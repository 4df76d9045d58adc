#include "request/internal/claims.h"

#include <algorithm>
#include <set>

namespace cyclamenwalk {

namespace {

RowKey claimRow(const std::string &Key) { return {"claims", Key}; }

} // namespace

Claims::Claims(RequestSettings Settings, ClaimRowCodec Codec,
               const IChartSource &Charts, ITableService &Tables,
               ITimerService &Timers)
    : m_Settings(Settings), m_Codec(std::move(Codec)), m_Tables(Tables),
      m_Timers(Timers), m_Chart(bindChart(Charts)) {}

Claims::~Claims() { m_Timers.cancel(m_Timer); }

Claims::Chart Claims::bindChart(const IChartSource &Charts) {
  auto HasAttemptsLeft = [this](const Claim &C) {
    return C.m_Attempts < m_Settings.m_MaxClaimAttempts;
  };
  auto RequeueClaim = [this](Claim &C) {
    m_Queue.push_back(C.shared_from_this());
    scheduleWrite();
  };
  return Chart(Charts.chart("claim"), {{"hasAttemptsLeft", HasAttemptsLeft}},
               {{"requeueClaim", RequeueClaim},
                {"readRow", [this](Claim &C) { readRow(C); }},
                {"scheduleRowRead", [this](Claim &C) { scheduleRowRead(C); }}});
}

void Claims::claim(const std::string &Key, JobId Job, ClaimCallback Done) {
  auto NewClaim = std::make_shared<Claim>();
  NewClaim->m_State = m_Chart.initial();
  NewClaim->m_Key = Key;
  NewClaim->m_Job = Job;
  NewClaim->m_Done = std::move(Done);
  m_Queue.push_back(NewClaim);
  scheduleWrite();
}

void Claims::fire(const Pointer &Subject, ClaimEvent Event) {
  m_Chart.fire(*Subject, Event);
  bool IsFinished = Subject->m_State == ClaimState::Granted ||
                    Subject->m_State == ClaimState::Taken ||
                    Subject->m_State == ClaimState::Unavailable;
  if (!IsFinished)
    return;
  Subject->m_Done({Subject->m_State, Subject->m_Owner});
}

void Claims::scheduleWrite() {
  if (m_Timer != 0)
    return;
  m_Timer = m_Timers.subscribe(m_Settings.m_ClaimBatchDelay, [this] {
    m_Timer = 0;
    writeBatch();
  });
}

/// Takes the claims for the next transaction from the queue. A batch contains
/// each key at most once, since two inserts of a key in one transaction would
/// both be reported as written.
std::vector<Claims::Pointer> Claims::takeBatch() {
  std::vector<Pointer> Batch;
  std::set<std::string> Keys;
  std::deque<Pointer> Postponed;
  while (!m_Queue.empty() && Batch.size() < m_Settings.m_MaxClaimBatch) {
    Pointer Next = m_Queue.front();
    m_Queue.pop_front();
    bool IsNewKey = Keys.insert(Next->m_Key).second;
    if (IsNewKey)
      Batch.push_back(Next);
    else
      Postponed.push_back(Next);
  }
  m_Queue.insert(m_Queue.begin(), Postponed.begin(), Postponed.end());
  return Batch;
}

void Claims::writeBatch() {
  std::vector<Pointer> Batch = takeBatch();
  Transaction Inserts;
  for (const Pointer &Next : Batch) {
    ++Next->m_Attempts;
    RowKey Key = claimRow(Next->m_Key);
    Inserts.m_Conditions.push_back({Key, std::nullopt});
    Inserts.m_Writes.push_back({Key, m_Codec.m_Encode({Next->m_Job})});
    m_Chart.fire(*Next, ClaimEvent::Write);
  }
  if (!m_Queue.empty())
    scheduleWrite();
  std::weak_ptr<bool> Alive = m_Alive;
  m_Tables.transact(std::move(Inserts),
                    [this, Alive, Batch](const TransactionResult &Result) {
                      if (!Alive.expired())
                        handleBatchResult(Batch, Result);
                    });
}

void Claims::handleBatchResult(const std::vector<Pointer> &Batch,
                               const TransactionResult &Result) {
  for (const Pointer &Pending : Batch) {
    const auto &Conflicts = Result.m_Conflicts;
    bool HasConflict = std::find(Conflicts.begin(), Conflicts.end(),
                                 claimRow(Pending->m_Key)) != Conflicts.end();
    if (Result.m_Status == StoreStatus::Ok)
      fire(Pending, ClaimEvent::Written);
    else if (Result.m_Status == StoreStatus::Unavailable)
      fire(Pending, ClaimEvent::Unavailable);
    else
      fire(Pending,
           HasConflict ? ClaimEvent::Conflict : ClaimEvent::OtherConflict);
  }
}

void Claims::readRow(Claim &Pending) {
  Pointer SharedClaim = Pending.shared_from_this();
  std::weak_ptr<bool> Alive = m_Alive;
  m_Tables.read(claimRow(Pending.m_Key),
                [this, Alive, SharedClaim](const ReadResult &Result) {
                  if (!Alive.expired())
                    receiveRow(SharedClaim, Result);
                });
}

void Claims::scheduleRowRead(Claim &Pending) {
  ++Pending.m_Attempts;
  Pointer SharedClaim = Pending.shared_from_this();
  std::weak_ptr<bool> Alive = m_Alive;
  m_Timers.subscribe(m_Settings.m_ClaimRetryDelay, [this, Alive, SharedClaim] {
    if (!Alive.expired())
      readRow(*SharedClaim);
  });
}

void Claims::receiveRow(const Pointer &Pending, const ReadResult &Result) {
  if (Result.m_Status != StoreStatus::Ok) {
    fire(Pending, ClaimEvent::Unavailable);
    return;
  }
  if (!Result.m_Row) {
    fire(Pending, ClaimEvent::NoRow);
    return;
  }
  auto Row = m_Codec.m_Decode(Result.m_Row->m_Value);
  Pending->m_Owner = Row ? Row->m_Job : JobId{};
  bool IsOwnRow = Pending->m_Owner == Pending->m_Job;
  fire(Pending, IsOwnRow ? ClaimEvent::OwnRow : ClaimEvent::OtherRow);
}

void Claims::release(const std::string &Key, JobId Job) {
  std::weak_ptr<bool> Alive = m_Alive;
  m_Tables.read(claimRow(Key),
                [this, Alive, Key, Job](const ReadResult &Result) {
                  if (Alive.expired() || !Result.m_Row)
                    return;
                  auto Row = m_Codec.m_Decode(Result.m_Row->m_Value);
                  if (!Row || Row->m_Job != Job)
                    return;
                  m_Tables.transact({{{claimRow(Key), Result.m_Row->m_Version}},
                                     {{claimRow(Key), std::nullopt}}},
                                    [](const TransactionResult &) {});
                });
}

} // namespace cyclamenwalk
