#include "batch/tests/mocks/batchservicefake.h"
#include "core/tests/mocks/manualtimerservice.h"
#include "forward/joblookupmodule.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

class CancelledJobsTest : public testing::Test {
protected:
  void submit(const std::string &Name) {
    BatchSpec Spec;
    Spec.m_Name = Name;
    m_CancelledJobs->submit(std::move(Spec), [this](const BatchAnswer &Answer) {
      m_Codes.push_back(Answer.m_Code);
    });
  }

  BatchServiceFake m_Jobs;
  ManualTimerService m_Timers;
  std::unique_ptr<ICancelledJobs> m_CancelledJobs =
      makeCancelledJobs({}, m_Jobs, m_Timers);
  std::vector<ResultCode> m_Codes;
};

} // namespace

/// The cancellation and the job reached the entry on different ways.
TEST_F(CancelledJobsTest, RefusesAJobThatArrivesAfterItsCancellation) {
  m_CancelledJobs->refuse("a1");
  submit("a1");
  EXPECT_TRUE(m_Jobs.m_Submitted.empty());
  EXPECT_EQ(m_Codes, std::vector{ResultCode::CancelledBeforeStart});
  EXPECT_EQ(outcomeOf(ResultCode::CancelledBeforeStart), Outcome::DidNotRun);
  submit("a2");
  EXPECT_EQ(m_Jobs.m_Submitted.size(), 1u);
}

TEST_F(CancelledJobsTest, ForgetsACancellation) {
  m_CancelledJobs->refuse("a1");
  m_Timers.advance(seconds(9));
  m_CancelledJobs->refuse("a1");
  m_Timers.advance(seconds(9));
  submit("a1");
  EXPECT_TRUE(m_Jobs.m_Submitted.empty()) << "counted from the last one";
  m_Timers.advance(seconds(1));
  submit("a1");
  EXPECT_EQ(m_Jobs.m_Submitted.size(), 1u);
}
