#ifndef CYCLAMENWALK_REQUEST_INTERNAL_REQUESTSERVICE_H
#define CYCLAMENWALK_REQUEST_INTERNAL_REQUESTSERVICE_H

#include "request/internal/claims.h"
#include "request/internal/tickets.h"

namespace cyclamenwalk {

enum class RequestState { Received, Claiming, Running, Joined, Answered };
enum class RequestEvent {
  Begin,
  Granted,
  Taken,
  Unavailable,
  DidNotRun,
  Ended
};

template <> struct ChartNames<RequestState> {
  static constexpr std::array<std::string_view, 5> Values{
      "received", "claiming", "running", "joined", "answered"};
};
template <> struct ChartNames<RequestEvent> {
  static constexpr std::array<std::string_view, 6> Values{
      "begin", "granted", "taken", "unavailable", "didNotRun", "ended"};
};

/// A request in progress.
struct Request : std::enable_shared_from_this<Request> {
  RequestState m_State = RequestState::Received;
  Submission m_Submission;
  /// The Idempotency-Key, prefixed with the team. Empty for none.
  std::string m_Key;
  JobId m_Job;
  /// The job that owns the key, if another request has claimed it.
  JobId m_Owner;
  ResultCode m_AdmissionCode = ResultCode::Ok;
  std::function<void(JobId)> m_Accepted;
  JobCallback m_Done;
  JobAnswer m_Answer;
};

/// Runs requests of callers as jobs and joins repetitions with the first run.
class RequestService final : public IRequestService {
public:
  RequestService(Incarnation Entry, RequestSettings Settings,
                 ClaimRowCodec Codec, FetchFromOwner Fetch,
                 RequestDependencies Dependencies);

  std::optional<TicketId> issueTicket() override;
  void submit(Submission Incoming, std::function<void(JobId)> Accepted,
              JobCallback Done) override;

private:
  using Pointer = std::shared_ptr<Request>;
  using Chart = BoundChart<Request, RequestState, RequestEvent>;

  Chart::Guards bindGuards();
  Chart::Actions bindActions();
  void fire(const Pointer &Subject, RequestEvent Event);
  void finish(const Pointer &Finished, const JobAnswer &Answer);

  void claimKey(Request &Unclaimed);
  void runJob(Request &Started);
  void joinJob(Request &Repeated, JobId OwningJob);
  void releaseKeyAndTicket(const Request &NotRun);
  void refuse(Request &Refused, ResultCode Code);

  const Incarnation m_Entry;
  const FetchFromOwner m_Fetch;
  IJobService &m_Jobs;
  Tickets m_Tickets;
  Claims m_Claims;
  const Chart m_Chart;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_REQUEST_INTERNAL_REQUESTSERVICE_H
