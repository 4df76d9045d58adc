#ifndef CYCLAMENWALK_REQUEST_INTERNAL_CLAIMS_H
#define CYCLAMENWALK_REQUEST_INTERNAL_CLAIMS_H

#include "request/requestmodule.h"
#include "statechart/boundchart.h"

#include <deque>
#include <memory>
#include <vector>

namespace cyclamenwalk {

enum class ClaimState { Queued, Writing, Reading, Granted, Taken, Unavailable };
enum class ClaimEvent {
  Write,
  Written,
  OtherConflict,
  Conflict,
  Unavailable,
  OwnRow,
  OtherRow,
  NoRow
};

template <> struct ChartNames<ClaimState> {
  static constexpr std::array<std::string_view, 6> Values{
      "queued", "writing", "reading", "granted", "taken", "unavailable"};
};
template <> struct ChartNames<ClaimEvent> {
  static constexpr std::array<std::string_view, 8> Values{
      "write",       "written", "otherConflict", "conflict",
      "unavailable", "ownRow",  "otherRow",      "noRow"};
};

/// The result of a claim.
struct ClaimResult {
  /// Granted, Taken or Unavailable.
  ClaimState m_State = ClaimState::Unavailable;
  /// The job that owns the key, if the state is Taken.
  JobId m_Owner;
};

using ClaimCallback = std::function<void(const ClaimResult &)>;

/// A claim of an Idempotency-Key in progress.
struct Claim : std::enable_shared_from_this<Claim> {
  ClaimState m_State = ClaimState::Queued;
  std::string m_Key;
  JobId m_Job;
  JobId m_Owner;
  int m_Attempts = 0;
  ClaimCallback m_Done;
};

/// Claims Idempotency-Keys by conditional inserts, several in one transaction.
class Claims {
public:
  Claims(RequestSettings Settings, ClaimRowCodec Codec,
         const IChartSource &Charts, ITableService &Tables,
         ITimerService &Timers);
  ~Claims();

  /// Claims \p Key for \p Job. Calls \p Done exactly once.
  void claim(const std::string &Key, JobId Job, ClaimCallback Done);

  /// Releases a key whose job did not run.
  void release(const std::string &Key, JobId Job);

private:
  using Pointer = std::shared_ptr<Claim>;
  using Chart = BoundChart<Claim, ClaimState, ClaimEvent>;

  Chart bindChart(const IChartSource &Charts);
  void fire(const Pointer &Subject, ClaimEvent Event);
  void scheduleWrite();
  std::vector<Pointer> takeBatch();
  void writeBatch();
  void handleBatchResult(const std::vector<Pointer> &Batch,
                         const TransactionResult &Result);
  void readRow(Claim &Pending);
  void scheduleRowRead(Claim &Pending);
  void receiveRow(const Pointer &Pending, const ReadResult &Result);

  const RequestSettings m_Settings;
  const ClaimRowCodec m_Codec;
  ITableService &m_Tables;
  ITimerService &m_Timers;
  const Chart m_Chart;
  std::deque<Pointer> m_Queue;
  TimerId m_Timer = 0;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_REQUEST_INTERNAL_CLAIMS_H
