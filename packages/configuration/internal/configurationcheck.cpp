#include "configuration/configurationcheck.h"

#include "core/types/durationtext.h"

#include <algorithm>
#include <cctype>

namespace cyclamenwalk {

namespace {

class Checker {
public:
  Checker(const DesiredState &State, const CheckFacts &Facts)
      : m_State(State), m_Facts(Facts) {}

  std::vector<Finding> run() {
    for (std::size_t I = 0; I < m_State.m_Routes.size(); ++I) {
      checkMatch(m_State.m_Routes[I]);
      checkShadowing(I);
      checkService(m_State.m_Routes[I]);
      checkTimes(m_State.m_Routes[I]);
    }
    for (const auto &[Name, Service] : m_State.m_Services) {
      checkUse(Name);
      checkServers(Name);
      checkLimits(Name, Service);
    }
    checkRequestLimits();
    return std::move(m_Findings);
  }

private:
  void add(ResultCode Code, Severity Level, const std::string &Subject,
           const std::string &Text) {
    m_Findings.push_back({Code, Level, Subject, 0, Text});
  }

  static std::string subjectOf(const RouteConfig &Route) {
    return "route " + Route.m_Name;
  }

  /// Compares with what findRoute() is given: a host without its port, and a
  /// path that starts with '/' and has no query.
  void checkMatch(const RouteConfig &Route) {
    auto AddNeverMatches = [&](const std::string &Reason) {
      add(ResultCode::RouteNeverMatches, Severity::Error, subjectOf(Route),
          "the route matches no request: " + Reason);
    };
    if (Route.m_Host.empty())
      AddNeverMatches("its host is empty");
    if (Route.m_Host.find(':') != std::string::npos)
      AddNeverMatches("hosts are compared without a port, and its host " +
                      Route.m_Host + " has one");
    if (!Route.m_PathPrefix.empty() && Route.m_PathPrefix[0] != '/')
      AddNeverMatches("paths start with \"/\", and its path prefix is " +
                      Route.m_PathPrefix);
    if (Route.m_PathPrefix.find_first_of("?#") != std::string::npos)
      AddNeverMatches("paths are compared without a query, and its path "
                      "prefix " +
                      Route.m_PathPrefix + " has one");
    bool HasUpperCase =
        std::any_of(Route.m_Host.begin(), Route.m_Host.end(),
                    [](unsigned char Letter) { return std::isupper(Letter); });
    if (HasUpperCase)
      add(ResultCode::RouteNeverMatches, Severity::Warning, subjectOf(Route),
          "the host " + Route.m_Host +
              " has capital letters, which most callers send as small ones");
  }

  /// Asks findRoute() which route a request with exactly this host and prefix
  /// takes.
  void checkShadowing(std::size_t Index) {
    const RouteConfig &Route = m_State.m_Routes[Index];
    const RouteConfig *Taken =
        findRoute(m_State, Route.m_Host, Route.m_PathPrefix);
    if (Taken && Taken != &Route)
      add(ResultCode::RouteNeverMatches, Severity::Error, subjectOf(Route),
          "the route matches no request: " + subjectOf(*Taken) +
              " has the same host " + Route.m_Host + " and path prefix " +
              Route.m_PathPrefix + " and comes first");
    bool IsRepeated = std::any_of(m_State.m_Routes.begin(),
                                  m_State.m_Routes.begin() +
                                      static_cast<std::ptrdiff_t>(Index),
                                  [&Route](const RouteConfig &Other) {
                                    return Other.m_Name == Route.m_Name;
                                  });
    if (IsRepeated)
      add(ResultCode::DuplicateKey, Severity::Warning, subjectOf(Route),
          "another route has the same name, so logs don't tell them apart");
  }

  void checkService(const RouteConfig &Route) {
    if (m_State.m_Services.count(Route.m_Service) == 0)
      add(ResultCode::DanglingName, Severity::Error, subjectOf(Route),
          "the service \"" + Route.m_Service + "\" is not defined");
  }

  void checkTimes(const RouteConfig &Route) {
    auto AddContradiction = [&](Severity Level, const std::string &Text) {
      add(ResultCode::ContradictingLimits, Level, subjectOf(Route), Text);
    };
    if (Route.m_Timeout <= Duration::zero())
      AddContradiction(Severity::Error,
                       "the timeout is zero, so no job can end in time");
    else if (Route.m_Timeout < Route.m_TargetLatency)
      AddContradiction(Severity::Error,
                       "the timeout of " + formatDuration(Route.m_Timeout) +
                           " is shorter than the target latency of " +
                           formatDuration(Route.m_TargetLatency));
    else if (Route.m_MaxAttempts > 1 &&
             Route.m_Timeout < Route.m_TargetLatency * Route.m_MaxAttempts)
      AddContradiction(Severity::Warning,
                       std::to_string(Route.m_MaxAttempts) +
                           " attempts with a target latency of " +
                           formatDuration(Route.m_TargetLatency) +
                           " don't fit into the timeout of " +
                           formatDuration(Route.m_Timeout));
    if (Route.m_MaxAttempts == 0)
      AddContradiction(Severity::Warning,
                       "0 attempts have the effect of 1, because the first "
                       "run always takes place");
    if (Route.m_SlackFactor < 1)
      AddContradiction(Severity::Error,
                       "the slack factor is below 1, so the objective is "
                       "shorter than the run time");
  }

  /// A service is used by routes or by teams.
  void checkUse(const std::string &Name) {
    bool HasRoute = std::any_of(
        m_State.m_Routes.begin(), m_State.m_Routes.end(),
        [&Name](const RouteConfig &Route) { return Route.m_Service == Name; });
    bool HasTeam =
        std::any_of(m_State.m_Teams.begin(), m_State.m_Teams.end(),
                    [&Name](const auto &Team) {
                      const std::set<std::string> &Services =
                          Team.second.m_Services;
                      return Services.empty() || Services.count(Name) > 0;
                    });
    if (!HasRoute && !HasTeam)
      add(ResultCode::UnusedService, Severity::Warning, "service " + Name,
          "no route leads to the service and no team may use it");
  }

  void checkServers(const std::string &Name) {
    const auto &Served = m_Facts.m_ServedServices;
    if (Served && Served->count(Name) == 0)
      add(ResultCode::ServiceWithoutServers, Severity::Error, "service " + Name,
          "no backend server serves the service now");
  }

  void checkLimits(const std::string &Name, const ServiceConfig &Service) {
    auto AddContradiction = [&](Severity Level, const std::string &Text) {
      add(ResultCode::ContradictingLimits, Level, "service " + Name, Text);
    };
    if (Service.m_Connections == 0)
      AddContradiction(Severity::Error,
                       "0 connections to a backend server: no task can be "
                       "sent to it");
    else if (Service.m_Slots > Service.m_Connections)
      AddContradiction(Severity::Warning,
                       std::to_string(Service.m_Slots) +
                           " slots need as many connections, and only " +
                           std::to_string(Service.m_Connections) +
                           " are allowed");
    if (Service.m_DefaultDeadline > Service.m_MaxDeadline)
      AddContradiction(Severity::Error,
                       "the default deadline of " +
                           formatDuration(Service.m_DefaultDeadline) +
                           " exceeds the maximum of " +
                           formatDuration(Service.m_MaxDeadline));
    if (Service.m_LongThreshold > Service.m_MaxDeadline)
      AddContradiction(Severity::Warning,
                       "no task can be long: the threshold of " +
                           formatDuration(Service.m_LongThreshold) +
                           " exceeds the maximum deadline of " +
                           formatDuration(Service.m_MaxDeadline));
    else if (Service.m_LongSharePercent == 0)
      AddContradiction(Severity::Warning,
                       "a long share of 0% has the effect of one slot, so "
                       "that long tasks make progress");
  }

  void checkRequestLimits() {
    const ConfiguredLimits &Limits = m_State.m_Limits;
    auto AddContradiction = [&](Severity Level, const std::string &Text) {
      add(ResultCode::ContradictingLimits, Level, "limits", Text);
    };
    if (Limits.m_MaxHeaderBytes && *Limits.m_MaxHeaderBytes == 0)
      AddContradiction(Severity::Error,
                       "headers of 0 bytes are allowed: no request fits");
    if (Limits.m_MaxBodyBytes && *Limits.m_MaxBodyBytes == 0)
      AddContradiction(Severity::Error,
                       "bodies of 0 bytes are allowed: no job fits");
    if (Limits.m_HeaderTimeout && Limits.m_IdleTimeout &&
        *Limits.m_HeaderTimeout > *Limits.m_IdleTimeout)
      AddContradiction(Severity::Warning,
                       "the header timeout of " +
                           formatDuration(*Limits.m_HeaderTimeout) +
                           " exceeds the idle timeout of " +
                           formatDuration(*Limits.m_IdleTimeout));
    std::uint64_t HeaderBytes = Limits.m_MaxHeaderBytes.value_or(0);
    std::uint64_t BodyBytes = Limits.m_MaxBodyBytes.value_or(0);
    // Written without a sum, which could wrap around.
    bool IsTooLarge =
        m_Facts.m_Memory && (HeaderBytes > *m_Facts.m_Memory ||
                             BodyBytes > *m_Facts.m_Memory - HeaderBytes);
    if (IsTooLarge)
      AddContradiction(Severity::Error,
                       "a request with a header of " +
                           std::to_string(HeaderBytes) +
                           " bytes and a body of " + std::to_string(BodyBytes) +
                           " bytes exceeds the memory of " +
                           std::to_string(*m_Facts.m_Memory) + " bytes");
  }

  const DesiredState &m_State;
  const CheckFacts &m_Facts;
  std::vector<Finding> m_Findings;
};

} // namespace

std::vector<Finding> checkConfiguration(const DesiredState &State,
                                        const CheckFacts &Facts) {
  return Checker(State, Facts).run();
}

} // namespace cyclamenwalk
