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
  auto MayTryAgain = [this](const Claim &C) {
    return C.m_Attempts < m_Settings.m_MaxClaimAttempts;
  };
  auto QueueAgain = [this](Claim &C) {
    m_Queue.push_back(C.shared_from_this());
    gather();
  };
  return Chart(Charts.chart("claim"), {{"mayTryAgain", MayTryAgain}},
               {{"queueAgain", QueueAgain},
                {"readRow", [this](Claim &C) { readRow(C); }},
                {"readRowLater", [this](Claim &C) { readRowLater(C); }}});
}

void Claims::claim(const std::string &Key, JobId Job, ClaimDone Done) {
  auto Added = std::make_shared<Claim>();
  Added->m_State = m_Chart.initial();
  Added->m_Key = Key;
  Added->m_Job = Job;
  Added->m_Done = std::move(Done);
  m_Queue.push_back(Added);
  gather();
}

void Claims::fire(const Pointer &Known, ClaimEvent What) {
  m_Chart.fire(*Known, What);
  bool IsOver = Known->m_State == ClaimState::Granted ||
                Known->m_State == ClaimState::Taken ||
                Known->m_State == ClaimState::Unavailable;
  if (!IsOver)
    return;
  Known->m_Done({Known->m_State, Known->m_Owner});
}

void Claims::gather() {
  if (m_Timer != 0)
    return;
  m_Timer = m_Timers.subscribe(m_Settings.m_ClaimGather, [this] {
    m_Timer = 0;
    writeBatch();
  });
}

/// The next claims to write together. A key is in a batch only once: two
/// inserts of it in one transaction would both count as written.
std::vector<Claims::Pointer> Claims::takeBatch() {
  std::vector<Pointer> Batch;
  std::set<std::string> Keys;
  std::deque<Pointer> Later;
  while (!m_Queue.empty() && Batch.size() < m_Settings.m_MaxClaimBatch) {
    Pointer Next = m_Queue.front();
    m_Queue.pop_front();
    bool IsFirst = Keys.insert(Next->m_Key).second;
    if (IsFirst)
      Batch.push_back(Next);
    else
      Later.push_back(Next);
  }
  m_Queue.insert(m_Queue.begin(), Later.begin(), Later.end());
  return Batch;
}

void Claims::writeBatch() {
  std::vector<Pointer> Batch = takeBatch();
  Transaction Insert;
  for (const Pointer &Next : Batch) {
    ++Next->m_Attempts;
    RowKey Key = claimRow(Next->m_Key);
    Insert.m_Conditions.push_back({Key, std::nullopt});
    Insert.m_Writes.push_back({Key, m_Codec.m_Encode({Next->m_Job})});
    m_Chart.fire(*Next, ClaimEvent::Write);
  }
  if (!m_Queue.empty())
    gather();
  std::weak_ptr<bool> Alive = m_Alive;
  m_Tables.transact(std::move(Insert),
                    [this, Alive, Batch](const TransactionResult &Result) {
                      if (!Alive.expired())
                        settleBatch(Batch, Result);
                    });
}

void Claims::settleBatch(const std::vector<Pointer> &Batch,
                         const TransactionResult &Result) {
  for (const Pointer &Known : Batch) {
    const auto &Conflicts = Result.m_Conflicts;
    bool IsInConflict = std::find(Conflicts.begin(), Conflicts.end(),
                                  claimRow(Known->m_Key)) != Conflicts.end();
    if (Result.m_Status == StoreStatus::Ok)
      fire(Known, ClaimEvent::Written);
    else if (Result.m_Status == StoreStatus::Unavailable)
      fire(Known, ClaimEvent::Unavailable);
    else
      fire(Known,
           IsInConflict ? ClaimEvent::Conflict : ClaimEvent::OtherConflict);
  }
}

void Claims::readRow(Claim &Known) {
  Pointer ProcessIdentity = Known.shared_from_this();
  std::weak_ptr<bool> Alive = m_Alive;
  m_Tables.read(claimRow(Known.m_Key),
                [this, Alive, ProcessIdentity](const ReadResult &Result) {
                  if (!Alive.expired())
                    receiveRow(ProcessIdentity, Result);
                });
}

void Claims::readRowLater(Claim &Known) {
  ++Known.m_Attempts;
  Pointer ProcessIdentity = Known.shared_from_this();
  std::weak_ptr<bool> Alive = m_Alive;
  m_Timers.subscribe(m_Settings.m_ClaimPause, [this, Alive, ProcessIdentity] {
    if (!Alive.expired())
      readRow(*ProcessIdentity);
  });
}

void Claims::receiveRow(const Pointer &Known, const ReadResult &Result) {
  if (Result.m_Status != StoreStatus::Ok) {
    fire(Known, ClaimEvent::Unavailable);
    return;
  }
  if (!Result.m_Row) {
    fire(Known, ClaimEvent::NoRow);
    return;
  }
  auto Row = m_Codec.m_Decode(Result.m_Row->m_Value);
  Known->m_Owner = Row ? Row->m_Job : JobId{};
  bool IsOwn = Known->m_Owner == Known->m_Job;
  fire(Known, IsOwn ? ClaimEvent::OwnRow : ClaimEvent::OtherRow);
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
