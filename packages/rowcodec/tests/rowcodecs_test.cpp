#include "rowcodec/rowcodecs.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

TEST(RowCodecs, roundTripsRowsAndRefusesMalformedText) {
  EntryRow Row{{"entry-1", Incarnation{5}, "10.0.0.1:1", "10.0.0.1:2", "d"}, 9};
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

/// Another program may write to the table of entries.
TEST(RowCodecs, oneOddRowDoesNotHideTheOthers) {
  EntryRow Good{{"entry-1", Incarnation{5}, "10.0.0.1:1", "", "d"}, 9};
  EntryRow BadPort = Good;
  BadPort.m_Address.m_Address = "10.0.0.1:99999";
  ScanResult Scan;
  for (const std::string &Text :
       {entryRowCodec().m_Encode(BadPort), std::string(100'000, '['),
        std::string(R"({"name":"x","incarnation":"5","renewals":1e300})"),
        entryRowCodec().m_Encode(Good)})
    Scan.m_Rows.push_back({"row", {Text, 1}});
  EXPECT_EQ(decodeEntryRows(Scan), std::vector{Good.m_Address});
}
