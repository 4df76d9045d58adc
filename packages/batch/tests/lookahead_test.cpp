#include "batch/batchmodule.h"
#include "batch/internal/workertable.h"
#include "core/tests/mocks/manualtimerservice.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cyclamenwalk;

namespace {

constexpr Incarnation Entry{1};
constexpr Resources Capacity{32000, 262144, 0};

WorkerReport report(std::int64_t FreeMilliCores, const std::string &Kind = "") {
  WorkerReport Report;
  Report.m_Service = "gatepost";
  Report.m_Kind = Kind;
  Report.m_Capacity = Capacity;
  Report.m_Free = {FreeMilliCores, 262144, 0};
  Report.m_IsAccepting = true;
  Report.m_MeanRemaining = milliseconds(500);
  return Report;
}

PlacementJob job(std::uint32_t Tasks) {
  PlacementJob Job;
  Job.m_Tasks = Tasks;
  Job.m_Required = {2000, 64, 0};
  Job.m_ExpectedRunTime = milliseconds(100);
  return Job;
}

} // namespace

/// Guards against sums and orders that drift from the reports, whatever joins,
/// changes or leaves.
TEST(LookAheadWorkerTable, answersAsTheTableWithoutIndex) {
  EXPECT_TRUE(rc::check("the index equals a scan", [] {
    ManualTimerService Timers;
    WorkerTable Plain(Entry, {}, Timers);
    WorkerTable Indexed(Entry, {.m_LooksAhead = true}, Timers);
    auto Steps = *rc::gen::inRange(1, 60);
    for (int I = 0; I < Steps; ++I) {
      Incarnation Agent{*rc::gen::inRange<std::uint64_t>(1, 8)};
      auto Action = *rc::gen::inRange(0, 6);
      WorkerReport Report = report(*rc::gen::inRange<std::int64_t>(0, 32000),
                                   Action < 4 ? "usual" : "large");
      Report.m_IsAccepting = Action != 3;
      Report.m_Capacity.m_MilliCores += Action == 4 ? 16000 : 0;
      for (WorkerTable *Table : {&Plain, &Indexed}) {
        if (Action == 5)
          Table->remove(Agent);
        else if (!Table->contains(Agent))
          Table->add({"a", Agent, "", "z", Role::Agent});
        Table->updateReport(Agent, Report);
        if (Table->contains(Agent) && Action == 1)
          Table->addPlacement(Agent, job(2), 2);
      }
      Timers.advance(milliseconds(1));
      RC_ASSERT(Plain.hasAccepting() == Indexed.hasAccepting());
      RC_ASSERT(Plain.oldestReportAge("gatepost") ==
                Indexed.oldestReportAge("gatepost"));
      RC_ASSERT(std::abs(Plain.coreUtilization("gatepost") -
                         Indexed.coreUtilization("gatepost")) < 1e-9);
      for (std::int64_t Cores : {32000, 40000, 64000})
        RC_ASSERT(Plain.canHold("gatepost", {Cores, 64, 0}) ==
                  Indexed.canHold("gatepost", {Cores, 64, 0}));
      RC_ASSERT(Plain.placementWorkers("gatepost", {}).size() ==
                Indexed.candidates("gatepost", job(8), {}).size());
    }
  }));
}

/// Guards against a cost that grows with the number of servers, and against
/// candidates without the room that others have.
TEST(LookAheadWorkerTable, offersTheWorkersWithTheMostRoom) {
  ManualTimerService Timers;
  WorkerTable Table(Entry, {.m_LooksAhead = true}, Timers);
  for (std::uint64_t I = 1; I <= 200; ++I) {
    Table.add({"a", {I}, "", "z", Role::Agent});
    Table.updateReport({I}, report(static_cast<std::int64_t>(100 * I)));
  }
  auto Candidates = Table.candidates("gatepost", job(2), {{200}});
  EXPECT_LE(Candidates.size(), 12u);
  for (const PlacementWorker &Candidate : Candidates) {
    EXPECT_GT(Candidate.m_Agent, Incarnation{180});
    EXPECT_NE(Candidate.m_Agent, Incarnation{200});
  }
}

/// A job that the mean remaining time would refuse is served by a known end;
/// ends count from the time of the report.
TEST(LookAheadWorkerTable, forecastsFromTheEndsOfAnOldReport) {
  ManualTimerService Timers;
  for (bool LooksAhead : {false, true}) {
    WorkerTable Table(Entry, {.m_LooksAhead = LooksAhead}, Timers);
    Table.add({"a", {11}, "", "z", Role::Agent});
    WorkerReport Full = report(0);
    Full.m_ExpectedEnds = {{milliseconds(80), {2000, 64, 0}}};
    Table.updateReport({11}, Full);
    Timers.advance(milliseconds(10));
    auto Workers = Table.candidates("gatepost", job(1), {});
    ASSERT_EQ(Workers.size(), 1u);
    Duration Wait = forecastWait(Workers[0], job(1));
    if (LooksAhead)
      EXPECT_EQ(Wait, milliseconds(70));
    else
      EXPECT_NE(Wait, milliseconds(70));
  }
}
