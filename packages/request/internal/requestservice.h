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
      "begin", "granted", "taken", "unavailable", "did_not_run", "ended"};
};

/// One request under way.
struct Request : std::enable_shared_from_this<Request> {
  RequestState m_State = RequestState::Received;
  Submission m_Submission;
  /// The Idempotency-Key within its team; empty for none.
  std::string m_Key;
  JobId m_Job;
  /// The job that the key belongs to, when another request has claimed it.
  JobId m_Owner;
  ResultCode m_Precheck = ResultCode::Ok;
  std::function<void(JobId)> m_Accepted;
  JobCallback m_Done;
  JobAnswer m_Answer;
};

class RequestService final : public IRequestService {
public:
  RequestService(Incarnation Own, RequestSettings Settings, ClaimRowCodec Codec,
                 FetchFromOwner Fetch, RequestDependencies Needs);

  std::optional<TicketId> issueTicket() override;
  void submit(Submission Incoming, std::function<void(JobId)> Accepted,
              JobCallback Done) override;

private:
  using Pointer = std::shared_ptr<Request>;
  using Chart = BoundChart<Request, RequestState, RequestEvent>;

  Chart::Guards guards();
  Chart::Actions actions();
  void fire(const Pointer &Known, RequestEvent What);
  void finish(const Pointer &Known, const JobAnswer &Whole);

  void claim(Request &Known);
  void run(Request &Known);
  void join(Request &Known, JobId Owner);
  void release(const Request &Known);
  void refuse(Request &Known, ResultCode Code);

  const Incarnation m_Own;
  const FetchFromOwner m_Fetch;
  IJobService &m_Jobs;
  Tickets m_Tickets;
  Claims m_Claims;
  const Chart m_Chart;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_REQUEST_INTERNAL_REQUESTSERVICE_H
