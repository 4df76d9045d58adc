#ifndef CYCLAMENWALK_CONFIGURATION_INTERNAL_APPLYSERVICE_H
#define CYCLAMENWALK_CONFIGURATION_INTERNAL_APPLYSERVICE_H

#include "configuration/configurationmodule.h"
#include "statechart/boundchart.h"

#include <memory>

namespace cyclamenwalk {

enum class ApplyState {
  Proposed,
  Storing,
  ReadingHead,
  ReadingBase,
  Swapping,
  ReadingBack,
  Accepted,
  Refused,
  Unconfirmed
};
enum class ApplyEvent { Begin, Ok, Conflict, Unavailable, Found, Missing };

template <> struct ChartNames<ApplyState> {
  static constexpr std::array<std::string_view, 9> Values{
      "proposed",     "storing",  "reading_head", "reading_base", "swapping",
      "reading_back", "accepted", "refused",      "unconfirmed"};
};
template <> struct ChartNames<ApplyEvent> {
  static constexpr std::array<std::string_view, 6> Values{
      "begin", "ok", "conflict", "unavailable", "found", "missing"};
};

/// One apply under way.
struct ApplyContext : std::enable_shared_from_this<ApplyContext> {
  ApplyState m_State = ApplyState::Proposed;
  ApplyRequest m_Request;
  DesiredState m_Desired;
  IApplyService::Done m_Done;
  /// What the row for the apply id or the head row holds.
  ConfigurationRecord m_Head;
  std::optional<std::uint64_t> m_HeadRowVersion;
  ConfigurationRecord m_Proposed;
  int m_ReadBacks = 0;
};

class ApplyService final : public IApplyService {
public:
  ApplyService(ConfigurationParser Parse, RecordCodec Codec,
               IConfigurationStore &Store, const IChartSource &Charts,
               ITableService &Tables, IObjectStore &Objects,
               ITimerService &Timers);

  void apply(ApplyRequest Request, Done Call) override;

private:
  using Pointer = std::shared_ptr<ApplyContext>;
  using Chart = BoundChart<ApplyContext, ApplyState, ApplyEvent>;
  using Step = void (ApplyService::*)(ApplyContext &);

  Chart bindChart(const IChartSource &Charts);
  void fire(const Pointer &Running, ApplyEvent What);

  void putText(ApplyContext &Running);
  void readHead(ApplyContext &Running);
  void readHeadRow(const Pointer &Running);
  void readBase(ApplyContext &Running);
  void swapHead(ApplyContext &Running);
  void readBack(ApplyContext &Running);
  void readBackLater(ApplyContext &Running);
  void compareWithHead(const Pointer &Running);
  void takeHead(ApplyContext &Running, const std::optional<Row> &Found) const;
  void answerAccepted(ApplyContext &Running);
  void answerStale(ApplyContext &Running);
  void answer(ApplyContext &Running, ResultCode Code,
              const std::string &Detail);

  const ConfigurationParser m_Parse;
  const RecordCodec m_Codec;
  IConfigurationStore &m_Store;
  ITableService &m_Tables;
  IObjectStore &m_Objects;
  ITimerService &m_Timers;
  const Chart m_Chart;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CONFIGURATION_INTERNAL_APPLYSERVICE_H
