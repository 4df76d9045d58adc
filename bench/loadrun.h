#ifndef CYCLAMENWALK_BENCH_LOADRUN_H
#define CYCLAMENWALK_BENCH_LOADRUN_H

#include "support/site.h"
#include "workload.h"

#include <map>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// What became of one request.
struct LoadSample {
  std::string m_Kind;
  std::size_t m_Tasks = 0;
  Duration m_Ideal{};
  Duration m_Response{};
  ResultCode m_Code = ResultCode::Ok;
  CallerAnswer m_Told;
};

/// Counters of all processes of a site, by metric name.
using SiteCounts = std::map<std::string, double>;

SiteCounts readCounts(const Site &At, const SiteForm &Form);

/// Sends the requests at their times, round robin over the entries, and waits
/// for all answers.
std::vector<LoadSample> runLoad(const Site &At, const SiteForm &Form,
                                const std::vector<WorkItem> &Items);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BENCH_LOADRUN_H
