#include "statechart/boundchart.h"

#include "core/error.h"
#include "statechart/chartfolder.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

enum class DoorState { Closed, Open };
enum class DoorEvent { Push, Pull };

struct Door {
  DoorState m_State = DoorState::Closed;
  bool m_Locked = false;
  std::string m_RecordedCalls;
};

using DoorChart = BoundChart<Door, DoorState, DoorEvent>;

const char *const DoorChartText = R"(
<scxml xmlns="http://www.w3.org/2005/07/scxml" initial="closed">
  <state id="closed">
    <onexit><cw:call hook="recordExit"/></onexit>
    <transition event="push" cond="isUnlocked" target="open"><cw:call hook="recordTransition"/></transition>
  </state>
  <state id="open">
    <onentry><cw:call hook="recordEntry"/></onentry>
    <transition event="pull" target="closed"/>
  </state>
</scxml>)";

DoorChart bindDoorChart(const std::string &Text) {
  auto Record = [](char Letter) {
    return [Letter](Door &Instance) { Instance.m_RecordedCalls += Letter; };
  };
  return DoorChart(
      Chart::parse(Text, "door"),
      {{"isUnlocked", [](const Door &Instance) { return !Instance.m_Locked; }}},
      {{"recordExit", Record('x')},
       {"recordTransition", Record('t')},
       {"recordEntry", Record('e')}});
}

ResultCode bindResult(const std::string &Text) {
  try {
    DoorChart BoundDoorChart = bindDoorChart(Text);
  } catch (const Error &Thrown) {
    return Thrown.code();
  }
  return ResultCode::Ok;
}

std::string replace(const std::string &Text, const std::string &Old,
                    const std::string &New) {
  auto Position = Text.find(Old);
  return Text.substr(0, Position) + New + Text.substr(Position + Old.size());
}

} // namespace

namespace cyclamenwalk {
template <> struct ChartNames<DoorState> {
  static constexpr std::array<std::string_view, 2> Values{"closed", "open"};
};
template <> struct ChartNames<DoorEvent> {
  static constexpr std::array<std::string_view, 2> Values{"push", "pull"};
};
} // namespace cyclamenwalk

TEST(BoundChart, runsExitTransitionAndEntryActionsInOrder) {
  DoorChart BoundDoorChart = bindDoorChart(DoorChartText);
  Door Instance;
  Instance.m_State = BoundDoorChart.initial();
  EXPECT_TRUE(BoundDoorChart.fire(Instance, DoorEvent::Push));
  EXPECT_EQ(Instance.m_State, DoorState::Open);
  EXPECT_EQ(Instance.m_RecordedCalls, "xte");
}

TEST(BoundChart, keepsStateWithoutAnApplicableTransition) {
  DoorChart BoundDoorChart = bindDoorChart(DoorChartText);
  Door Instance;
  Instance.m_Locked = true;
  EXPECT_FALSE(BoundDoorChart.fire(Instance, DoorEvent::Push));
  EXPECT_FALSE(BoundDoorChart.fire(Instance, DoorEvent::Pull));
  EXPECT_EQ(Instance.m_State, DoorState::Closed);
  EXPECT_EQ(Instance.m_RecordedCalls, "");
}

TEST(BoundChart, rejectsInvalidAndMismatchedCharts) {
  EXPECT_EQ(bindResult(DoorChartText), ResultCode::Ok);
  EXPECT_EQ(bindResult("<scxml"), ResultCode::ChartUnreadable);
  EXPECT_EQ(bindResult(replace(DoorChartText, "<state id=\"open\"",
                               "<history id=\"open\"")),
            ResultCode::ChartUnreadable);
  EXPECT_EQ(
      bindResult(replace(DoorChartText, "target=\"open\"", "target=\"ajar\"")),
      ResultCode::ChartUnknownState);
  EXPECT_EQ(bindResult(replace(DoorChartText, " target=\"open\"", "")),
            ResultCode::ChartUnreachableState);
  EXPECT_EQ(bindResult(replace(DoorChartText, "hook=\"recordTransition\"",
                               "hook=\"unboundHook\"")),
            ResultCode::ChartUnboundHook);
  EXPECT_EQ(
      bindResult(replace(DoorChartText, "event=\"pull\"", "event=\"kick\"")),
      ResultCode::ChartNameMismatch);
  EXPECT_EQ(
      bindResult(replace(DoorChartText, "<onentry>", "<script/><onentry>")),
      ResultCode::ChartUnknownElement);
}

/// A release that is installed while a process runs must not change its charts.
TEST(ChartFolder, keepsTheChartsThatWereLoadedAtTheStart) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "charts-XXXXXX").string();
  std::filesystem::path Path = mkdtemp(Pattern.data());
  std::ofstream(Path / "door.scxml") << DoorChartText;
  ChartFolder Folder(Path.string());
  Folder.preload();
  std::ofstream(Path / "door.scxml") << "changed";
  EXPECT_EQ(Folder.chart("door").data().m_States.front(), "closed");
  EXPECT_THROW(ChartFolder(Path.string()).preload(), Error);
  std::filesystem::remove_all(Path);
}
