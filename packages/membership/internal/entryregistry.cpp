#include "membership/internal/entryregistry.h"

#include "core/log.h"

#include <algorithm>
#include <set>

namespace cyclamenwalk {

namespace {

const char *const EntriesTable = "entries";

} // namespace

EntryRegistry::EntryRegistry(EntryAddress Own, RegistrySettings Settings,
                             EntryRowCodec Codec, const IChartSource &Charts,
                             ITableService &Tables, ITimerService &Timers)
    : m_Settings(Settings), m_Codec(std::move(Codec)), m_Tables(Tables),
      m_Timers(Timers), m_Chart(bindChart(Charts)) {
  m_Own.m_State = m_Chart.initial();
  m_Own.m_Row.m_Address = std::move(Own);
}

EntryRegistry::~EntryRegistry() { m_Timers.cancel(m_Timer); }

EntryRegistry::Chart EntryRegistry::bindChart(const IChartSource &Charts) {
  return Chart(Charts.chart("registration"), {},
               {{"writeRow", [this](Registration &) { writeRow(); }},
                {"deleteRow", [this](Registration &) { deleteRow(); }}});
}

void EntryRegistry::start(Changed Hook) {
  m_Changed = std::move(Hook);
  m_Timer =
      m_Timers.subscribeEvery(m_Settings.m_RenewPeriod, [this] { renew(); });
  renew();
  announceChange();
}

void EntryRegistry::leave() { m_Chart.fire(m_Own, RegistrationEvent::Leave); }

void EntryRegistry::renew() {
  m_Chart.fire(m_Own, RegistrationEvent::RenewDue);
  scanRows();
  deleteLapsed();
  announceChange();
}

void EntryRegistry::writeRow() {
  ++m_Own.m_Row.m_Renewals;
  RowKey Key{EntriesTable, m_Own.m_Row.m_Address.m_Name};
  std::weak_ptr<bool> Alive = m_Alive;
  m_Tables.transact({{}, {{Key, m_Codec.m_Encode(m_Own.m_Row)}}},
                    [this, Alive](const TransactionResult &Result) {
                      if (Alive.expired())
                        return;
                      bool IsOk = Result.m_Status == StoreStatus::Ok;
                      m_Chart.fire(m_Own, IsOk ? RegistrationEvent::Written
                                               : RegistrationEvent::Failed);
                    });
}

void EntryRegistry::deleteRow() {
  RowKey Key{EntriesTable, m_Own.m_Row.m_Address.m_Name};
  std::weak_ptr<bool> Alive = m_Alive;
  m_Tables.transact({{}, {{Key, std::nullopt}}},
                    [this, Alive](const TransactionResult &Result) {
                      if (!Alive.expired() &&
                          Result.m_Status == StoreStatus::Ok)
                        m_Chart.fire(m_Own, RegistrationEvent::Deleted);
                    });
}

void EntryRegistry::scanRows() {
  std::weak_ptr<bool> Alive = m_Alive;
  m_Tables.scan(EntriesTable, "", [this, Alive](const ScanResult &Result) {
    if (Alive.expired() || Result.m_Status != StoreStatus::Ok)
      return;
    for (const KeyedRow &Found : Result.m_Rows)
      watch(Found);
    forgetMissing(Result.m_Rows);
    announceChange();
  });
}

void EntryRegistry::watch(const KeyedRow &Found) {
  auto Decoded = m_Codec.m_Decode(Found.m_Row.m_Value);
  if (!Decoded || Found.m_Key == m_Own.m_Row.m_Address.m_Name)
    return;
  Watched &Known = m_Others[Found.m_Key];
  bool HasMoved = Known.m_Version == 0 ||
                  Known.m_Row.m_Renewals != Decoded->m_Renewals ||
                  Known.m_Row.m_Address != Decoded->m_Address;
  if (HasMoved)
    Known.m_MovedAt = m_Timers.now();
  Known.m_Row = *Decoded;
  Known.m_Version = Found.m_Row.m_Version;
}

void EntryRegistry::forgetMissing(const std::vector<KeyedRow> &Rows) {
  std::set<std::string> Present;
  for (const KeyedRow &Found : Rows)
    Present.insert(Found.m_Key);
  std::erase_if(m_Others, [&](const auto &Known) {
    bool IsFromStore = Known.second.m_Version != 0;
    return IsFromStore && !Present.count(Known.first);
  });
}

void EntryRegistry::deleteLapsed() {
  auto IsOver = [this](const Watched &Known) {
    return m_Timers.now() - Known.m_MovedAt >= m_Settings.m_DeleteAfter;
  };
  for (const auto &Known : m_Others) {
    if (!IsOver(Known.second) || Known.second.m_Version == 0)
      continue;
    RowKey Key{EntriesTable, Known.first};
    m_Tables.transact({{{Key, Known.second.m_Version}}, {{Key, std::nullopt}}},
                      [](const TransactionResult &) {});
  }
  std::erase_if(m_Others, [&](const auto &Known) {
    return IsOver(Known.second) && Known.second.m_Version == 0;
  });
}

void EntryRegistry::hear(const EntryAddress &Speaker) {
  takeWord(Speaker);
  announceChange();
}

void EntryRegistry::learn(const std::vector<EntryAddress> &Members) {
  for (const EntryAddress &Member : Members) {
    auto Found = m_Others.find(Member.m_Name);
    if (Found == m_Others.end() || hasLapsed(Found->second))
      takeWord(Member);
  }
  announceChange();
}

void EntryRegistry::takeWord(const EntryAddress &Member) {
  if (Member.m_Name == m_Own.m_Row.m_Address.m_Name)
    return;
  Watched &Known = m_Others[Member.m_Name];
  if (Known.m_Row.m_Address != Member)
    Known.m_Version = 0;
  Known.m_Row.m_Address = Member;
  Known.m_MovedAt = m_Timers.now();
}

bool EntryRegistry::hasLapsed(const Watched &Known) const {
  return m_Timers.now() - Known.m_MovedAt >= m_Settings.m_Lapse;
}

std::vector<EntryAddress> EntryRegistry::members() const {
  std::vector<EntryAddress> Members;
  bool IsIn = m_Own.m_State != RegistrationState::Leaving &&
              m_Own.m_State != RegistrationState::Left;
  if (IsIn)
    Members.push_back(m_Own.m_Row.m_Address);
  for (const auto &Known : m_Others)
    if (!hasLapsed(Known.second))
      Members.push_back(Known.second.m_Row.m_Address);
  std::sort(Members.begin(), Members.end(),
            [](const EntryAddress &Left, const EntryAddress &Right) {
              return Left.m_Incarnation < Right.m_Incarnation;
            });
  return Members;
}

bool EntryRegistry::isStoreAnswering() const {
  return m_Own.m_State == RegistrationState::Member;
}

void EntryRegistry::announceChange() {
  auto Now = members();
  if (Now == m_Announced)
    return;
  m_Announced = Now;
  logEvent(LogLevel::Info, "entries.changed", {{"count", Now.size()}});
  if (m_Changed)
    m_Changed(m_Announced);
}

} // namespace cyclamenwalk
