#ifndef CYCLAMENWALK_CONFIGURATION_TYPES_DESIREDSTATE_H
#define CYCLAMENWALK_CONFIGURATION_TYPES_DESIREDSTATE_H

#include "core/types/requestlimits.h"
#include "core/types/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// Settings of one service.
struct ServiceConfig {
  /// Concurrent tasks on one backend server. Zero selects the number that the
  /// server announces.
  std::uint32_t m_Slots = 0;
  /// Maximum number of connections to one backend server.
  std::uint32_t m_Connections = 64;
  /// Maximum share of the slots of a backend server for long tasks, in percent.
  std::uint32_t m_LongSharePercent = 50;
  /// Tasks with at least this expected run time are long.
  Duration m_LongThreshold = seconds(2);
  /// Deadline of requests without one, and the upper limit of all deadlines.
  Duration m_DefaultDeadline = seconds(10);
  Duration m_MaxDeadline = seconds(300);
  /// Maximum number of tasks in a job.
  std::uint32_t m_MaxTasks = 1000;
  bool operator==(const ServiceConfig &) const = default;
};

/// Settings of one team.
struct TeamConfig {
  /// Share of the slots relative to other teams.
  std::uint32_t m_Weight = 1;
  /// Maximum concurrent tasks per service over all entries. Zero for no limit.
  std::uint32_t m_Quota = 0;
  /// Services that the team may use. Empty for all.
  std::set<std::string> m_Services;
  bool operator==(const TeamConfig &) const = default;
};

/// Maps HTTP requests to jobs of a service.
struct RouteConfig {
  std::string m_Name;
  /// A request takes the route with its host and the longest matching path
  /// prefix.
  std::string m_Host;
  std::string m_PathPrefix;
  std::string m_Service;
  /// Zero is the highest priority.
  std::uint32_t m_Priority = 0;
  /// Maximum runs per task. The job fails when the last one fails.
  std::uint32_t m_MaxAttempts = 1;
  /// The time objective is the run time times the slack factor, plus the target
  /// latency.
  double m_SlackFactor = 1;
  Duration m_TargetLatency{};
  /// Maximum time until the request is answered.
  Duration m_Timeout = seconds(10);
  /// Whether each start requires a decision of the recommendation service.
  bool m_RequiresRecommendation = false;
  bool operator==(const RouteConfig &) const = default;
};

/// A complete configuration, as read from one file.
struct DesiredState {
  std::vector<RouteConfig> m_Routes;
  std::map<std::string, ServiceConfig> m_Services;
  std::map<std::string, TeamConfig> m_Teams;
  ConfiguredLimits m_Limits;
  bool operator==(const DesiredState &) const = default;
};

/// Returns the route of a request, or null if none matches.
const RouteConfig *findRoute(const DesiredState &State, const std::string &Host,
                             const std::string &Path);

/// Returns one line per value that differs. Used by the audit trail and diff.
std::vector<std::string> listChanges(const DesiredState &Before,
                                     const DesiredState &After);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CONFIGURATION_TYPES_DESIREDSTATE_H
