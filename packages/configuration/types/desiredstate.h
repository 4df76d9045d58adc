#ifndef CYCLAMENWALK_CONFIGURATION_TYPES_DESIREDSTATE_H
#define CYCLAMENWALK_CONFIGURATION_TYPES_DESIREDSTATE_H

#include "core/types/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// What operators want of one service.
struct ServiceConfig {
  /// Tasks at once on one backend server; zero for what it announces.
  std::uint32_t m_Slots = 0;
  /// Connections to one backend server.
  std::uint32_t m_Connections = 64;
  /// Share of each backend server's slots that long tasks may hold, percent.
  std::uint32_t m_LongSharePercent = 50;
  /// Expected run time from which a task is of the long class.
  Duration m_LongThreshold = seconds(2);
  /// Deadline of a request that states none, and the longest accepted.
  Duration m_DefaultDeadline = seconds(10);
  Duration m_MaxDeadline = seconds(300);
  /// Largest number of tasks in a job.
  std::uint32_t m_MaxTasks = 1000;
  bool operator==(const ServiceConfig &) const = default;
};

/// What operators want of one team.
struct TeamConfig {
  std::uint32_t m_Weight = 1;
  /// Tasks at once over all entries, for each service; zero for no limit.
  std::uint32_t m_Quota = 0;
  /// Services that the team may use; empty for all.
  std::set<std::string> m_Services;
  bool operator==(const TeamConfig &) const = default;
};

/// Which requests of callers become jobs of which service, and how.
struct RouteConfig {
  std::string m_Name;
  /// The route of a request has its host and the longest matching prefix.
  std::string m_Host;
  std::string m_PathPrefix;
  std::string m_Service;
  /// Zero goes first.
  std::uint32_t m_Priority = 0;
  /// Runs of one task that may fail before its job does.
  std::uint32_t m_MaxAttempts = 1;
  /// The objective is this factor on the run time, and the latency on top.
  double m_SlackFactor = 1;
  Duration m_TargetLatency{};
  /// Longest time to an answer.
  Duration m_Timeout = seconds(10);
  /// Whether a decision of another service is needed for each start.
  bool m_RequiresRecommendation = false;
  bool operator==(const RouteConfig &) const = default;
};

/// A whole configuration, as one file states it.
struct DesiredState {
  std::vector<RouteConfig> m_Routes;
  std::map<std::string, ServiceConfig> m_Services;
  std::map<std::string, TeamConfig> m_Teams;
  bool operator==(const DesiredState &) const = default;
};

/// The route of a request; null when there is none.
const RouteConfig *findRoute(const DesiredState &State, const std::string &Host,
                             const std::string &Path);

/// One line for each value that differs, for the audit trail and for diff.
std::vector<std::string> listChanges(const DesiredState &Before,
                                     const DesiredState &After);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CONFIGURATION_TYPES_DESIREDSTATE_H
