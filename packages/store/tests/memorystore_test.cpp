#include "store/memorystore.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

const RowKey HeadRow{"configuration", "head"};

Transaction insert(const std::string &Value) {
  return {{{HeadRow, std::nullopt}}, {{HeadRow, Value}}};
}

} // namespace

TEST(MemoryStore, appliesTransactionOnlyIfAllConditionsHold) {
  MemoryStore Store;
  EXPECT_EQ(Store.transact(insert("a")).m_Status, StoreStatus::Ok);
  TransactionResult Conflict = Store.transact(insert("b"));
  EXPECT_EQ(Conflict.m_Status, StoreStatus::Conflict);
  EXPECT_EQ(Conflict.m_Conflicts, std::vector<RowKey>{HeadRow});
  Row Head = *Store.read(HeadRow).m_Row;
  EXPECT_EQ(Head.m_Value, "a");
  Transaction Update{{{HeadRow, Head.m_Version}}, {{HeadRow, "c"}}};
  EXPECT_EQ(Store.transact(Update).m_Status, StoreStatus::Ok);
  EXPECT_EQ(Store.transact(Update).m_Status, StoreStatus::Conflict);
}

TEST(MemoryStore, neverReusesVersionOfDeletedRow) {
  MemoryStore Store;
  Store.transact(insert("a"));
  std::uint64_t DeletedVersion = Store.read(HeadRow).m_Row->m_Version;
  Store.transact({{}, {{HeadRow, std::nullopt}}});
  Store.transact(insert("b"));
  EXPECT_GT(Store.read(HeadRow).m_Row->m_Version, DeletedVersion);
}

TEST(MemoryStore, scansByPrefixInKeyOrder) {
  MemoryStore Store;
  for (const char *Key : {"b2", "a1", "b1"})
    Store.transact({{}, {{{"t", Key}, "v"}}});
  ScanResult Result = Store.scan("t", "b");
  ASSERT_EQ(Result.m_Rows.size(), 2u);
  EXPECT_EQ(Result.m_Rows[0].m_Key, "b1");
}
