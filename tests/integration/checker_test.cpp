#include "support/checker.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

/// A job of two tasks whose log and answer are consistent.
struct CheckedJob {
  CheckedJob() {
    for (const char *Line : {"start j1-0 r1 order", "done j1-0 r1 order",
                             "start j1-1 r2 order", "done j1-1 r2 order"})
      m_Log.addLine(Line);
    m_Answer.m_Job = "j1";
    m_Answer.m_Reference = "order";
    m_Answer.m_Tasks = 2;
    m_Answer.m_AnsweredTaskIds = {"j1-0", "j1-1"};
  }

  std::size_t countViolations() const {
    return findViolations(m_Log, {m_Answer}).size();
  }

  BackendLog m_Log;
  CallerAnswer m_Answer;
};

} // namespace

TEST(Checker, acceptsACompleteAnswer) {
  EXPECT_EQ(CheckedJob().countViolations(), 0u);
}

TEST(Checker, detectsTaskThatStartsTwice) {
  CheckedJob Job;
  Job.m_Answer.m_Reference.clear();
  Job.m_Log.addLine("start j1-0 r3 -");
  EXPECT_EQ(Job.countViolations(), 1u);
}

TEST(Checker, detectsRequestThatRanAsTwoJobs) {
  CheckedJob Job;
  Job.m_Log.addLine("start j2-0 r1 order");
  EXPECT_EQ(Job.countViolations(), 1u);
}

TEST(Checker, detectsMissingTaskAnswer) {
  CheckedJob Job;
  Job.m_Answer.m_AnsweredTaskIds.pop_back();
  EXPECT_EQ(Job.countViolations(), 1u);
}

TEST(Checker, detectsSwappedTaskAnswers) {
  CheckedJob Job;
  Job.m_Answer.m_AnsweredTaskIds = {"j1-1", "j1-0"};
  EXPECT_EQ(Job.countViolations(), 2u);
}

TEST(Checker, detectsStartOfAJobReportedAsNotRun) {
  CheckedJob Job;
  Job.m_Answer.m_Code = ResultCode::DeadlineBeforeStart;
  Job.m_Answer.m_AnsweredTaskIds.clear();
  EXPECT_EQ(Job.countViolations(), 1u);
}

TEST(Checker, detectsAnswersOfAFailedJob) {
  CheckedJob Job;
  Job.m_Answer.m_Code = ResultCode::TaskFailed;
  EXPECT_EQ(Job.countViolations(), 1u);
}

TEST(Checker, detectsAnswerOfAnUnfinishedTask) {
  CheckedJob Job;
  Job.m_Answer.m_Tasks = 3;
  Job.m_Answer.m_AnsweredTaskIds.push_back("j1-2");
  EXPECT_EQ(Job.countViolations(), 1u);
}
