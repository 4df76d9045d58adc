#include "statechart/boundchart.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

enum class DoorState { Closed, Open };
enum class DoorEvent { Push, Pull };

struct Door {
  DoorState m_State = DoorState::Closed;
  bool m_Locked = false;
  std::string m_Calls;
};

using DoorChart = BoundChart<Door, DoorState, DoorEvent>;

const char *const DoorText = R"(
<scxml xmlns="http://www.w3.org/2005/07/scxml" initial="closed">
  <state id="closed">
    <onexit><cw:call hook="x"/></onexit>
    <transition event="push" cond="unlocked" target="open"><cw:call hook="t"/></transition>
  </state>
  <state id="open">
    <onentry><cw:call hook="e"/></onentry>
    <transition event="pull" target="closed"/>
  </state>
</scxml>)";

DoorChart bind(const std::string &Text) {
  auto Note = [](char Letter) {
    return [Letter](Door &Subject) { Subject.m_Calls += Letter; };
  };
  return DoorChart(
      Chart::parse(Text, "door"),
      {{"unlocked", [](const Door &Subject) { return !Subject.m_Locked; }}},
      {{"x", Note('x')}, {"t", Note('t')}, {"e", Note('e')}});
}

ResultCode codeOf(const std::string &Text) {
  try {
    DoorChart Bound = bind(Text);
  } catch (const Error &Caught) {
    return Caught.code();
  }
  return ResultCode::Ok;
}

std::string replace(const std::string &Text, const std::string &From,
                    const std::string &To) {
  auto At = Text.find(From);
  return Text.substr(0, At) + To + Text.substr(At + From.size());
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
  DoorChart Lifecycle = bind(DoorText);
  Door Subject;
  Subject.m_State = Lifecycle.initial();
  EXPECT_TRUE(Lifecycle.fire(Subject, DoorEvent::Push));
  EXPECT_EQ(Subject.m_State, DoorState::Open);
  EXPECT_EQ(Subject.m_Calls, "xte");
}

TEST(BoundChart, guardAndMissingTransitionLeaveTheState) {
  DoorChart Lifecycle = bind(DoorText);
  Door Subject;
  Subject.m_Locked = true;
  EXPECT_FALSE(Lifecycle.fire(Subject, DoorEvent::Push));
  EXPECT_FALSE(Lifecycle.fire(Subject, DoorEvent::Pull));
  EXPECT_EQ(Subject.m_State, DoorState::Closed);
  EXPECT_EQ(Subject.m_Calls, "");
}

TEST(BoundChart, rejectsChartsThatDoNotMatchTheProgram) {
  EXPECT_EQ(codeOf(DoorText), ResultCode::Ok);
  EXPECT_EQ(codeOf("<scxml"), ResultCode::ChartUnreadable);
  EXPECT_EQ(
      codeOf(replace(DoorText, "<state id=\"open\"", "<history id=\"open\"")),
      ResultCode::ChartUnreadable);
  EXPECT_EQ(codeOf(replace(DoorText, "target=\"open\"", "target=\"ajar\"")),
            ResultCode::ChartUnknownState);
  EXPECT_EQ(codeOf(replace(DoorText, " target=\"open\"", "")),
            ResultCode::ChartUnreachableState);
  EXPECT_EQ(codeOf(replace(DoorText, "hook=\"t\"", "hook=\"u\"")),
            ResultCode::ChartUnboundHook);
  EXPECT_EQ(codeOf(replace(DoorText, "event=\"pull\"", "event=\"kick\"")),
            ResultCode::ChartNameMismatch);
  EXPECT_EQ(codeOf(replace(DoorText, "<onentry>", "<script/><onentry>")),
            ResultCode::ChartUnknownElement);
}
