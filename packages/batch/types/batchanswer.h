#ifndef CYCLAMENWALK_BATCH_TYPES_BATCHANSWER_H
#define CYCLAMENWALK_BATCH_TYPES_BATCHANSWER_H

#include "core/types/ids.h"
#include "core/types/resultcode.h"
#include "core/types/time.h"
#include "message/types/batchspec.h"

#include <cstddef>
#include <functional>
#include <optional>

namespace cyclamenwalk {

struct BatchAnswer {
  JobId m_Job;
  ResultCode m_Code = ResultCode::Ok;
  /// When the caller may retry a job that did not run.
  std::optional<Duration> m_RetryAfter;
};

using BatchCallback = std::function<void(const BatchAnswer &)>;

struct BatchSettings {
  /// Limit on jobs that run at once.
  std::size_t m_MaxJobs = 4000;
  /// The part of a caller's deadline that is reserved for sending the answer.
  Duration m_AnswerMargin = milliseconds(15);
  /// The part of the slack that is reserved for messages and rounding.
  Duration m_SlackMargin = milliseconds(10);
  /// How much longer than expected tasks may wait where they are placed.
  Duration m_WaitTolerance = milliseconds(15);
  /// Limit on the agents' periodic reports, from the processor time that this
  /// entry has for them. Reports that come with run results are not counted.
  double m_MaxReportsPerSecond = 2000;
  /// Runs at an agent have ended this long after the link to it was lost: the
  /// agent limits their lease by when it had confirmation that this entry was
  /// alive (WorkerSettings::m_CallerTimeout), and the server's clock may be
  /// slow. Must be shorter than the time after which callers send a job again.
  Duration m_LapseTime = milliseconds(1250);
  /// Factor on the run time on workers outside the rack of the data.
  double m_RemotePenalty = 1;
  /// Whether each worker counts with the speed that its ends have shown, and
  /// not with that of its kind.
  bool m_LearnsSpeeds = false;
  /// Whether forecasts use the expected ends that agents report, and jobs are
  /// placed on a bounded number of workers with the most room.
  bool m_LookAhead = false;
  /// Whether admission shares scarce capacity among groups of jobs, with
  /// BatchHooks::m_FairAdmission in place of m_Admission and m_SlackControl.
  bool m_FairAdmission = false;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_BATCH_TYPES_BATCHANSWER_H
