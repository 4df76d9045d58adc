#include "configuration/internal/applyservice.h"

#include "configuration/internal/rows.h"
#include "core/error.h"
#include "core/log.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

constexpr int MaxReadBacks = 10;
constexpr Duration ReadBackPeriod = milliseconds(500);

ApplyEvent toEvent(StoreStatus Status) {
  switch (Status) {
  case StoreStatus::Ok:
    return ApplyEvent::Ok;
  case StoreStatus::Conflict:
    return ApplyEvent::Conflict;
  case StoreStatus::Unavailable:
    return ApplyEvent::Unavailable;
  }
  return ApplyEvent::Unavailable;
}

bool isOwnRecord(const ApplyContext &Context) {
  return Context.m_Head.m_ApplyId == Context.m_Request.m_ApplyId;
}

/// Returns true if another configuration has been accepted since this one was
/// proposed, so that this one can no longer be accepted.
bool hasHeadChanged(const ApplyContext &Context) {
  return Context.m_Head.m_Version != Context.m_Proposed.m_PreviousVersion;
}

bool isBaseStale(const ApplyContext &Context) {
  const auto &Base = Context.m_Request.m_BaseVersion;
  return Base && *Base != Context.m_Head.m_Version;
}

} // namespace

ApplyService::ApplyService(ConfigurationParser Parse, RecordCodec Codec,
                           IConfigurationStore &Store,
                           const IChartSource &Charts, ITableService &Tables,
                           IObjectStore &Objects, ITimerService &Timers)
    : m_Parse(std::move(Parse)), m_Codec(std::move(Codec)), m_Store(Store),
      m_Tables(Tables), m_Objects(Objects), m_Timers(Timers),
      m_Chart(bindChart(Charts)) {}

ApplyService::Chart ApplyService::bindChart(const IChartSource &Charts) {
  auto Bind = [this](Step Member) {
    return [this, Member](ApplyContext &C) { (this->*Member)(C); };
  };
  auto BindUnavailable = [this](const char *Detail) {
    return [this, Detail](ApplyContext &C) {
      sendAnswer(C, ResultCode::StoreUnavailable, Detail);
    };
  };
  return Chart(
      Charts.chart("apply"),
      {{"isOwnRecord", isOwnRecord},
       {"isBaseStale", isBaseStale},
       {"isStoreBehind",
        [this](const ApplyContext &C) {
          return C.m_Head.m_Version > m_Store.version();
        }},
       {"hasHeadChanged", hasHeadChanged},
       {"hasReadBacksLeft",
        [](const ApplyContext &C) { return C.m_ReadBacks < MaxReadBacks; }}},
      {{"storeText", Bind(&ApplyService::storeText)},
       {"readHead", Bind(&ApplyService::readHead)},
       {"readBase", Bind(&ApplyService::readBase)},
       {"swapHead", Bind(&ApplyService::swapHead)},
       {"readBack", Bind(&ApplyService::readBack)},
       {"scheduleReadBack", Bind(&ApplyService::scheduleReadBack)},
       {"answerAccepted", Bind(&ApplyService::answerAccepted)},
       {"answerStale", Bind(&ApplyService::answerStale)},
       {"answerUnavailable",
        BindUnavailable("nothing was written; the configuration is unchanged")},
       {"answerUnconfirmed",
        BindUnavailable(
            "the write may have taken effect; repeat with the same apply "
            "id to find out")}});
}

void ApplyService::apply(ApplyRequest Request, Done Callback) {
  auto NewApply = std::make_shared<ApplyContext>();
  NewApply->m_State = m_Chart.initial();
  NewApply->m_Request = std::move(Request);
  NewApply->m_Done = std::move(Callback);
  try {
    NewApply->m_Desired = m_Parse(NewApply->m_Request.m_Text);
  } catch (const Error &Caught) {
    NewApply->m_Done({Caught.code(), Caught.what(), {}});
    return;
  }
  fire(NewApply, ApplyEvent::Begin);
}

void ApplyService::fire(const Pointer &Context, ApplyEvent Event) {
  m_Chart.fire(*Context, Event);
}

void ApplyService::storeText(ApplyContext &Context) {
  Pointer SharedContext = Context.shared_from_this();
  const std::string &Text = Context.m_Request.m_Text;
  m_Objects.put(textObjectName(digestOf(Text)), Text,
                [this, SharedContext](StoreStatus S) {
                  fire(SharedContext, toEvent(S));
                });
}

void ApplyService::setHead(ApplyContext &Context,
                           const std::optional<Row> &HeadRow) const {
  Context.m_Head = {};
  Context.m_HeadRowVersion.reset();
  if (!HeadRow)
    return;
  Context.m_HeadRowVersion = HeadRow->m_Version;
  if (auto Record = m_Codec.m_Decode(HeadRow->m_Value))
    Context.m_Head = *Record;
}

/// Reads the row of the apply id first: a repeated apply finds the record of
/// the first attempt there.
void ApplyService::readHead(ApplyContext &Context) {
  Pointer SharedContext = Context.shared_from_this();
  m_Tables.read(applyRow(Context.m_Request.m_ApplyId),
                [this, SharedContext](const ReadResult &Result) {
                  if (Result.m_Status != StoreStatus::Ok) {
                    fire(SharedContext, ApplyEvent::Unavailable);
                    return;
                  }
                  setHead(*SharedContext, Result.m_Row);
                  if (Result.m_Row)
                    fire(SharedContext, ApplyEvent::Ok);
                  else
                    readHeadRow(SharedContext);
                });
}

void ApplyService::readHeadRow(const Pointer &Context) {
  m_Tables.read(headRow(), [this, Context](const ReadResult &Result) {
    setHead(*Context, Result.m_Row);
    fire(Context, toEvent(Result.m_Status));
  });
}

/// Fetches the configuration that is replaced, because the changes are listed
/// against it.
void ApplyService::readBase(ApplyContext &Context) {
  Pointer SharedContext = Context.shared_from_this();
  m_Objects.get(textObjectName(Context.m_Head.m_Digest),
                [this, SharedContext](const ObjectResult &Result) {
                  if (!Result.m_Bytes) {
                    fire(SharedContext, ApplyEvent::Unavailable);
                    return;
                  }
                  m_Store.activateIfNewer(SharedContext->m_Head.m_Version,
                                          *Result.m_Bytes);
                  fire(SharedContext, ApplyEvent::Ok);
                });
}

void ApplyService::swapHead(ApplyContext &Context) {
  const ApplyRequest &Request = Context.m_Request;
  ConfigurationRecord &Proposed = Context.m_Proposed;
  Proposed.m_PreviousVersion = Context.m_Head.m_Version;
  Proposed.m_Version = Context.m_Head.m_Version + 1;
  Proposed.m_Digest = digestOf(Request.m_Text);
  Proposed.m_ApplyId = Request.m_ApplyId;
  Proposed.m_Operator = Request.m_Operator;
  Proposed.m_AcceptedAt = Request.m_ReceivedAt;
  Proposed.m_Changes = listChanges(m_Store.state(), Context.m_Desired);
  std::string AuditValue = m_Codec.m_Encode(Proposed);
  ConfigurationRecord WithoutChanges = Proposed;
  WithoutChanges.m_Changes.clear();
  RowKey ApplyKey = applyRow(Request.m_ApplyId);
  Transaction Swap{
      {{headRow(), Context.m_HeadRowVersion}, {ApplyKey, std::nullopt}},
      {{headRow(), m_Codec.m_Encode(WithoutChanges)},
       {auditRow(Proposed.m_Version), AuditValue},
       {ApplyKey, m_Codec.m_Encode(WithoutChanges)}}};
  Pointer SharedContext = Context.shared_from_this();
  m_Tables.transact(std::move(Swap),
                    [this, SharedContext](const TransactionResult &Result) {
                      fire(SharedContext, toEvent(Result.m_Status));
                    });
}

void ApplyService::readBack(ApplyContext &Context) {
  ++Context.m_ReadBacks;
  Pointer SharedContext = Context.shared_from_this();
  m_Tables.read(applyRow(Context.m_Request.m_ApplyId),
                [this, SharedContext](const ReadResult &Result) {
                  if (Result.m_Status != StoreStatus::Ok)
                    fire(SharedContext, ApplyEvent::Unavailable);
                  else if (Result.m_Row)
                    fire(SharedContext, ApplyEvent::Found);
                  else
                    readHeadAfterMiss(SharedContext);
                });
}

/// The write did not take effect. It can be repeated only if the head row has
/// not changed.
void ApplyService::readHeadAfterMiss(const Pointer &Context) {
  m_Tables.read(headRow(), [this, Context](const ReadResult &Result) {
    if (Result.m_Status != StoreStatus::Ok) {
      fire(Context, ApplyEvent::Unavailable);
      return;
    }
    setHead(*Context, Result.m_Row);
    fire(Context, ApplyEvent::Missing);
  });
}

void ApplyService::scheduleReadBack(ApplyContext &Context) {
  Pointer SharedContext = Context.shared_from_this();
  m_Timers.subscribe(ReadBackPeriod,
                     [this, SharedContext] { readBack(*SharedContext); });
}

void ApplyService::answerAccepted(ApplyContext &Context) {
  if (isOwnRecord(Context))
    Context.m_Proposed = Context.m_Head;
  const ConfigurationRecord &Accepted = Context.m_Proposed;
  logEvent(LogLevel::Info, "configuration.accepted",
           {{"version", Accepted.m_Version},
            {"operator", Accepted.m_Operator},
            {"apply_id", Accepted.m_ApplyId}});
  m_Store.activateIfNewer(Accepted.m_Version, Context.m_Request.m_Text);
  Context.m_Done({ResultCode::Ok, "accepted", Accepted});
}

void ApplyService::answerStale(ApplyContext &Context) {
  const ConfigurationRecord &CurrentRecord = Context.m_Head;
  Context.m_Done({ResultCode::StaleConfiguration,
                  "version " + std::to_string(CurrentRecord.m_Version) +
                      " by " + CurrentRecord.m_Operator + " was accepted first",
                  CurrentRecord});
}

void ApplyService::sendAnswer(ApplyContext &Context, ResultCode Code,
                              const std::string &Detail) {
  Context.m_Done({Code, Detail, {}});
}

} // namespace cyclamenwalk
