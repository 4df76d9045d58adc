#include "core/types/durationtext.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cyclamenwalk;

using std::chrono::nanoseconds;

TEST(DurationText, readsUnitsExactly) {
  EXPECT_EQ(parseDuration("500us"), microseconds(500));
  EXPECT_EQ(parseDuration("4.5s"), milliseconds(4500));
  EXPECT_EQ(parseDuration("6.0 s"), seconds(6));
  EXPECT_EQ(parseDuration("0.25min"), seconds(15));
  EXPECT_EQ(parseDuration("999.999ms"), microseconds(999'999));
  EXPECT_EQ(parseDuration("0s"), Duration::zero());
  EXPECT_EQ(parseMilliseconds("1300.75"), microseconds(1'300'750));
  for (const char *Text : {"", "s", "5", "5 h", "5ss", "-5s", "4,5s", "infs",
                           "0x5s", "1e30s", "9223372037s"})
    EXPECT_FALSE(parseDuration(Text)) << Text;
  for (const char *Text : {"", "1300ms", "-1", "1e30"})
    EXPECT_FALSE(parseMilliseconds(Text)) << Text;
}

TEST(DurationText, roundsDownToANanosecond) {
  EXPECT_EQ(parseDuration("1.9999us"), nanoseconds(1999));
  EXPECT_EQ(parseDuration("0.00001us"), Duration::zero());
}

TEST(DurationText, formatsInTheLargestFittingUnit) {
  EXPECT_EQ(formatDuration(milliseconds(4500)), "4.5s");
  EXPECT_EQ(formatDuration(std::chrono::minutes(10)), "600s");
  EXPECT_EQ(formatDuration(milliseconds(650)), "650ms");
  EXPECT_EQ(formatDuration(microseconds(1'050)), "1.05ms");
  EXPECT_EQ(formatDuration(nanoseconds(1)), "0.001us");
  EXPECT_EQ(formatDuration(Duration::zero()), "0us");
}

TEST(DurationText, readsBackWhatItFormats) {
  EXPECT_TRUE(rc::check("a formatted duration is read back", [] {
    // Shifted, so that durations of all units occur.
    auto Count = *rc::gen::inRange<std::int64_t>(0, INT64_MAX);
    Duration Span(Count >> *rc::gen::inRange(0, 62));
    RC_ASSERT(parseDuration(formatDuration(Span)) == Span);
  }));
}
