#ifndef CYCLAMENWALK_MEMBERSHIP_INTERNAL_ENTRYREGISTRY_H
#define CYCLAMENWALK_MEMBERSHIP_INTERNAL_ENTRYREGISTRY_H

#include "core/itimerservice.h"
#include "membership/ientryregistry.h"
#include "statechart/boundchart.h"
#include "statechart/ichartsource.h"
#include "store/itableservice.h"

#include <map>

namespace cyclamenwalk {

enum class RegistrationState { Joining, Member, Unconfirmed, Leaving, Left };
enum class RegistrationEvent { RenewDue, Written, Failed, Leave, Deleted };

template <> struct ChartNames<RegistrationState> {
  static constexpr std::array<std::string_view, 5> Values{
      "joining", "member", "unconfirmed", "leaving", "left"};
};
template <> struct ChartNames<RegistrationEvent> {
  static constexpr std::array<std::string_view, 5> Values{
      "renewDue", "written", "failed", "leave", "deleted"};
};

struct Registration {
  RegistrationState m_State = RegistrationState::Joining;
  EntryRow m_Row;
};

/// Renews the lease row of this entry and tracks those of the other entries.
class EntryRegistry final : public IEntryRegistry {
public:
  EntryRegistry(EntryAddress Self, RegistrySettings Settings,
                EntryRowCodec Codec, const IChartSource &Charts,
                ITableService &Tables, ITimerService &Timers);
  ~EntryRegistry() override;

  void start(ChangeHook Hook) override;
  void leave() override;
  void recordAnnouncement(const EntryAddress &Entry) override;
  void recordLinkUp(const EntryAddress &Entry) override;
  void recordLinkDown(const EntryAddress &Entry) override;
  void mergeMembers(const std::vector<EntryAddress> &Members) override;
  void recordCompleteList() override;
  void refresh() override;
  std::vector<EntryAddress> members() const override;
  bool isComplete() const override;
  bool isStoreAvailable() const override;

private:
  using Chart = BoundChart<Registration, RegistrationState, RegistrationEvent>;

  struct OtherEntry {
    EntryRow m_Row;
    /// When the row last changed or the entry was last reported by a process.
    TimePoint m_LastRenewedAt;
    /// Zero when the current address was not read from the store.
    std::uint64_t m_RowVersion = 0;
    bool m_IsLinked = false;
  };

  Chart bindChart(const IChartSource &Charts);
  void renew();
  void writeRow();
  void deleteRow();
  void scanRows();
  void updateFromRow(const KeyedRow &Row);
  void removeMissing(const std::vector<KeyedRow> &Rows);
  void deleteExpiredRows();
  void recordAddress(const EntryAddress &Address);
  bool hasExpired(const OtherEntry &Entry) const;
  void recordScan();
  void notifyIfChanged();

  const RegistrySettings m_Settings;
  const EntryRowCodec m_Codec;
  ITableService &m_Tables;
  ITimerService &m_Timers;
  const Chart m_Chart;
  Registration m_Registration;
  /// Keyed by name, as the rows are.
  std::map<std::string, OtherEntry> m_Others;
  std::vector<EntryAddress> m_NotifiedMembers;
  bool m_IsComplete = false;
  bool m_IsCompletionNotified = false;
  TimePoint m_ScannedAt;
  /// When the rows were last read with success.
  TimePoint m_RowsReadAt;
  ChangeHook m_OnChange;
  TimerId m_Timer = 0;
  /// Expires with this object; replies of the store that arrive later are
  /// ignored.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_INTERNAL_ENTRYREGISTRY_H
