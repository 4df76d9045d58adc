#include "core/error.h"
#include "core/tests/mocks/metricsmock.h"
#include "http/tests/mocks/httpclientmock.h"
#include "platform/internal/remoteplatform.h"
#include "platform/memorystore.h"
#include "platform/tablecodec.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;
using testing::_;

namespace {

const RowKey HeadRow{"configuration", "head"};

Transaction insert(const std::string &Value) {
  return {{{HeadRow, std::nullopt}}, {{HeadRow, Value}}};
}

/// Answers every request of a RemotePlatform with one response.
class RemotePlatformTest : public testing::Test {
protected:
  void answerWith(int Status, const std::string &Body) {
    EXPECT_CALL(m_Client, send(_, _, _))
        .WillRepeatedly([=](const HttpRequest &, Duration, auto Done) {
          HttpResponse Response;
          Response.m_Status = Status;
          Response.m_Body = Body;
          Done(Response);
        });
  }

  StoreStatus transactStatus() {
    StoreStatus Seen = StoreStatus::Ok;
    m_Platform.transact(insert("a"),
                        [&](const TransactionResult &R) { Seen = R.m_Status; });
    return Seen;
  }

  StoreStatus readStatus() {
    StoreStatus Seen = StoreStatus::Ok;
    m_Platform.read(HeadRow, [&](const ReadResult &R) { Seen = R.m_Status; });
    return Seen;
  }

  testing::StrictMock<HttpClientMock> m_Client;
  MetricsFake m_Metrics;
  RemotePlatform m_Platform{{"127.0.0.1:1", seconds(1)}, m_Client, m_Metrics};
};

} // namespace

TEST(MemoryStore, conditionsGuardTheWholeTransaction) {
  MemoryStore Store;
  EXPECT_EQ(Store.transact(insert("a")).m_Status, StoreStatus::Ok);
  TransactionResult Second = Store.transact(insert("b"));
  EXPECT_EQ(Second.m_Status, StoreStatus::Conflict);
  EXPECT_EQ(Second.m_Conflicts, std::vector<RowKey>{HeadRow});
  Row Head = *Store.read(HeadRow).m_Row;
  EXPECT_EQ(Head.m_Value, "a");
  Transaction Swap{{{HeadRow, Head.m_Version}}, {{HeadRow, "c"}}};
  EXPECT_EQ(Store.transact(Swap).m_Status, StoreStatus::Ok);
  EXPECT_EQ(Store.transact(Swap).m_Status, StoreStatus::Conflict);
}

TEST(MemoryStore, aRowWrittenAgainNeverGetsAnOldVersion) {
  MemoryStore Store;
  Store.transact(insert("a"));
  std::uint64_t First = Store.read(HeadRow).m_Row->m_Version;
  Store.transact({{}, {{HeadRow, std::nullopt}}});
  Store.transact(insert("b"));
  EXPECT_GT(Store.read(HeadRow).m_Row->m_Version, First);
}

TEST(MemoryStore, scansByPrefixInOrder) {
  MemoryStore Store;
  for (const char *Key : {"b2", "a1", "b1"})
    Store.transact({{}, {{{"t", Key}, "v"}}});
  ScanResult Found = Store.scan("t", "b");
  ASSERT_EQ(Found.m_Rows.size(), 2u);
  EXPECT_EQ(Found.m_Rows[0].m_Key, "b1");
}

TEST(TableCodec, transactionRoundTrips) {
  Transaction Value{{{HeadRow, 7}, {{"t", "k"}, std::nullopt}},
                    {{HeadRow, "x\"y"}, {{"t", "k"}, std::nullopt}}};
  Transaction Back = decodeTransaction(encodeTransaction(Value));
  EXPECT_EQ(Back.m_Conditions[0].m_Version, 7u);
  EXPECT_FALSE(Back.m_Conditions[1].m_Version);
  EXPECT_EQ(Back.m_Writes[0].m_Value, "x\"y");
  EXPECT_FALSE(Back.m_Writes[1].m_Value);
  EXPECT_THROW(decodeTransaction("{}"), Error);
  EXPECT_THROW(decodeRow("[1"), Error);
}

TEST_F(RemotePlatformTest, tellsConflictFromNoAnswer) {
  answerWith(200, "{}");
  EXPECT_EQ(transactStatus(), StoreStatus::Ok);
  answerWith(409, encodeConflicts({HeadRow}));
  EXPECT_EQ(transactStatus(), StoreStatus::Conflict);
  answerWith(409, "not json");
  EXPECT_EQ(transactStatus(), StoreStatus::Unavailable);
  answerWith(500, "");
  EXPECT_EQ(transactStatus(), StoreStatus::Unavailable);
  answerWith(0, "");
  EXPECT_EQ(transactStatus(), StoreStatus::Unavailable);
  EXPECT_EQ(m_Metrics.of(Metric::StoreErrors), 1u);
}

TEST_F(RemotePlatformTest, missingRowIsNotAnOutage) {
  answerWith(404, "");
  EXPECT_EQ(readStatus(), StoreStatus::Ok);
  answerWith(200, "{\"value\":1}");
  EXPECT_EQ(readStatus(), StoreStatus::Unavailable);
}
