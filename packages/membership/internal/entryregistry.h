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
      "renew_due", "written", "failed", "leave", "deleted"};
};

struct Registration {
  RegistrationState m_State = RegistrationState::Joining;
  EntryRow m_Row;
};

/// Keeps the own lease row and watches those of the other entries.
class EntryRegistry final : public IEntryRegistry {
public:
  EntryRegistry(EntryAddress Own, RegistrySettings Settings,
                EntryRowCodec Codec, const IChartSource &Charts,
                ITableService &Tables, ITimerService &Timers);
  ~EntryRegistry() override;

  void start(Changed Hook) override;
  void leave() override;
  void hear(const EntryAddress &Speaker) override;
  void learn(const std::vector<EntryAddress> &Members) override;
  std::vector<EntryAddress> members() const override;
  bool isStoreAnswering() const override;

private:
  using Chart = BoundChart<Registration, RegistrationState, RegistrationEvent>;

  struct Watched {
    EntryRow m_Row;
    TimePoint m_MovedAt;
    std::uint64_t m_Version = 0;
  };

  Chart bindChart(const IChartSource &Charts);
  void renew();
  void writeRow();
  void deleteRow();
  void scanRows();
  void watch(const KeyedRow &Found);
  void forgetMissing(const std::vector<KeyedRow> &Rows);
  void deleteLapsed();
  void takeWord(const EntryAddress &Member);
  bool hasLapsed(const Watched &Known) const;
  void announceChange();

  const RegistrySettings m_Settings;
  const EntryRowCodec m_Codec;
  ITableService &m_Tables;
  ITimerService &m_Timers;
  const Chart m_Chart;
  Registration m_Own;
  /// By name, which is the key of the row.
  std::map<std::string, Watched> m_Others;
  std::vector<EntryAddress> m_Announced;
  Changed m_Changed;
  TimerId m_Timer = 0;
  /// Answers of the store that arrive after destruction are ignored.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_INTERNAL_ENTRYREGISTRY_H
