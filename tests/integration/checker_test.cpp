#include "support/checker.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

/// A log and answers in which every promise holds.
struct Record {
  Record() {
    for (const char *Line : {"start j1-0 r1 order", "done j1-0 r1 order",
                             "start j1-1 r2 order", "done j1-1 r2 order"})
      m_Log.addLine(Line);
    m_Told.m_Job = "j1";
    m_Told.m_Reference = "order";
    m_Told.m_Tasks = 2;
    m_Told.m_AnsweredTasks = {"j1-0", "j1-1"};
  }

  std::size_t violations() const {
    return findViolations(m_Log, {m_Told}).size();
  }

  BackendLog m_Log;
  CallerAnswer m_Told;
};

} // namespace

TEST(Checker, acceptsAWholeAnswer) { EXPECT_EQ(Record().violations(), 0u); }

TEST(Checker, findsADoubleStart) {
  Record Subject;
  Subject.m_Told.m_Reference.clear();
  Subject.m_Log.addLine("start j1-0 r3 -");
  EXPECT_EQ(Subject.violations(), 1u);
}

TEST(Checker, findsARequestThatRanTwiceUnderTwoJobs) {
  Record Subject;
  Subject.m_Log.addLine("start j2-0 r1 order");
  EXPECT_EQ(Subject.violations(), 1u);
}

TEST(Checker, findsAPartialAnswer) {
  Record Subject;
  Subject.m_Told.m_AnsweredTasks.pop_back();
  EXPECT_EQ(Subject.violations(), 1u);
}

TEST(Checker, findsACrossedAnswer) {
  Record Subject;
  Subject.m_Told.m_AnsweredTasks = {"j1-1", "j1-0"};
  EXPECT_EQ(Subject.violations(), 2u);
}

TEST(Checker, findsAFalseDidNotRun) {
  Record Subject;
  Subject.m_Told.m_Code = ResultCode::DeadlineBeforeStart;
  Subject.m_Told.m_AnsweredTasks.clear();
  EXPECT_EQ(Subject.violations(), 1u);
}

TEST(Checker, findsAnswersOfAFailedJob) {
  Record Subject;
  Subject.m_Told.m_Code = ResultCode::TaskFailed;
  EXPECT_EQ(Subject.violations(), 1u);
}

TEST(Checker, findsAnAnswerOfATaskThatWasNotDone) {
  Record Subject;
  Subject.m_Told.m_Tasks = 3;
  Subject.m_Told.m_AnsweredTasks.push_back("j1-2");
  EXPECT_EQ(Subject.violations(), 1u);
}
