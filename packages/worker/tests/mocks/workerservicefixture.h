#ifndef CYCLAMENWALK_WORKER_TESTS_MOCKS_WORKERSERVICEFIXTURE_H
#define CYCLAMENWALK_WORKER_TESTS_MOCKS_WORKERSERVICEFIXTURE_H

#include "core/tests/mocks/manualtimerservice.h"
#include "core/tests/mocks/metricsfake.h"
#include "membership/tests/mocks/linksfake.h"
#include "statechart/chartfolder.h"
#include "worker/tests/mocks/backendcontrolfake.h"
#include "worker/workermodule.h"

#include <gtest/gtest.h>

namespace cyclamenwalk {

inline constexpr std::uint64_t FirstToken = 100;
inline constexpr Resources Capacity{64000, 262144, 0};
inline constexpr Resources TaskResources{10000, 64, 0};
inline const Peer Entry{"entry-1", {7}, "10.0.0.1:1", "zone-a", Role::Entry};
inline const Peer OtherEntry{
    "entry-2", {8}, "10.0.0.2:1", "zone-a", Role::Entry};

/// A worker service with a fake backend server, links and timers.
class WorkerServiceTest : public testing::Test {
protected:
  explicit WorkerServiceTest(const WorkerSettings &Settings = {})
      : m_Charts(CW_CHART_DIR),
        m_Worker(makeWorkerService(Settings,
                                   {m_Charts, m_Links, m_Control, m_Timers,
                                    m_Metrics, [] { return FirstToken; }})) {
    m_Worker->entryUp(Entry);
    m_Worker->entryUp(OtherEntry);
  }

  BackendAnnouncement makeAnnouncement(const std::string &Instance = "i-1") {
    BackendAnnouncement Announcement;
    Announcement.m_Instance = Instance;
    Announcement.m_Address = "10.0.0.9:80";
    Announcement.m_Service = "gatepost";
    Announcement.m_Capacity = Capacity;
    Announcement.m_InstanceStartedAt = m_Control.m_InstanceStartedAt;
    Announcement.m_Sequence = ++m_Sequence;
    return Announcement;
  }

  /// Announces the server and lets the agent find no orphaned run there.
  void serve() {
    m_Worker->announce(makeAnnouncement());
    m_Control.answerHolds();
  }

  PlaceTasks makePlacement(std::uint32_t Tasks, std::uint64_t Job = 1) {
    PlaceTasks Body;
    Body.m_Job = {Entry.m_Incarnation, Job};
    Body.m_Name = "job" + std::to_string(Job);
    Body.m_Service = "gatepost";
    Body.m_Required = TaskResources;
    Body.m_ExpectedRunTime = milliseconds(100);
    Body.m_StartWithin = milliseconds(100);
    Body.m_OrderWithin = milliseconds(100);
    Body.m_Remaining = seconds(2);
    Body.m_MaxWait = seconds(2);
    for (std::uint32_t I = 0; I < Tasks; ++I)
      Body.m_Tasks.push_back({I, 1});
    return Body;
  }

  void place(PlaceTasks Body, const Peer &From = Entry) {
    Message Received = std::move(Body);
    m_Worker->receive(From.m_Incarnation, Received);
  }

  /// The results sent to \p To since the last call.
  std::vector<RunResult> takeResults(const Peer &To = Entry) {
    m_Timers.advance(milliseconds(10));
    std::vector<RunResult> Results;
    for (const auto &Sent : m_Links.sent<RunResults>())
      if (Sent.first == To.m_Incarnation)
        Results.insert(Results.end(), Sent.second.m_RunResults.begin(),
                       Sent.second.m_RunResults.end());
    m_Links.m_Sent.clear();
    return Results;
  }

  ChartFolder m_Charts;
  LinksFake m_Links;
  BackendControlFake m_Control;
  ManualTimerService m_Timers;
  MetricsFake m_Metrics;
  std::unique_ptr<IWorkerService> m_Worker;
  std::uint64_t m_Sequence = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_WORKER_TESTS_MOCKS_WORKERSERVICEFIXTURE_H
