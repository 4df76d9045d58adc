#include "configuration/internal/applyservice.h"

#include "configuration/internal/rows.h"
#include "core/error.h"
#include "core/log.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

constexpr int MaxReadBacks = 10;
constexpr Duration ReadBackPause = milliseconds(500);

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

bool isOwnRecord(const ApplyContext &Running) {
  return Running.m_Head.m_ApplyId == Running.m_Request.m_ApplyId;
}

/// Whether the head moved on, so that this apply cannot be accepted any more.
bool isLost(const ApplyContext &Running) {
  return Running.m_Head.m_Version != Running.m_Proposed.m_PreviousVersion;
}

bool isBaseStale(const ApplyContext &Running) {
  const auto &Base = Running.m_Request.m_BaseVersion;
  return Base && *Base != Running.m_Head.m_Version;
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
  auto Call = [this](Step Member) {
    return [this, Member](ApplyContext &C) { (this->*Member)(C); };
  };
  auto Answer = [this](const char *Detail) {
    return [this, Detail](ApplyContext &C) {
      answer(C, ResultCode::StoreUnavailable, Detail);
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
       {"isLost", isLost},
       {"mayReadAgain",
        [](const ApplyContext &C) { return C.m_ReadBacks < MaxReadBacks; }}},
      {{"putText", Call(&ApplyService::putText)},
       {"readHead", Call(&ApplyService::readHead)},
       {"readBase", Call(&ApplyService::readBase)},
       {"swapHead", Call(&ApplyService::swapHead)},
       {"readBack", Call(&ApplyService::readBack)},
       {"readBackLater", Call(&ApplyService::readBackLater)},
       {"answerAccepted", Call(&ApplyService::answerAccepted)},
       {"answerStale", Call(&ApplyService::answerStale)},
       {"answerUnavailable",
        Answer("nothing was written; the configuration is unchanged")},
       {"answerUnconfirmed",
        Answer("the write may have taken effect; repeat with the same apply "
               "id to find out")}});
}

void ApplyService::apply(ApplyRequest Request, Done Call) {
  auto Started = std::make_shared<ApplyContext>();
  Started->m_State = m_Chart.initial();
  Started->m_Request = std::move(Request);
  Started->m_Done = std::move(Call);
  try {
    Started->m_Desired = m_Parse(Started->m_Request.m_Text);
  } catch (const Error &Caught) {
    Started->m_Done({Caught.code(), Caught.what(), {}});
    return;
  }
  fire(Started, ApplyEvent::Begin);
}

void ApplyService::fire(const Pointer &Running, ApplyEvent What) {
  m_Chart.fire(*Running, What);
}

void ApplyService::putText(ApplyContext &Running) {
  Pointer ProcessIdentity = Running.shared_from_this();
  const std::string &Text = Running.m_Request.m_Text;
  m_Objects.put(textObject(digestOf(Text)), Text,
                [this, ProcessIdentity](StoreStatus S) {
                  fire(ProcessIdentity, toEvent(S));
                });
}

void ApplyService::takeHead(ApplyContext &Running,
                            const std::optional<Row> &Found) const {
  Running.m_Head = {};
  Running.m_HeadRowVersion.reset();
  if (!Found)
    return;
  Running.m_HeadRowVersion = Found->m_Version;
  if (auto Decoded = m_Codec.m_Decode(Found->m_Value))
    Running.m_Head = *Decoded;
}

/// An apply that is repeated with its id finds the record of the first try.
void ApplyService::readHead(ApplyContext &Running) {
  Pointer ProcessIdentity = Running.shared_from_this();
  m_Tables.read(applyRow(Running.m_Request.m_ApplyId),
                [this, ProcessIdentity](const ReadResult &Result) {
                  if (Result.m_Status != StoreStatus::Ok) {
                    fire(ProcessIdentity, ApplyEvent::Unavailable);
                    return;
                  }
                  takeHead(*ProcessIdentity, Result.m_Row);
                  if (Result.m_Row)
                    fire(ProcessIdentity, ApplyEvent::Ok);
                  else
                    readHeadRow(ProcessIdentity);
                });
}

void ApplyService::readHeadRow(const Pointer &Running) {
  m_Tables.read(headRow(), [this, Running](const ReadResult &Result) {
    takeHead(*Running, Result.m_Row);
    fire(Running, toEvent(Result.m_Status));
  });
}

/// The changes are listed against what is replaced, so it has to be here.
void ApplyService::readBase(ApplyContext &Running) {
  Pointer ProcessIdentity = Running.shared_from_this();
  m_Objects.get(textObject(Running.m_Head.m_Digest),
                [this, ProcessIdentity](const ObjectResult &Found) {
                  if (!Found.m_Bytes) {
                    fire(ProcessIdentity, ApplyEvent::Unavailable);
                    return;
                  }
                  m_Store.offer(ProcessIdentity->m_Head.m_Version,
                                *Found.m_Bytes);
                  fire(ProcessIdentity, ApplyEvent::Ok);
                });
}

void ApplyService::swapHead(ApplyContext &Running) {
  const ApplyRequest &Request = Running.m_Request;
  ConfigurationRecord &Proposed = Running.m_Proposed;
  Proposed.m_PreviousVersion = Running.m_Head.m_Version;
  Proposed.m_Version = Running.m_Head.m_Version + 1;
  Proposed.m_Digest = digestOf(Request.m_Text);
  Proposed.m_ApplyId = Request.m_ApplyId;
  Proposed.m_Operator = Request.m_Operator;
  Proposed.m_AcceptedAt = Request.m_At;
  Proposed.m_Changes = listChanges(m_Store.state(), Running.m_Desired);
  std::string Full = m_Codec.m_Encode(Proposed);
  ConfigurationRecord Short = Proposed;
  Short.m_Changes.clear();
  RowKey Own = applyRow(Request.m_ApplyId);
  Transaction Swap{{{headRow(), Running.m_HeadRowVersion}, {Own, std::nullopt}},
                   {{headRow(), m_Codec.m_Encode(Short)},
                    {auditRow(Proposed.m_Version), Full},
                    {Own, m_Codec.m_Encode(Short)}}};
  Pointer ProcessIdentity = Running.shared_from_this();
  m_Tables.transact(std::move(Swap),
                    [this, ProcessIdentity](const TransactionResult &Result) {
                      fire(ProcessIdentity, toEvent(Result.m_Status));
                    });
}

void ApplyService::readBack(ApplyContext &Running) {
  ++Running.m_ReadBacks;
  Pointer ProcessIdentity = Running.shared_from_this();
  m_Tables.read(applyRow(Running.m_Request.m_ApplyId),
                [this, ProcessIdentity](const ReadResult &Result) {
                  if (Result.m_Status != StoreStatus::Ok)
                    fire(ProcessIdentity, ApplyEvent::Unavailable);
                  else if (Result.m_Row)
                    fire(ProcessIdentity, ApplyEvent::Found);
                  else
                    compareWithHead(ProcessIdentity);
                });
}

/// The write is not there; whether it can still be done depends on the head.
void ApplyService::compareWithHead(const Pointer &Running) {
  m_Tables.read(headRow(), [this, Running](const ReadResult &Result) {
    if (Result.m_Status != StoreStatus::Ok) {
      fire(Running, ApplyEvent::Unavailable);
      return;
    }
    takeHead(*Running, Result.m_Row);
    fire(Running, ApplyEvent::Missing);
  });
}

void ApplyService::readBackLater(ApplyContext &Running) {
  Pointer ProcessIdentity = Running.shared_from_this();
  m_Timers.subscribe(ReadBackPause,
                     [this, ProcessIdentity] { readBack(*ProcessIdentity); });
}

void ApplyService::answerAccepted(ApplyContext &Running) {
  if (isOwnRecord(Running))
    Running.m_Proposed = Running.m_Head;
  const ConfigurationRecord &Accepted = Running.m_Proposed;
  logEvent(LogLevel::Info, "configuration.accepted",
           {{"version", Accepted.m_Version},
            {"operator", Accepted.m_Operator},
            {"apply_id", Accepted.m_ApplyId}});
  m_Store.offer(Accepted.m_Version, Running.m_Request.m_Text);
  Running.m_Done({ResultCode::Ok, "accepted", Accepted});
}

void ApplyService::answerStale(ApplyContext &Running) {
  const ConfigurationRecord &Winner = Running.m_Head;
  Running.m_Done({ResultCode::StaleConfiguration,
                  "version " + std::to_string(Winner.m_Version) + " by " +
                      Winner.m_Operator + " was accepted first",
                  Winner});
}

void ApplyService::answer(ApplyContext &Running, ResultCode Code,
                          const std::string &Detail) {
  Running.m_Done({Code, Detail, {}});
}

} // namespace cyclamenwalk
