#include "membership/internal/entryregistry.h"

#include "core/log.h"

#include <algorithm>
#include <set>

namespace cyclamenwalk {

namespace {

const char *const EntriesTable = "entries";

} // namespace

EntryRegistry::EntryRegistry(EntryAddress Self, RegistrySettings Settings,
                             EntryRowCodec Codec, const IChartSource &Charts,
                             ITableService &Tables, ITimerService &Timers)
    : m_Settings(Settings), m_Codec(std::move(Codec)), m_Tables(Tables),
      m_Timers(Timers), m_Chart(bindChart(Charts)) {
  m_Registration.m_State = m_Chart.initial();
  m_Registration.m_Row.m_Address = std::move(Self);
}

EntryRegistry::~EntryRegistry() { m_Timers.cancel(m_Timer); }

EntryRegistry::Chart EntryRegistry::bindChart(const IChartSource &Charts) {
  return Chart(Charts.chart("registration"), {},
               {{"writeRow", [this](Registration &) { writeRow(); }},
                {"deleteRow", [this](Registration &) { deleteRow(); }}});
}

void EntryRegistry::start(ChangeHook Hook) {
  m_OnChange = std::move(Hook);
  m_Timer =
      m_Timers.subscribeEvery(m_Settings.m_RenewPeriod, [this] { renew(); });
  renew();
  notifyIfChanged();
}

void EntryRegistry::leave() {
  m_Chart.fire(m_Registration, RegistrationEvent::Leave);
}

void EntryRegistry::renew() {
  m_Chart.fire(m_Registration, RegistrationEvent::RenewDue);
  scanRows();
  deleteExpiredRows();
  notifyIfChanged();
}

void EntryRegistry::writeRow() {
  ++m_Registration.m_Row.m_Renewals;
  RowKey Key{EntriesTable, m_Registration.m_Row.m_Address.m_Name};
  std::weak_ptr<bool> Alive = m_Alive;
  m_Tables.transact({{}, {{Key, m_Codec.m_Encode(m_Registration.m_Row)}}},
                    [this, Alive](const TransactionResult &Result) {
                      if (Alive.expired())
                        return;
                      bool IsOk = Result.m_Status == StoreStatus::Ok;
                      m_Chart.fire(m_Registration,
                                   IsOk ? RegistrationEvent::Written
                                        : RegistrationEvent::Failed);
                    });
}

void EntryRegistry::deleteRow() {
  RowKey Key{EntriesTable, m_Registration.m_Row.m_Address.m_Name};
  std::weak_ptr<bool> Alive = m_Alive;
  m_Tables.transact(
      {{}, {{Key, std::nullopt}}},
      [this, Alive](const TransactionResult &Result) {
        if (!Alive.expired() && Result.m_Status == StoreStatus::Ok)
          m_Chart.fire(m_Registration, RegistrationEvent::Deleted);
      });
}

void EntryRegistry::refresh() {
  if (m_Timers.now() - m_ScannedAt >= m_Settings.m_MinScanInterval)
    scanRows();
}

void EntryRegistry::scanRows() {
  m_ScannedAt = m_Timers.now();
  std::weak_ptr<bool> Alive = m_Alive;
  m_Tables.scan(EntriesTable, "", [this, Alive](const ScanResult &Result) {
    if (Alive.expired() || Result.m_Status != StoreStatus::Ok)
      return;
    recordScan();
    for (const KeyedRow &Row : Result.m_Rows)
      updateFromRow(Row);
    removeMissing(Result.m_Rows);
    m_IsComplete = true;
    notifyIfChanged();
  });
}

/// Entries cannot renew their rows while the store is down; after that they get
/// the lease time again.
void EntryRegistry::recordScan() {
  TimePoint Now = m_Timers.now();
  bool WasStoreDown = Now - m_RowsReadAt >= m_Settings.m_LeaseTimeout / 2;
  if (WasStoreDown && m_IsComplete)
    for (auto &NamedEntry : m_Others)
      NamedEntry.second.m_LastRenewedAt = Now;
  m_RowsReadAt = Now;
}

void EntryRegistry::updateFromRow(const KeyedRow &Row) {
  auto Decoded = m_Codec.m_Decode(Row.m_Row.m_Value);
  if (!Decoded || Row.m_Key == m_Registration.m_Row.m_Address.m_Name)
    return;
  OtherEntry &Entry = m_Others[Row.m_Key];
  if (Entry.m_IsLinked) {
    // Its removal then shows that the entry has left.
    if (Entry.m_Row.m_Address == Decoded->m_Address) {
      Entry.m_Row = *Decoded;
      Entry.m_RowVersion = Row.m_Row.m_Version;
    }
    return;
  }
  bool HasChanged = Entry.m_RowVersion == 0 ||
                    Entry.m_Row.m_Renewals != Decoded->m_Renewals ||
                    Entry.m_Row.m_Address != Decoded->m_Address;
  if (HasChanged)
    Entry.m_LastRenewedAt = m_Timers.now();
  Entry.m_Row = *Decoded;
  Entry.m_RowVersion = Row.m_Row.m_Version;
}

void EntryRegistry::removeMissing(const std::vector<KeyedRow> &Rows) {
  std::set<std::string> StoredNames;
  for (const KeyedRow &Row : Rows)
    StoredNames.insert(Row.m_Key);
  std::erase_if(m_Others, [&](const auto &NamedEntry) {
    bool IsFromStore = NamedEntry.second.m_RowVersion != 0;
    return IsFromStore && !NamedEntry.second.m_IsLinked &&
           !StoredNames.count(NamedEntry.first);
  });
}

void EntryRegistry::deleteExpiredRows() {
  auto IsDeletionDue = [this](const OtherEntry &Entry) {
    return !Entry.m_IsLinked &&
           m_Timers.now() - Entry.m_LastRenewedAt >= m_Settings.m_DeletionDelay;
  };
  for (const auto &NamedEntry : m_Others) {
    if (!IsDeletionDue(NamedEntry.second) ||
        NamedEntry.second.m_RowVersion == 0)
      continue;
    RowKey Key{EntriesTable, NamedEntry.first};
    m_Tables.transact(
        {{{Key, NamedEntry.second.m_RowVersion}}, {{Key, std::nullopt}}},
        [](const TransactionResult &) {});
  }
  std::erase_if(m_Others, [&](const auto &NamedEntry) {
    return IsDeletionDue(NamedEntry.second) &&
           NamedEntry.second.m_RowVersion == 0;
  });
}

void EntryRegistry::recordAnnouncement(const EntryAddress &Entry) {
  recordAddress(Entry);
  notifyIfChanged();
}

void EntryRegistry::recordLinkUp(const EntryAddress &Entry) {
  recordAddress(Entry);
  m_Others[Entry.m_Name].m_IsLinked = true;
  notifyIfChanged();
}

void EntryRegistry::recordLinkDown(const EntryAddress &Entry) {
  auto It = m_Others.find(Entry.m_Name);
  bool IsCurrent =
      It != m_Others.end() &&
      It->second.m_Row.m_Address.m_Incarnation == Entry.m_Incarnation;
  if (!IsCurrent)
    return;
  It->second.m_IsLinked = false;
  It->second.m_LastRenewedAt = m_Timers.now();
}

void EntryRegistry::mergeMembers(const std::vector<EntryAddress> &Members) {
  for (const EntryAddress &Member : Members) {
    auto It = m_Others.find(Member.m_Name);
    if (It == m_Others.end() || hasExpired(It->second))
      recordAddress(Member);
  }
  notifyIfChanged();
}

void EntryRegistry::recordCompleteList() {
  m_IsComplete = true;
  notifyIfChanged();
}

void EntryRegistry::recordAddress(const EntryAddress &Address) {
  if (Address.m_Name == m_Registration.m_Row.m_Address.m_Name)
    return;
  OtherEntry &Entry = m_Others[Address.m_Name];
  if (Entry.m_Row.m_Address != Address)
    Entry.m_RowVersion = 0;
  Entry.m_Row.m_Address = Address;
  Entry.m_LastRenewedAt = m_Timers.now();
}

bool EntryRegistry::hasExpired(const OtherEntry &Entry) const {
  return !Entry.m_IsLinked &&
         m_Timers.now() - Entry.m_LastRenewedAt >= m_Settings.m_LeaseTimeout;
}

/// An entry that has expired without the rows being read may live.
bool EntryRegistry::isComplete() const {
  auto IsUnknown = [this](const auto &NamedEntry) {
    const OtherEntry &Entry = NamedEntry.second;
    return hasExpired(Entry) &&
           m_RowsReadAt - Entry.m_LastRenewedAt < m_Settings.m_LeaseTimeout / 2;
  };
  return m_IsComplete &&
         std::none_of(m_Others.begin(), m_Others.end(), IsUnknown);
}

std::vector<EntryAddress> EntryRegistry::members() const {
  std::vector<EntryAddress> Members;
  bool IsMember = m_Registration.m_State != RegistrationState::Leaving &&
                  m_Registration.m_State != RegistrationState::Left;
  if (IsMember)
    Members.push_back(m_Registration.m_Row.m_Address);
  for (const auto &NamedEntry : m_Others)
    if (!hasExpired(NamedEntry.second))
      Members.push_back(NamedEntry.second.m_Row.m_Address);
  std::sort(Members.begin(), Members.end(),
            [](const EntryAddress &Left, const EntryAddress &Right) {
              return Left.m_Incarnation < Right.m_Incarnation;
            });
  return Members;
}

bool EntryRegistry::isStoreAvailable() const {
  return m_Registration.m_State == RegistrationState::Member;
}

void EntryRegistry::notifyIfChanged() {
  auto Members = members();
  bool IsNowComplete = m_IsComplete && !m_IsCompletionNotified;
  if (Members == m_NotifiedMembers && !IsNowComplete)
    return;
  m_NotifiedMembers = Members;
  m_IsCompletionNotified = m_IsComplete;
  logEvent(
      LogLevel::Info, "entries.changed",
      {{"count", Members.size()}, {"complete", m_IsComplete ? "yes" : "no"}});
  if (m_OnChange)
    m_OnChange(m_NotifiedMembers);
}

} // namespace cyclamenwalk
