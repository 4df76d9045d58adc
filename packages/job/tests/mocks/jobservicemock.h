#ifndef CYCLAMENWALK_JOB_TESTS_MOCKS_JOBSERVICEMOCK_H
#define CYCLAMENWALK_JOB_TESTS_MOCKS_JOBSERVICEMOCK_H

#include "job/ijobservice.h"

#include <gmock/gmock.h>
#include <map>

namespace cyclamenwalk {

class JobServiceMock : public IJobService {
public:
  MOCK_METHOD(JobId, reserve, (), (override));
  MOCK_METHOD(ResultCode, precheck, (const JobSpec &), (override));
  MOCK_METHOD(void, submitAs, (JobId, JobSpec, JobCallback), (override));
  MOCK_METHOD(bool, wait, (JobId, JobCallback), (override));
  MOCK_METHOD(bool, cancel, (JobId), (override));
  MOCK_METHOD(void, agentUp, (const Peer &), (override));
  MOCK_METHOD(void, agentDown, (const Peer &), (override));
  MOCK_METHOD(void, receive, (Incarnation, Message &), (override));
  MOCK_METHOD(void, reconfigure, (), (override));
  MOCK_METHOD(SiteStatus, status, (), (const, override));
  MOCK_METHOD(std::size_t, running, (), (const, override));
};

/// Behaves like the jobs of one entry: the test ends them.
class JobServiceFake : public testing::NiceMock<JobServiceMock> {
public:
  explicit JobServiceFake(Incarnation Own) {
    ON_CALL(*this, reserve).WillByDefault([this, Own] {
      return JobId{Own, ++m_LastSequence};
    });
    ON_CALL(*this, precheck).WillByDefault([this](const JobSpec &) {
      return m_Precheck;
    });
    ON_CALL(*this, submitAs)
        .WillByDefault([this](JobId Id, const JobSpec &, JobCallback Done) {
          if (m_Precheck != ResultCode::Ok)
            return Done({Id, m_Precheck, "", {}});
          ++m_Runs;
          m_Running[Id].push_back(std::move(Done));
        });
    ON_CALL(*this, wait).WillByDefault([this](JobId Id, JobCallback Done) {
      if (m_Ended.count(Id))
        Done(m_Ended.at(Id));
      else if (m_Running.count(Id))
        m_Running[Id].push_back(std::move(Done));
      else
        return false;
      return true;
    });
  }

  void endAll(ResultCode Code) {
    auto Ending = std::move(m_Running);
    m_Running.clear();
    for (auto &Known : Ending) {
      m_Ended[Known.first] = {Known.first, Code, "", {}};
      for (const JobCallback &Done : Known.second)
        Done(m_Ended[Known.first]);
    }
  }

  ResultCode m_Precheck = ResultCode::Ok;
  int m_Runs = 0;
  std::map<JobId, std::vector<JobCallback>> m_Running;
  std::map<JobId, JobAnswer> m_Ended;

private:
  std::uint64_t m_LastSequence = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_TESTS_MOCKS_JOBSERVICEMOCK_H
