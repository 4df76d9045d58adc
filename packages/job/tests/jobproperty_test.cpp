#include "job/tests/mocks/cellfake.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cyclamenwalk;

namespace {

/// Takes random steps in a cell and checks the promises after them.
class Explorer {
public:
  void step(int Kind) {
    switch (Kind) {
    case 0:
      submit();
      break;
    case 1:
      finishOne(ResultCode::Ok);
      break;
    case 2:
      finishOne(ResultCode::TaskFailed);
      break;
    case 3:
      relink();
      break;
    case 4:
      replaceBackend();
      break;
    case 5:
      m_Cell.m_Timers.advance(milliseconds(100));
      break;
    case 6:
      cancel();
      break;
    case 7:
      pickAgent().m_Slots->leave();
      break;
    default:
      deliverSome();
    }
  }

  void settle() {
    for (int I = 0; I < 400; ++I) {
      m_Cell.advance(milliseconds(50));
      m_Cell.finishAll();
    }
  }

  void check() {
    RC_ASSERT(m_Cell.m_Answers.size() == m_Jobs.size());
    std::set<JobId> Answered;
    for (const JobAnswer &Whole : m_Cell.m_Answers) {
      RC_ASSERT(Answered.insert(Whole.m_Job).second);
      checkAnswer(Whole);
    }
  }

private:
  static constexpr std::uint32_t TasksInJob = 3;

  void checkAnswer(const JobAnswer &Whole) {
    int Starts = 0;
    for (std::uint32_t I = 0; I < TasksInJob; ++I) {
      int OfTask = m_Cell.starts(TaskId{Whole.m_Job, I});
      RC_ASSERT(OfTask <= 1);
      Starts += OfTask;
    }
    if (outcomeOf(Whole.m_Code) == Outcome::DidNotRun)
      RC_ASSERT(Starts == 0);
    if (Whole.m_Code != ResultCode::Ok) {
      RC_ASSERT(Whole.m_Answers.empty());
      return;
    }
    RC_ASSERT(Whole.m_Answers.size() == TasksInJob);
    for (std::uint32_t I = 0; I < TasksInJob; ++I)
      RC_ASSERT(Whole.m_Answers[I] == std::to_string(I));
  }

  std::size_t pick(std::size_t Count) {
    return *rc::gen::inRange<std::size_t>(0, Count);
  }

  FakeAgent &pickAgent() { return m_Cell.agent(pick(2)); }

  void submit() {
    JobSpec Spec = CellFake::spec(TasksInJob);
    Spec.m_Deadline = seconds(1);
    m_Jobs.push_back(m_Cell.submit(pick(2), Spec));
  }

  void finishOne(ResultCode Code) {
    ExecutorFake &Executor = pickAgent().m_Executor;
    if (Executor.m_Running.empty())
      return;
    TaskId Task = Executor.m_Running.begin()->first;
    Executor.finish(Task, Code, std::to_string(Task.m_Index));
  }

  void relink() {
    FakeEntry &Entry = m_Cell.entry(pick(2));
    FakeAgent &Agent = pickAgent();
    m_Cell.unlink(Entry, Agent);
    m_Cell.link(Entry, Agent);
  }

  void replaceBackend() {
    pickAgent().announce(2, "run-" + std::to_string(++m_Runs));
  }

  void cancel() {
    if (m_Jobs.empty())
      return;
    JobId Id = m_Jobs[pick(m_Jobs.size())];
    for (auto &Known : m_Cell.m_Entries)
      Known->m_Jobs->cancel(Id);
  }

  void deliverSome() {
    for (std::size_t I = pick(6); I > 0; --I)
      m_Cell.deliverOne();
  }

  CellFake m_Cell{2, 2, 2};
  std::vector<JobId> m_Jobs;
  int m_Runs = 0;
};

} // namespace

// Whatever happens to links, backend servers, time and order of delivery:
// each task starts at most once, each job is answered once, wholly or not at
// all, and "did not run" is true.
TEST(JobProperties, promisesHoldUnderRandomFaults) {
  EXPECT_TRUE(rc::check("promises", [] {
    Explorer Walk;
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 16));
    for (int Kind : Steps)
      Walk.step(Kind);
    Walk.settle();
    Walk.check();
  }));
}
