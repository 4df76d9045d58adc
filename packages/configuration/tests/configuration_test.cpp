#include "configuration/configurationmodule.h"
#include "core/error.h"
#include "core/tests/mocks/manualtimerservice.h"
#include "statechart/chartfolder.h"
#include "store/tests/mocks/storefake.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <sstream>

using namespace cyclamenwalk;
using Fault = StoreFake::Fault;

namespace {

/// Parses a list of service names. The text "bad" is not valid.
DesiredState parseNames(const std::string &Text) {
  if (Text == "bad")
    throw Error(ResultCode::IniSyntax, "line 1");
  DesiredState State;
  std::istringstream In(Text);
  for (std::string Name; In >> Name;)
    State.m_Services[Name] = {};
  return State;
}

RecordCodec plainCodec() {
  auto Encode = [](const ConfigurationRecord &Value) {
    std::ostringstream Out;
    Out << Value.m_Version << ' ' << Value.m_Digest << ' ' << Value.m_ApplyId
        << ' ' << Value.m_Operator << ' ' << Value.m_Changes.size();
    return Out.str();
  };
  auto Decode = [](const std::string &Text) {
    std::istringstream In(Text);
    ConfigurationRecord Value;
    In >> Value.m_Version >> Value.m_Digest >> Value.m_ApplyId >>
        Value.m_Operator;
    return std::optional<ConfigurationRecord>(Value);
  };
  return {Encode, Decode};
}

/// The configuration services of one entry.
struct TestEntry {
  TestEntry(StoreFake &Platform, ManualTimerService &Timers)
      : m_Store(makeConfigurationStore(parseNames, m_Charts)),
        m_Apply(makeApplyService(parseNames, plainCodec(), *m_Store, m_Charts,
                                 Platform, Platform, Timers)),
        m_Watch(seconds(1), plainCodec(), *m_Store, Platform, Platform,
                Timers) {}

  void apply(const std::string &Text, const std::string &Id,
             std::optional<std::uint64_t> Base = std::nullopt) {
    m_Apply->apply({Text, Id, "op-" + Id, Base, {}},
                   [this](const ApplyResult &R) { m_Results.push_back(R); });
  }

  ChartFolder m_Charts{CW_CHART_DIR};
  std::unique_ptr<IConfigurationStore> m_Store;
  std::unique_ptr<IApplyService> m_Apply;
  ConfigurationWatch m_Watch;
  std::vector<ApplyResult> m_Results;
};

class ConfigurationTest : public testing::Test {
protected:
  void advance(Duration Span) {
    for (Duration Left = Span; Left > Duration::zero();
         Left -= milliseconds(100)) {
      m_Platform.answerAll();
      m_Timers.advance(milliseconds(100));
    }
    m_Platform.answerAll();
  }

  std::size_t auditRows() const {
    return m_Platform.m_Store.scan("audit", "").m_Rows.size();
  }

  ManualTimerService m_Timers;
  StoreFake m_Platform;
  TestEntry m_First{m_Platform, m_Timers};
  TestEntry m_Second{m_Platform, m_Timers};
};

} // namespace

TEST_F(ConfigurationTest,
       acceptedConfigurationIsInForceAtAllEntriesWithinSeconds) {
  m_First.apply("gatepost", "a");
  advance(seconds(2));
  ASSERT_EQ(m_First.m_Results.size(), 1u);
  EXPECT_EQ(m_First.m_Results[0].m_Code, ResultCode::Ok);
  EXPECT_EQ(m_Second.m_Store->version(), 1u);
  EXPECT_TRUE(m_Second.m_Store->state().m_Services.count("gatepost"));
  EXPECT_EQ(auditRows(), 1u);
}

TEST_F(ConfigurationTest,
       oneOfTwoConcurrentAppliesIsAcceptedAndTheOtherRefused) {
  advance(seconds(1));
  m_First.apply("x", "a", 0);
  m_Second.apply("y", "b", 0);
  advance(seconds(3));
  ASSERT_EQ(m_First.m_Results.size() + m_Second.m_Results.size(), 2u);
  const ApplyResult &RefusedResult = m_Second.m_Results[0];
  EXPECT_EQ(m_First.m_Results[0].m_Code, ResultCode::Ok);
  EXPECT_EQ(RefusedResult.m_Code, ResultCode::StaleConfiguration);
  EXPECT_EQ(RefusedResult.m_Record.m_Operator, "op-a");
  EXPECT_EQ(RefusedResult.m_Record.m_Version, 1u);
  EXPECT_EQ(auditRows(), 1u);
}

TEST_F(ConfigurationTest, writeWithLostReplyIsFoundByApplyId) {
  m_First.apply("x", "a");
  // Storing the text and reading the rows precede the write.
  for (int I = 0; I < 5; ++I)
    m_Platform.answerOne();
  m_Platform.m_Fault = Fault::ReplyLost;
  while (auditRows() == 0)
    ASSERT_TRUE(m_Platform.answerOne());
  m_Platform.m_Fault = Fault::None;
  advance(seconds(2));
  ASSERT_EQ(m_First.m_Results.size(), 1u);
  EXPECT_EQ(m_First.m_Results[0].m_Code, ResultCode::Ok);
  EXPECT_EQ(m_First.m_Results[0].m_Record.m_Version, 1u);
  EXPECT_EQ(auditRows(), 1u);
}

TEST_F(ConfigurationTest, repeatedApplyIdIsAcceptedOnce) {
  m_First.apply("x", "a");
  advance(seconds(2));
  m_Second.apply("x", "a");
  advance(seconds(2));
  EXPECT_EQ(m_Second.m_Results[0].m_Code, ResultCode::Ok);
  EXPECT_EQ(m_Second.m_Results[0].m_Record.m_Version, 1u);
  EXPECT_EQ(auditRows(), 1u);
}

TEST_F(ConfigurationTest, storeOutageRefusesAndChangesNothing) {
  m_First.apply("x", "a");
  advance(seconds(2));
  m_Platform.m_Fault = Fault::Down;
  m_First.apply("y", "b");
  advance(seconds(10));
  ASSERT_EQ(m_First.m_Results.size(), 2u);
  EXPECT_EQ(m_First.m_Results[1].m_Code, ResultCode::StoreUnavailable);
  EXPECT_EQ(m_First.m_Store->version(), 1u);
  m_Platform.m_Fault = Fault::None;
  advance(seconds(2));
  EXPECT_EQ(m_Second.m_Store->version(), 1u);
}

TEST_F(ConfigurationTest, invalidTextIsRefusedBeforeAnythingIsWritten) {
  m_First.apply("bad", "a");
  EXPECT_EQ(m_First.m_Results[0].m_Code, ResultCode::IniSyntax);
  EXPECT_EQ(auditRows(), 0u);
}

// The entry that applies a configuration may not have received the version that
// is replaced.
TEST_F(ConfigurationTest, changesAreListedAgainstTheVersionThatIsReplaced) {
  m_First.apply("x", "a");
  m_Platform.answerAll();
  EXPECT_EQ(m_Second.m_Store->version(), 0u);
  m_Second.apply("x y", "b");
  m_Platform.answerAll();
  ASSERT_EQ(m_Second.m_Results.size(), 1u);
  for (const std::string &Line : m_Second.m_Results[0].m_Record.m_Changes)
    EXPECT_EQ(Line.rfind("+ service y ", 0), 0u) << Line;
  EXPECT_FALSE(m_Second.m_Results[0].m_Record.m_Changes.empty());
}

TEST_F(ConfigurationTest, versionNeverGoesBack) {
  IConfigurationStore &Store = *m_First.m_Store;
  EXPECT_TRUE(Store.activateIfNewer(5, "x"));
  EXPECT_FALSE(Store.activateIfNewer(4, "y"));
  EXPECT_FALSE(Store.activateIfNewer(5, "y"));
  EXPECT_FALSE(Store.activateIfNewer(6, "bad"));
  EXPECT_EQ(Store.version(), 5u);
  EXPECT_EQ(Store.text(), "x");
}

TEST_F(ConfigurationTest, corruptTextIsNotPutInForce) {
  m_First.apply("x", "a");
  m_Platform.answerAll();
  m_Platform.m_Store.put("configuration-" + digestOf("x"), "z");
  advance(seconds(3));
  EXPECT_EQ(m_Second.m_Store->version(), 0u);
}

TEST(DesiredState, listsAddedChangedAndRemovedValues) {
  DesiredState Before = parseNames("old same");
  DesiredState After = parseNames("new same");
  After.m_Services["same"].m_Slots = 8;
  auto Changes = listChanges(Before, After);
  auto Has = [&](const std::string &Line) {
    return std::count(Changes.begin(), Changes.end(), Line) == 1;
  };
  EXPECT_TRUE(Has("- service old slots = 0"));
  EXPECT_TRUE(Has("+ service new slots = 0"));
  EXPECT_TRUE(Has("~ service same slots = 0 -> 8"));
  EXPECT_TRUE(listChanges(After, After).empty());
}

// Guards against a changed fraction of a millisecond that an operator does not
// see.
TEST(DesiredState, listsChangesBelowAMillisecond) {
  DesiredState Before = parseNames("a");
  DesiredState After = parseNames("a");
  Before.m_Services["a"].m_LongThreshold = milliseconds(1500);
  After.m_Services["a"].m_LongThreshold = microseconds(1'500'500);
  EXPECT_EQ(
      listChanges(Before, After),
      std::vector<std::string>{"~ service a long_threshold = 1.5s -> 1.5005s"});
}

// With two operators and a store that randomly fails or loses replies, accepted
// versions are distinct, each of them was written, and the version in force
// never decreases.
TEST(Configuration, acceptedVersionsSurviveStoreFaults) {
  EXPECT_TRUE(rc::check("accepted is written once and kept", [] {
    ManualTimerService Timers;
    StoreFake Platform;
    TestEntry First(Platform, Timers);
    TestEntry Second(Platform, Timers);
    int Ids = 0;
    std::uint64_t Highest = 0;
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 8));
    for (int Step : Steps) {
      if (Step < 2)
        (Step ? First : Second)
            .apply("s" + std::to_string(Ids), "id" + std::to_string(Ids)),
            ++Ids;
      else if (Step < 5)
        Platform.m_Fault = static_cast<Fault>(Step - 2);
      else if (Step == 5)
        Timers.advance(milliseconds(500));
      else
        Platform.answerOne();
      RC_ASSERT(First.m_Store->version() >= Highest);
      Highest = First.m_Store->version();
    }
    Platform.m_Fault = Fault::None;
    for (int I = 0; I < 100; ++I) {
      Platform.answerAll();
      Timers.advance(milliseconds(500));
    }
    std::set<std::uint64_t> Accepted;
    std::size_t Answered = 0;
    for (const TestEntry *Entry : {&First, &Second})
      for (const ApplyResult &Result : Entry->m_Results) {
        ++Answered;
        if (Result.m_Code == ResultCode::Ok)
          RC_ASSERT(Accepted.insert(Result.m_Record.m_Version).second);
      }
    RC_ASSERT(Answered == static_cast<std::size_t>(Ids));
    auto Audit = Platform.m_Store.scan("audit", "").m_Rows.size();
    RC_ASSERT(Accepted.size() <= Audit);
    RC_ASSERT(First.m_Store->version() == Audit);
    RC_ASSERT(Second.m_Store->version() == Audit);
  }));
}
