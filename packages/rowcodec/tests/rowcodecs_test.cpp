#include "rowcodec/rowcodecs.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

TEST(RowCodecs, roundTripsRowsAndRefusesMalformedText) {
  EntryRow Row{{"entry-1", Incarnation{5}, "a:1", "a:2", "d"}, 9};
  auto Decoded = entryRowCodec().m_Decode(entryRowCodec().m_Encode(Row));
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded->m_Address, Row.m_Address);
  EXPECT_EQ(Decoded->m_Renewals, 9u);
  EXPECT_FALSE(entryRowCodec().m_Decode("{\"name\":3}"));
  EXPECT_FALSE(claimRowCodec().m_Decode("{\"job\":\"x\"}"));
  EXPECT_FALSE(configurationRecordCodec().m_Decode("[]"));
  ConfigurationRecord Record;
  Record.m_Version = 3;
  Record.m_Changes = {"a \"b\""};
  EXPECT_EQ(configurationRecordCodec()
                .m_Decode(configurationRecordCodec().m_Encode(Record))
                ->m_Changes,
            Record.m_Changes);
  EXPECT_TRUE(decodeEntries("nonsense").empty());
}
