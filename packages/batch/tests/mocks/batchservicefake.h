#ifndef CYCLAMENWALK_BATCH_TESTS_MOCKS_BATCHSERVICEFAKE_H
#define CYCLAMENWALK_BATCH_TESTS_MOCKS_BATCHSERVICEFAKE_H

#include "batch/ibatchservice.h"

#include <functional>
#include <set>
#include <vector>

namespace cyclamenwalk {

/// Records submitted jobs, which the test answers.
class BatchServiceFake final : public IBatchService {
public:
  JobId submit(BatchSpec Spec, BatchCallback Callback) override {
    m_Submitted.push_back(std::move(Spec));
    m_Callbacks.push_back(std::move(Callback));
    return {{}, m_Submitted.size()};
  }
  void removeCaller(JobId Id) override {
    m_Removed.push_back(Id);
    if (m_OnRemove)
      m_OnRemove();
  }
  bool cancel(const std::string &Name) override {
    m_Cancelled.push_back(Name);
    return false;
  }
  bool isRunning(const std::string &) const override { return false; }
  std::size_t waiting(const std::string &) const override { return 0; }
  std::size_t running() const override { return 0; }
  bool isStopping(const std::string &Name) const override {
    return m_Stopping.count(Name) > 0;
  }
  void agentUp(const Peer &) override {}
  void agentDown(const Peer &) override {}
  void receive(Incarnation, Message &) override {}
  bool hasWorkers() const override { return !m_Rooms.empty(); }
  std::vector<ServiceRoom> rooms() const override { return m_Rooms; }

  std::vector<GroupWork> groupWork() const override { return m_GroupWork; }
  void receiveGroupWork(Incarnation Entry,
                        const std::vector<GroupWork> &Work) override {
    m_ReceivedGroupWork.emplace_back(Entry, Work);
  }

  /// Answers the job with that index in m_Submitted.
  void answer(std::size_t Index, ResultCode Code) {
    m_Callbacks.at(Index)({{}, Code, std::nullopt});
  }

  std::vector<ServiceRoom> m_Rooms;
  std::vector<GroupWork> m_GroupWork;
  std::vector<std::pair<Incarnation, std::vector<GroupWork>>>
      m_ReceivedGroupWork;
  std::vector<BatchSpec> m_Submitted;
  std::vector<BatchCallback> m_Callbacks;
  std::vector<JobId> m_Removed;
  std::vector<std::string> m_Cancelled;
  std::set<std::string> m_Stopping;
  /// Called when a caller is removed.
  std::function<void()> m_OnRemove;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_TESTS_MOCKS_BATCHSERVICEFAKE_H
