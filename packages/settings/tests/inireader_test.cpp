#include "settings/inireader.h"

#include <functional>
#include <gtest/gtest.h>
#include <optional>

using namespace cyclamenwalk;

using std::chrono::nanoseconds;

namespace {

using Read = std::function<void(IniReader &)>;

/// Reads "[a] key = TEXT" with \p ReadValue. Returns what the file's problems
/// say; empty if there are none.
std::string problemsOf(const std::string &Text, const Read &ReadValue) {
  IniReader Reader(parseIni("[a]\nkey = " + Text + "\n", "test.ini"));
  try {
    ReadValue(Reader);
    Reader.finish();
  } catch (const SettingsError &Caught) {
    return Caught.what();
  }
  return {};
}

std::optional<Duration> readDuration(const std::string &Text) {
  std::optional<Duration> Value;
  std::string Problems = problemsOf(Text, [&](IniReader &Reader) {
    Value = Reader.duration("a", "key", Duration::zero());
  });
  return Problems.empty() ? Value : std::nullopt;
}

std::optional<std::uint64_t> readSize(const std::string &Text) {
  std::optional<std::uint64_t> Value;
  std::string Problems = problemsOf(
      Text, [&](IniReader &Reader) { Value = Reader.size("a", "key", 0); });
  return Problems.empty() ? Value : std::nullopt;
}

std::optional<std::uint32_t> readNumber(const std::string &Text) {
  std::optional<std::uint32_t> Value;
  std::string Problems = problemsOf(Text, [&](IniReader &Reader) {
    Value = Reader.number("a", "key", 0, 1, 100'000);
  });
  return Problems.empty() ? Value : std::nullopt;
}

std::optional<std::uint32_t> readPercent(const std::string &Text) {
  std::optional<std::uint32_t> Value;
  std::string Problems = problemsOf(
      Text, [&](IniReader &Reader) { Value = Reader.percent("a", "key", 0); });
  return Problems.empty() ? Value : std::nullopt;
}

} // namespace

// Guards against processes that do not start where a bound is a fraction, or a
// whole number written with a point.
TEST(IniReader, readsDurationsWithFractions) {
  EXPECT_EQ(readDuration("4.5s"), milliseconds(4500));
  EXPECT_EQ(readDuration("6.0s"), seconds(6));
  EXPECT_EQ(readDuration("6s"), seconds(6));
  EXPECT_EQ(readDuration("999.5ms"), microseconds(999'500));
  EXPECT_EQ(readDuration("1000.0 ms"), seconds(1));
  EXPECT_EQ(readDuration("0.5min"), seconds(30));
  EXPECT_EQ(readDuration(".5s"), milliseconds(500));
  EXPECT_EQ(readDuration("6.s"), seconds(6));
  EXPECT_EQ(readDuration("1.5e3ms"), milliseconds(1500));
  EXPECT_EQ(readDuration("1.0019us"), nanoseconds(1001));
}

TEST(IniReader, refusesWhatIsNoPositiveDuration) {
  for (const char *Text :
       {"", "5", "s", "0s", "0.0s", "0.0001us", "-5s", "+5s", "4,5s", "1.2.3s",
        "1e s", "1e9999s", "infs", "nans", "0x5s", "5h", "5s s", "1e12min"})
    EXPECT_EQ(readDuration(Text), std::nullopt) << Text;
}

// Guards against problems that name no line, key, or form of the value.
TEST(IniReader, problemsNameTheLineTheKeyAndTheForm) {
  EXPECT_EQ(problemsOf("4,5s",
                       [](IniReader &Reader) {
                         Reader.duration("a", "key", seconds(1));
                       }),
            "test.ini:2: error 1007: key = 4,5s: expected a duration above 0 "
            "such as 500ms, 2.5s or 5min");
  EXPECT_EQ(
      problemsOf("4,5MB",
                 [](IniReader &Reader) { Reader.size("a", "key", 1); }),
      "test.ini:2: error 1008: key = 4,5MB: expected a size above 0 such as "
      "512KB or 1.5MB");
  EXPECT_EQ(
      problemsOf("2.5",
                 [](IniReader &Reader) { Reader.number("a", "key", 1, 1, 8); }),
      "test.ini:2: error 1006: key = 2.5: expected a whole number from 1 "
      "to 8");
}

TEST(IniReader, readsSizesWithFractions) {
  EXPECT_EQ(readSize("1.5KB"), 1536U);
  EXPECT_EQ(readSize("4.0MB"), 4U << 20);
  EXPECT_EQ(readSize("1.7B"), 1U);
  for (const char *Text :
       {"0MB", "0.5B", "-1KB", "1,5KB", "1e30GB", "5", "5TB"})
    EXPECT_EQ(readSize(Text), std::nullopt) << Text;
}

TEST(IniReader, readsWholeNumbersWrittenWithAPoint) {
  EXPECT_EQ(readNumber("8192"), 8192U);
  EXPECT_EQ(readNumber("8192.0"), 8192U);
  EXPECT_EQ(readNumber("1e3"), 1000U);
  EXPECT_EQ(readPercent("25%"), 25U);
  EXPECT_EQ(readPercent("25.0 %"), 25U);
  for (const char *Text : {"", "0", "8192.5", "100001", "1e30", "-1", "8 192",
                           "0x10", "inf", "1,0"})
    EXPECT_EQ(readNumber(Text), std::nullopt) << Text;
  for (const char *Text : {"25", "25.5%", "101%", "-1%", "%"})
    EXPECT_EQ(readPercent(Text), std::nullopt) << Text;
}

// Guards against a port that is read in part or as another number.
TEST(IniReader, portsAreDigitsOnly) {
  for (const char *Text : {"127.0.0.1:80.0", "127.0.0.1:8e1", "127.0.0.1:80 ",
                           "127.0.0.1:+80", "127.0.0.1:"})
    EXPECT_FALSE(isAddress(Text)) << Text;
}
