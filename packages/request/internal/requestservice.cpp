#include "request/internal/requestservice.h"

#include <algorithm>

namespace cyclamenwalk {

RequestService::RequestService(Incarnation Entry, RequestSettings Settings,
                               ClaimRowCodec Codec, FetchFromOwner Fetch,
                               RequestDependencies Dependencies)
    : m_Entry(Entry), m_Fetch(std::move(Fetch)), m_Jobs(Dependencies.m_Jobs),
      m_Tickets(Entry, Settings, Dependencies.m_Timers),
      m_Claims(Settings, std::move(Codec), Dependencies.m_Charts,
               Dependencies.m_Tables, Dependencies.m_Timers),
      m_Chart(Dependencies.m_Charts.chart("request"), bindGuards(),
              bindActions()) {}

RequestService::Chart::Guards RequestService::bindGuards() {
  auto HasTicket = [](const Request &R) {
    return R.m_Submission.m_Ticket.has_value();
  };
  return {
      {"lacksIdempotency",
       [HasTicket](const Request &R) {
         return !R.m_Submission.m_IsRepeatable && !HasTicket(R) &&
                R.m_Submission.m_IdempotencyKey.empty();
       }},
      {"isRepeatable",
       [HasTicket](const Request &R) {
         return !HasTicket(R) && R.m_Submission.m_IdempotencyKey.empty();
       }},
      {"hasTicket", HasTicket},
      {"isTicketUsed",
       [this, HasTicket](const Request &R) {
         return HasTicket(R) && m_Tickets.isUsed(*R.m_Submission.m_Ticket);
       }},
      {"isTicketValid",
       [this, HasTicket](const Request &R) {
         return HasTicket(R) && m_Tickets.isValid(*R.m_Submission.m_Ticket);
       }},
      {"isNotAdmitted",
       [](const Request &R) { return R.m_AdmissionCode != ResultCode::Ok; }},
  };
}

RequestService::Chart::Actions RequestService::bindActions() {
  auto Refuse = [this](ResultCode Code) {
    return [this, Code](Request &R) { refuse(R, Code); };
  };
  return {
      {"refuseMissingIdempotency", Refuse(ResultCode::MissingIdempotency)},
      {"refuseUnknownTicket", Refuse(ResultCode::UnknownTicket)},
      {"refuseUnavailableClaim", Refuse(ResultCode::ClaimUnavailable)},
      {"refuseNotAdmitted",
       [this](Request &R) { refuse(R, R.m_AdmissionCode); }},
      {"useTicket",
       [this](Request &R) {
         m_Tickets.use(*R.m_Submission.m_Ticket, R.m_Job);
       }},
      {"joinTicketJob",
       [this](Request &R) {
         joinJob(R, m_Tickets.jobOf(*R.m_Submission.m_Ticket));
       }},
      {"joinOwningJob", [this](Request &R) { joinJob(R, R.m_Owner); }},
      {"claimKey", [this](Request &R) { claimKey(R); }},
      {"runJob", [this](Request &R) { runJob(R); }},
      {"releaseKeyAndTicket", [this](Request &R) { releaseKeyAndTicket(R); }},
      {"deliverAnswer", [](Request &R) { R.m_Done(R.m_Answer); }},
  };
}

std::optional<TicketId> RequestService::issueTicket() {
  return m_Tickets.issue();
}

void RequestService::submit(Submission Incoming,
                            std::function<void(JobId)> Accepted,
                            JobCallback Done) {
  auto NewRequest = std::make_shared<Request>();
  NewRequest->m_State = m_Chart.initial();
  NewRequest->m_Submission = std::move(Incoming);
  NewRequest->m_Job = m_Jobs.reserve();
  NewRequest->m_Accepted = std::move(Accepted);
  NewRequest->m_Done = std::move(Done);
  // Checked before the key is claimed, so that a refused job leaves no claim.
  const std::string &Key = NewRequest->m_Submission.m_IdempotencyKey;
  if (!Key.empty()) {
    // The prefix separates the keys of different teams.
    NewRequest->m_Key = NewRequest->m_Submission.m_Spec.m_Team + "." + Key;
    NewRequest->m_AdmissionCode =
        m_Jobs.checkAdmission(NewRequest->m_Submission.m_Spec);
  }
  fire(NewRequest, RequestEvent::Begin);
}

void RequestService::fire(const Pointer &Subject, RequestEvent Event) {
  m_Chart.fire(*Subject, Event);
}

void RequestService::finish(const Pointer &Finished, const JobAnswer &Answer) {
  Finished->m_Answer = Answer;
  bool DidNotRun = outcomeOf(Answer.m_Code) == Outcome::DidNotRun;
  fire(Finished, DidNotRun ? RequestEvent::DidNotRun : RequestEvent::Ended);
}

void RequestService::claimKey(Request &Unclaimed) {
  Pointer SharedRequest = Unclaimed.shared_from_this();
  m_Claims.claim(Unclaimed.m_Key, Unclaimed.m_Job,
                 [this, SharedRequest](const ClaimResult &Result) {
                   SharedRequest->m_Owner = Result.m_Owner;
                   if (Result.m_State == ClaimState::Granted)
                     fire(SharedRequest, RequestEvent::Granted);
                   else if (Result.m_State == ClaimState::Taken)
                     fire(SharedRequest, RequestEvent::Taken);
                   else
                     fire(SharedRequest, RequestEvent::Unavailable);
                 });
}

void RequestService::runJob(Request &Started) {
  Pointer SharedRequest = Started.shared_from_this();
  if (Started.m_Accepted)
    Started.m_Accepted(Started.m_Job);
  m_Jobs.submitWithId(Started.m_Job, std::move(Started.m_Submission.m_Spec),
                      [this, SharedRequest](const JobAnswer &Answer) {
                        finish(SharedRequest, Answer);
                      });
}

void RequestService::joinJob(Request &Repeated, JobId OwningJob) {
  Pointer SharedRequest = Repeated.shared_from_this();
  if (Repeated.m_Accepted)
    Repeated.m_Accepted(OwningJob);
  auto Done = [this, SharedRequest](const JobAnswer &Answer) {
    finish(SharedRequest, Answer);
  };
  if (OwningJob.m_Entry != m_Entry) {
    m_Fetch(OwningJob, Done);
    return;
  }
  if (!m_Jobs.wait(OwningJob, Done))
    finish(SharedRequest, {OwningJob,
                           ResultCode::OwnerLost,
                           std::string(describe(ResultCode::OwnerLost).m_Text),
                           {}});
}

/// A request that did not run may be repeated with the same ticket or key.
void RequestService::releaseKeyAndTicket(const Request &NotRun) {
  if (!NotRun.m_Key.empty())
    m_Claims.release(NotRun.m_Key, NotRun.m_Job);
  if (NotRun.m_Submission.m_Ticket)
    m_Tickets.release(*NotRun.m_Submission.m_Ticket);
}

void RequestService::refuse(Request &Refused, ResultCode Code) {
  Refused.m_Done({Refused.m_Job, Code, std::string(describe(Code).m_Text), {}});
}

std::unique_ptr<IRequestService>
makeRequestService(Incarnation Entry, RequestSettings Settings,
                   ClaimRowCodec Codec, FetchFromOwner Fetch,
                   RequestDependencies Dependencies) {
  return std::make_unique<RequestService>(Entry, Settings, std::move(Codec),
                                          std::move(Fetch), Dependencies);
}

} // namespace cyclamenwalk
