#include "job/tests/mocks/clusterfake.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cyclamenwalk;

namespace {

/// Takes random steps in a cluster. Afterwards checks that the guarantees held.
class RandomWalk {
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
      reconnect();
      break;
    case 4:
      replaceBackend();
      break;
    case 5:
      m_Cluster.m_Timers.advance(milliseconds(100));
      break;
    case 6:
      cancel();
      break;
    case 7:
      pickAgent().m_Slots->drain();
      break;
    default:
      deliverSome();
    }
  }

  void runToCompletion() {
    for (int I = 0; I < 400; ++I) {
      m_Cluster.advance(milliseconds(50));
      m_Cluster.finishAll();
    }
  }

  void check() {
    RC_ASSERT(m_Cluster.m_Answers.size() == m_Jobs.size());
    std::set<JobId> Answered;
    for (const JobAnswer &Answer : m_Cluster.m_Answers) {
      RC_ASSERT(Answered.insert(Answer.m_Job).second);
      checkAnswer(Answer);
    }
  }

private:
  static constexpr std::uint32_t TasksPerJob = 3;

  void checkAnswer(const JobAnswer &Answer) {
    int Starts = 0;
    for (std::uint32_t I = 0; I < TasksPerJob; ++I) {
      int TaskStarts = m_Cluster.starts(TaskId{Answer.m_Job, I});
      RC_ASSERT(TaskStarts <= 1);
      Starts += TaskStarts;
    }
    if (outcomeOf(Answer.m_Code) == Outcome::DidNotRun)
      RC_ASSERT(Starts == 0);
    if (Answer.m_Code != ResultCode::Ok) {
      RC_ASSERT(Answer.m_Answers.empty());
      return;
    }
    RC_ASSERT(Answer.m_Answers.size() == TasksPerJob);
    for (std::uint32_t I = 0; I < TasksPerJob; ++I)
      RC_ASSERT(Answer.m_Answers[I] == std::to_string(I));
  }

  std::size_t pick(std::size_t Count) {
    return *rc::gen::inRange<std::size_t>(0, Count);
  }

  FakeAgent &pickAgent() { return m_Cluster.agent(pick(2)); }

  void submit() {
    JobSpec Spec = ClusterFake::spec(TasksPerJob);
    Spec.m_Deadline = seconds(1);
    m_Jobs.push_back(m_Cluster.submit(pick(2), Spec));
  }

  void finishOne(ResultCode Code) {
    ExecutorFake &Executor = pickAgent().m_Executor;
    if (Executor.m_Running.empty())
      return;
    TaskId Task = Executor.m_Running.begin()->first;
    Executor.finish(Task, Code, std::to_string(Task.m_Index));
  }

  void reconnect() {
    FakeEntry &Entry = m_Cluster.entry(pick(2));
    FakeAgent &Agent = pickAgent();
    m_Cluster.unlink(Entry, Agent);
    m_Cluster.link(Entry, Agent);
  }

  void replaceBackend() {
    pickAgent().announce(2, "run-" + std::to_string(++m_LastRun));
  }

  void cancel() {
    if (m_Jobs.empty())
      return;
    JobId Id = m_Jobs[pick(m_Jobs.size())];
    for (auto &Entry : m_Cluster.m_Entries)
      Entry->m_Jobs->cancel(Id);
  }

  void deliverSome() {
    for (std::size_t I = pick(6); I > 0; --I)
      m_Cluster.deliverOne();
  }

  ClusterFake m_Cluster{2, 2, 2};
  std::vector<JobId> m_Jobs;
  int m_LastRun = 0;
};

} // namespace

// Under random broken links, restarted backend servers, delays and message
// orders, each task starts at most once, each job is answered exactly once with
// all answers or none, and no task of a "did not run" job was started.
TEST(JobProperties, guaranteesHoldUnderRandomFaults) {
  EXPECT_TRUE(rc::check("guarantees", [] {
    RandomWalk Walk;
    auto Steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 16));
    for (int Kind : Steps)
      Walk.step(Kind);
    Walk.runToCompletion();
    Walk.check();
  }));
}
