#include "reload/types/reloaddecision.h"

#include <gmock/gmock.h>

using namespace cyclamenwalk;
using testing::ElementsAre;
using testing::IsEmpty;

namespace {

const SettingValues InForce{{"process.name", "a"},
                            {"process.log_level", "info"}};
const std::set<std::string> AtOnce{"process.log_level", "entries.seeds"};

} // namespace

TEST(ReloadDecision, dividesChangesByWhatTheProcessCanApply) {
  ReloadDecision Decision = decideReload(
      InForce, {{{"process.name", "b"}, {"entries.seeds", "127.0.0.1:1"}}, {}},
      AtOnce);
  EXPECT_THAT(Decision.m_Applied,
              ElementsAre("entries.seeds", "process.log_level"));
  EXPECT_THAT(Decision.m_RestartNeeded, ElementsAre("process.name"));
  EXPECT_EQ(
      Decision.m_InForce,
      (SettingValues{{"process.name", "a"}, {"entries.seeds", "127.0.0.1:1"}}));
}

// A setting that nobody has thought of must not be passed over in silence.
TEST(ReloadDecision, unknownSettingsNeedARestart) {
  ParsedSettings File{InForce, {}};
  File.m_Values["limits.memory_mb"] = "64";
  EXPECT_THAT(decideReload(InForce, File, AtOnce).m_RestartNeeded,
              ElementsAre("limits.memory_mb"));
}

TEST(ReloadDecision, fileWithProblemsChangesNothing) {
  ReloadDecision Decision =
      decideReload(InForce,
                   {{{"process.log_level", "debug"}},
                    {{3, ResultCode::MissingKey, "key name is missing"}}},
                   AtOnce);
  EXPECT_THAT(Decision.m_Applied, IsEmpty());
  EXPECT_THAT(Decision.m_RestartNeeded, IsEmpty());
  EXPECT_EQ(Decision.m_Problems.size(), 1U);
  EXPECT_EQ(Decision.m_InForce, InForce);
}
