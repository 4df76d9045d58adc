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
      "proposed",    "storing",  "readingHead", "readingBase", "swapping",
      "readingBack", "accepted", "refused",     "unconfirmed"};
};
template <> struct ChartNames<ApplyEvent> {
  static constexpr std::array<std::string_view, 6> Values{
      "begin", "ok", "conflict", "unavailable", "found", "missing"};
};

/// An apply request in progress.
struct ApplyContext : std::enable_shared_from_this<ApplyContext> {
  ApplyState m_State = ApplyState::Proposed;
  ApplyRequest m_Request;
  DesiredState m_Desired;
  IApplyService::Done m_Done;
  /// The record read from the row of the apply id or from the head row.
  ConfigurationRecord m_Head;
  std::optional<std::uint64_t> m_HeadRowVersion;
  ConfigurationRecord m_Proposed;
  int m_ReadBacks = 0;
};

/// Applies configurations in the steps of the chart.
class ApplyService final : public IApplyService {
public:
  ApplyService(ConfigurationParser Parse, RecordCodec Codec,
               IConfigurationStore &Store, const IChartSource &Charts,
               ITableService &Tables, IObjectStore &Objects,
               ITimerService &Timers);

  void apply(ApplyRequest Request, Done Callback) override;

private:
  using Pointer = std::shared_ptr<ApplyContext>;
  using Chart = BoundChart<ApplyContext, ApplyState, ApplyEvent>;
  using Step = void (ApplyService::*)(ApplyContext &);

  Chart bindChart(const IChartSource &Charts);
  void fire(const Pointer &Context, ApplyEvent Event);

  void storeText(ApplyContext &Context);
  void readHead(ApplyContext &Context);
  void readHeadRow(const Pointer &Context);
  void readBase(ApplyContext &Context);
  void swapHead(ApplyContext &Context);
  void readBack(ApplyContext &Context);
  void scheduleReadBack(ApplyContext &Context);
  void readHeadAfterMiss(const Pointer &Context);
  void setHead(ApplyContext &Context, const std::optional<Row> &HeadRow) const;
  void answerAccepted(ApplyContext &Context);
  void answerStale(ApplyContext &Context);
  void sendAnswer(ApplyContext &Context, ResultCode Code,
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
