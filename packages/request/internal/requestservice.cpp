#include "request/internal/requestservice.h"

#include <algorithm>

namespace cyclamenwalk {

RequestService::RequestService(Incarnation Own, RequestSettings Settings,
                               ClaimRowCodec Codec, FetchFromOwner Fetch,
                               RequestDependencies Needs)
    : m_Own(Own), m_Fetch(std::move(Fetch)), m_Jobs(Needs.m_Jobs),
      m_Tickets(Own, Settings, Needs.m_Timers),
      m_Claims(Settings, std::move(Codec), Needs.m_Charts, Needs.m_Tables,
               Needs.m_Timers),
      m_Chart(Needs.m_Charts.chart("request"), guards(), actions()) {}

RequestService::Chart::Guards RequestService::guards() {
  auto HasTicket = [](const Request &R) {
    return R.m_Submission.m_Ticket.has_value();
  };
  return {
      {"isUnsafe",
       [HasTicket](const Request &R) {
         return !R.m_Submission.m_IsRepeatable && !HasTicket(R) &&
                R.m_Submission.m_IdempotencyKey.empty();
       }},
      {"isRepeatable",
       [HasTicket](const Request &R) {
         return !HasTicket(R) && R.m_Submission.m_IdempotencyKey.empty();
       }},
      {"isTicketNamed", HasTicket},
      {"isTicketUsed",
       [this, HasTicket](const Request &R) {
         return HasTicket(R) && m_Tickets.isUsed(*R.m_Submission.m_Ticket);
       }},
      {"isTicketGood",
       [this, HasTicket](const Request &R) {
         return HasTicket(R) && m_Tickets.isGood(*R.m_Submission.m_Ticket);
       }},
      {"isRefusedNow",
       [](const Request &R) { return R.m_Precheck != ResultCode::Ok; }},
  };
}

RequestService::Chart::Actions RequestService::actions() {
  auto Refuse = [this](ResultCode Code) {
    return [this, Code](Request &R) { refuse(R, Code); };
  };
  return {
      {"refuseUnsafe", Refuse(ResultCode::MissingIdempotency)},
      {"refuseTicket", Refuse(ResultCode::UnknownTicket)},
      {"refuseClaim", Refuse(ResultCode::ClaimUnavailable)},
      {"refuseEarly", [this](Request &R) { refuse(R, R.m_Precheck); }},
      {"useTicket",
       [this](Request &R) {
         m_Tickets.use(*R.m_Submission.m_Ticket, R.m_Job);
       }},
      {"joinTicket",
       [this](Request &R) {
         join(R, m_Tickets.jobOf(*R.m_Submission.m_Ticket));
       }},
      {"joinOwner", [this](Request &R) { join(R, R.m_Owner); }},
      {"claim", [this](Request &R) { claim(R); }},
      {"run", [this](Request &R) { run(R); }},
      {"releaseClaim", [this](Request &R) { release(R); }},
      {"answer", [](Request &R) { R.m_Done(R.m_Answer); }},
  };
}

std::optional<TicketId> RequestService::issueTicket() {
  return m_Tickets.issue();
}

void RequestService::submit(Submission Incoming,
                            std::function<void(JobId)> Accepted,
                            JobCallback Done) {
  auto Added = std::make_shared<Request>();
  Added->m_State = m_Chart.initial();
  Added->m_Submission = std::move(Incoming);
  Added->m_Job = m_Jobs.reserve();
  Added->m_Accepted = std::move(Accepted);
  Added->m_Done = std::move(Done);
  // A job that is refused now leaves no claim behind.
  const std::string &Key = Added->m_Submission.m_IdempotencyKey;
  if (!Key.empty()) {
    // Keys of different teams do not meet.
    Added->m_Key = Added->m_Submission.m_Spec.m_Team + "." + Key;
    Added->m_Precheck = m_Jobs.precheck(Added->m_Submission.m_Spec);
  }
  fire(Added, RequestEvent::Begin);
}

void RequestService::fire(const Pointer &Known, RequestEvent What) {
  m_Chart.fire(*Known, What);
}

void RequestService::finish(const Pointer &Known, const JobAnswer &Whole) {
  Known->m_Answer = Whole;
  bool DidNotRun = outcomeOf(Whole.m_Code) == Outcome::DidNotRun;
  fire(Known, DidNotRun ? RequestEvent::DidNotRun : RequestEvent::Ended);
}

void RequestService::claim(Request &Known) {
  Pointer ProcessIdentity = Known.shared_from_this();
  m_Claims.claim(Known.m_Key, Known.m_Job,
                 [this, ProcessIdentity](const ClaimResult &Result) {
                   ProcessIdentity->m_Owner = Result.m_Owner;
                   if (Result.m_State == ClaimState::Granted)
                     fire(ProcessIdentity, RequestEvent::Granted);
                   else if (Result.m_State == ClaimState::Taken)
                     fire(ProcessIdentity, RequestEvent::Taken);
                   else
                     fire(ProcessIdentity, RequestEvent::Unavailable);
                 });
}

void RequestService::run(Request &Known) {
  Pointer ProcessIdentity = Known.shared_from_this();
  if (Known.m_Accepted)
    Known.m_Accepted(Known.m_Job);
  m_Jobs.submitAs(Known.m_Job, std::move(Known.m_Submission.m_Spec),
                  [this, ProcessIdentity](const JobAnswer &Whole) {
                    finish(ProcessIdentity, Whole);
                  });
}

void RequestService::join(Request &Known, JobId Owner) {
  Pointer ProcessIdentity = Known.shared_from_this();
  if (Known.m_Accepted)
    Known.m_Accepted(Owner);
  auto Done = [this, ProcessIdentity](const JobAnswer &Whole) {
    finish(ProcessIdentity, Whole);
  };
  if (Owner.m_Entry != m_Own) {
    m_Fetch(Owner, Done);
    return;
  }
  if (!m_Jobs.wait(Owner, Done))
    finish(ProcessIdentity,
           {Owner,
            ResultCode::OwnerLost,
            std::string(describe(ResultCode::OwnerLost).m_Text),
            {}});
}

/// What did not run may be tried again with the same ticket or key.
void RequestService::release(const Request &Known) {
  if (!Known.m_Key.empty())
    m_Claims.release(Known.m_Key, Known.m_Job);
  if (Known.m_Submission.m_Ticket)
    m_Tickets.release(*Known.m_Submission.m_Ticket);
}

void RequestService::refuse(Request &Known, ResultCode Code) {
  Known.m_Done({Known.m_Job, Code, std::string(describe(Code).m_Text), {}});
}

std::unique_ptr<IRequestService> makeRequestService(Incarnation Own,
                                                    RequestSettings Settings,
                                                    ClaimRowCodec Codec,
                                                    FetchFromOwner Fetch,
                                                    RequestDependencies Needs) {
  return std::make_unique<RequestService>(Own, Settings, std::move(Codec),
                                          std::move(Fetch), Needs);
}

} // namespace cyclamenwalk
