#include "configuration/configurationcheck.h"

#include <gmock/gmock.h>

using namespace cyclamenwalk;
using testing::AllOf;
using testing::ElementsAre;
using testing::Field;
using testing::HasSubstr;
using testing::IsEmpty;

namespace {

RouteConfig makeRoute(const std::string &Name, const std::string &PathPrefix) {
  RouteConfig Route;
  Route.m_Name = Name;
  Route.m_Host = "host";
  Route.m_PathPrefix = PathPrefix;
  Route.m_Service = "s";
  return Route;
}

DesiredState makeState() {
  DesiredState State;
  State.m_Routes = {makeRoute("a", "/a/"), makeRoute("b", "/b/")};
  State.m_Services["s"] = ServiceConfig();
  return State;
}

auto isFinding(ResultCode Code, Severity Level, const std::string &Subject,
               const std::string &Text) {
  return AllOf(Field(&Finding::m_Code, Code),
               Field(&Finding::m_Severity, Level),
               Field(&Finding::m_Subject, Subject),
               Field(&Finding::m_Text, HasSubstr(Text)));
}

} // namespace

// Guards against findings in configurations that are in order.
TEST(ConfigurationCheck, findsNothingInASoundConfiguration) {
  DesiredState State = makeState();
  EXPECT_THAT(checkConfiguration(State, {}), IsEmpty());
  State.m_Routes[1].m_PathPrefix = "/a/b/";
  State.m_Routes.push_back(makeRoute("all", ""));
  CheckFacts Facts;
  Facts.m_ServedServices = {"s"};
  State.m_Limits = {16384, 262144, seconds(3), seconds(15)};
  Facts.m_Memory = 64ULL * 1024 * 1024;
  EXPECT_THAT(checkConfiguration(State, Facts), IsEmpty());
}

TEST(ConfigurationCheck, findsRoutesThatNeverMatch) {
  struct Case {
    const char *m_Host;
    const char *m_PathPrefix;
    const char *m_Text;
  };
  for (const Case &Example :
       {Case{"", "/a/", "its host is empty"},
        Case{"host:80", "/a/", "without a port"},
        Case{"host", "a/", "paths start with"},
        Case{"host", "/a?x=", "without a query"},
        Case{"host", "/b/", "route b has the same host"}}) {
    DesiredState State = makeState();
    std::swap(State.m_Routes[0], State.m_Routes[1]);
    State.m_Routes[1].m_Host = Example.m_Host;
    State.m_Routes[1].m_PathPrefix = Example.m_PathPrefix;
    EXPECT_THAT(
        checkConfiguration(State, {}),
        ElementsAre(isFinding(ResultCode::RouteNeverMatches, Severity::Error,
                              "route a", Example.m_Text)));
  }
  DesiredState State = makeState();
  State.m_Routes[0].m_Host = "Host";
  EXPECT_THAT(
      checkConfiguration(State, {}),
      ElementsAre(isFinding(ResultCode::RouteNeverMatches, Severity::Warning,
                            "route a", "capital letters")));
}

TEST(ConfigurationCheck, findsNamesThatDangleRepeatOrAreNotUsed) {
  DesiredState State = makeState();
  State.m_Routes[1].m_Service = "t";
  EXPECT_THAT(checkConfiguration(State, {}),
              ElementsAre(isFinding(ResultCode::DanglingName, Severity::Error,
                                    "route b", "\"t\"")));
  State = makeState();
  State.m_Routes[1].m_Name = "a";
  EXPECT_THAT(checkConfiguration(State, {}),
              ElementsAre(isFinding(ResultCode::DuplicateKey, Severity::Warning,
                                    "route a", "same name")));
  State = makeState();
  State.m_Services["unused"] = ServiceConfig();
  EXPECT_THAT(
      checkConfiguration(State, {}),
      ElementsAre(isFinding(ResultCode::UnusedService, Severity::Warning,
                            "service unused", "no route")));
  State.m_Teams["team"] = TeamConfig();
  EXPECT_THAT(checkConfiguration(State, {}), IsEmpty());
}

TEST(ConfigurationCheck, findsTimesOfRoutesThatContradictEachOther) {
  auto FindTimes = [](Duration Timeout, Duration Target, std::uint32_t Attempts,
                      double SlackFactor) {
    DesiredState State = makeState();
    State.m_Routes[0].m_Timeout = Timeout;
    State.m_Routes[0].m_TargetLatency = Target;
    State.m_Routes[0].m_MaxAttempts = Attempts;
    State.m_Routes[0].m_SlackFactor = SlackFactor;
    return checkConfiguration(State, {});
  };
  auto Contradiction = [](Severity Level, const std::string &Text) {
    return ElementsAre(
        isFinding(ResultCode::ContradictingLimits, Level, "route a", Text));
  };
  EXPECT_THAT(FindTimes(Duration::zero(), Duration::zero(), 1, 1),
              Contradiction(Severity::Error, "timeout is zero"));
  EXPECT_THAT(FindTimes(milliseconds(50), milliseconds(60), 1, 1),
              Contradiction(Severity::Error, "shorter than the target"));
  EXPECT_THAT(FindTimes(milliseconds(200), milliseconds(60), 4, 1),
              Contradiction(Severity::Warning, "4 attempts"));
  EXPECT_THAT(FindTimes(milliseconds(240), milliseconds(60), 4, 1), IsEmpty());
  EXPECT_THAT(FindTimes(seconds(1), milliseconds(60), 0, 1),
              Contradiction(Severity::Warning, "0 attempts"));
  EXPECT_THAT(FindTimes(seconds(1), milliseconds(60), 1, 0.9),
              Contradiction(Severity::Error, "below 1"));
}

TEST(ConfigurationCheck, findsLimitsOfServicesThatContradictEachOther) {
  auto FindLimits = [](const std::function<void(ServiceConfig &)> &Change) {
    DesiredState State = makeState();
    Change(State.m_Services["s"]);
    return checkConfiguration(State, {});
  };
  auto Contradiction = [](Severity Level, const std::string &Text) {
    return ElementsAre(
        isFinding(ResultCode::ContradictingLimits, Level, "service s", Text));
  };
  EXPECT_THAT(FindLimits([](ServiceConfig &S) { S.m_Connections = 0; }),
              Contradiction(Severity::Error, "0 connections"));
  EXPECT_THAT(FindLimits([](ServiceConfig &S) { S.m_Slots = 65; }),
              Contradiction(Severity::Warning, "65 slots"));
  EXPECT_THAT(FindLimits([](ServiceConfig &S) {
                S.m_DefaultDeadline = S.m_MaxDeadline + seconds(1);
              }),
              Contradiction(Severity::Error, "exceeds the maximum"));
  EXPECT_THAT(FindLimits([](ServiceConfig &S) {
                S.m_LongThreshold = S.m_MaxDeadline + seconds(1);
              }),
              Contradiction(Severity::Warning, "no task can be long"));
  EXPECT_THAT(FindLimits([](ServiceConfig &S) { S.m_LongSharePercent = 0; }),
              Contradiction(Severity::Warning, "long share of 0%"));
}

TEST(ConfigurationCheck, findsServicesWithoutServers) {
  CheckFacts Facts;
  Facts.m_ServedServices = {"other"};
  EXPECT_THAT(
      checkConfiguration(makeState(), Facts),
      ElementsAre(isFinding(ResultCode::ServiceWithoutServers, Severity::Error,
                            "service s", "no backend server")));
}

TEST(ConfigurationCheck, findsLimitsOfRequestsThatContradictEachOther) {
  auto FindLimits = [](const ConfiguredLimits &Limits) {
    DesiredState State = makeState();
    State.m_Limits = Limits;
    CheckFacts Facts;
    Facts.m_Memory = 1000;
    return checkConfiguration(State, Facts);
  };
  auto Contradiction = [](Severity Level, const std::string &Text) {
    return ElementsAre(
        isFinding(ResultCode::ContradictingLimits, Level, "limits", Text));
  };
  EXPECT_THAT(FindLimits({0, 100, {}, {}}),
              Contradiction(Severity::Error, "headers of 0 bytes"));
  EXPECT_THAT(FindLimits({100, 0, {}, {}}),
              Contradiction(Severity::Error, "bodies of 0 bytes"));
  EXPECT_THAT(FindLimits({{}, {}, seconds(4), seconds(3)}),
              Contradiction(Severity::Warning, "header timeout"));
  EXPECT_THAT(FindLimits({500, 501, {}, {}}),
              Contradiction(Severity::Error, "exceeds the memory"));
  // The sum must not wrap around.
  EXPECT_THAT(FindLimits({UINT64_MAX, 2, {}, {}}),
              Contradiction(Severity::Error, "exceeds the memory"));
}
