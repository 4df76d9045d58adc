#ifndef CYCLAMENWALK_JOB_TESTS_MOCKS_JOBSERVICEMOCK_H
#define CYCLAMENWALK_JOB_TESTS_MOCKS_JOBSERVICEMOCK_H

#include "job/ijobservice.h"

#include <gmock/gmock.h>
#include <map>

namespace cyclamenwalk {

class JobServiceMock : public IJobService {
public:
  MOCK_METHOD(JobId, reserve, (), (override));
  MOCK_METHOD(ResultCode, checkAdmission, (const JobSpec &), (override));
  MOCK_METHOD(void, submitWithId, (JobId, JobSpec, JobCallback), (override));
  MOCK_METHOD(bool, wait, (JobId, JobCallback), (override));
  MOCK_METHOD(bool, cancel, (JobId), (override));
  MOCK_METHOD(void, agentUp, (const Peer &), (override));
  MOCK_METHOD(void, agentDown, (const Peer &), (override));
  MOCK_METHOD(void, receive, (Incarnation, Message &), (override));
  MOCK_METHOD(void, reconfigure, (), (override));
  MOCK_METHOD(EntryStatus, status, (), (const, override));
  MOCK_METHOD(std::size_t, running, (), (const, override));
};

/// A job service whose jobs run until the test ends them.
class JobServiceFake : public testing::NiceMock<JobServiceMock> {
public:
  explicit JobServiceFake(Incarnation Entry) {
    ON_CALL(*this, reserve).WillByDefault([this, Entry] {
      return JobId{Entry, ++m_LastSequence};
    });
    ON_CALL(*this, checkAdmission).WillByDefault([this](const JobSpec &) {
      return m_AdmissionCode;
    });
    ON_CALL(*this, submitWithId)
        .WillByDefault([this](JobId Id, const JobSpec &, JobCallback Done) {
          if (m_AdmissionCode != ResultCode::Ok)
            return Done({Id, m_AdmissionCode, "", {}});
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
    auto EndedJobs = std::move(m_Running);
    m_Running.clear();
    for (auto &IdAndCallbacks : EndedJobs) {
      m_Ended[IdAndCallbacks.first] = {IdAndCallbacks.first, Code, "", {}};
      for (const JobCallback &Done : IdAndCallbacks.second)
        Done(m_Ended[IdAndCallbacks.first]);
    }
  }

  ResultCode m_AdmissionCode = ResultCode::Ok;
  int m_Runs = 0;
  std::map<JobId, std::vector<JobCallback>> m_Running;
  std::map<JobId, JobAnswer> m_Ended;

private:
  std::uint64_t m_LastSequence = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_JOB_TESTS_MOCKS_JOBSERVICEMOCK_H
