#ifndef CYCLAMENWALK_BENCH_LOADRUN_H
#define CYCLAMENWALK_BENCH_LOADRUN_H

#include "support/site.h"
#include "workload.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// Result of one request.
struct LoadSample {
  std::string m_Kind;
  std::size_t m_TaskCount = 0;
  Duration m_IdealTime{};
  Duration m_ResponseTime{};
  ResultCode m_ResultCode = ResultCode::Ok;
  CallerAnswer m_Answer;
};

/// Sum of each counter over all processes of a site, by metric name.
using SiteCounters = std::map<std::string, double>;

SiteCounters readCounters(const Site &TestSite, const SiteOptions &Options);

/// Sends the requests at their arrival times, round robin over the entries, and
/// waits for all answers.
std::vector<LoadSample> runLoad(const Site &TestSite,
                                const SiteOptions &Options,
                                const std::vector<WorkItem> &Items);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BENCH_LOADRUN_H
