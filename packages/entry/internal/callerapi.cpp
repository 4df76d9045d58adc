#include "entry/internal/callerapi.h"

#include "core/controlcall.h"
#include "core/error.h"
#include "core/log.h"
#include "entry/internal/forwarding.h"
#include "entry/internal/jsoncodec.h"

#include <algorithm>
#include <charconv>

namespace cyclamenwalk {

namespace {

/// Longer than any deadline, after which a job has been answered.
constexpr Duration AnswerLimit = seconds(305);
constexpr Duration ControlLimit = seconds(5);
constexpr Duration MaxWait = seconds(300);

JobId requireJobId(const HttpRequest &Request) {
  auto Id = parseJobId(Request.path("id"));
  if (!Id)
    throw Error(ResultCode::NotFound, "not the id of a job");
  return *Id;
}

/// The time that GET waits for the answer; without it, none.
Duration waitOf(const HttpRequest &Request) {
  std::string Text = Request.query("wait_ms");
  std::uint32_t Count = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  return std::min<Duration>(milliseconds(Count), MaxWait);
}

HttpResponse unanswered() {
  return encodeProblem(ResultCode::OwnerLost, "no answer came in time");
}

} // namespace

HttpServer::Handler guarded(HttpServer::Handler Serve) {
  return [Serve = std::move(Serve)](const HttpRequest &Request) {
    try {
      return Serve(Request);
    } catch (const Error &Caught) {
      logEvent(LogLevel::Info, "request.refused",
               {{"code", static_cast<int>(Caught.code())},
                {"method", Request.m_Method},
                {"detail", Caught.what()}});
      return encodeProblem(Caught.code(), Caught.what());
    } catch (const std::exception &Caught) {
      logEvent(LogLevel::Error, "request.error", {{"detail", Caught.what()}});
      return encodeProblem(ResultCode::Internal, Caught.what());
    }
  };
}

void CallerApi::addRoutes(HttpServer &Server) {
  auto Add = [&](const char *Method, const char *Path,
                 HttpServer::Handler Serve) {
    Server.route(Method, Path, guarded(std::move(Serve)));
  };
  Add("POST", "/v1/jobs", [this](const HttpRequest &R) { return submit(R); });
  Add("GET", "/v1/jobs/:id", [this](const HttpRequest &R) { return fetch(R); });
  Add("DELETE", "/v1/jobs/:id",
      [this](const HttpRequest &R) { return cancel(R); });
  Add("POST", "/v1/tickets",
      [this](const HttpRequest &) { return issueTicket(); });
}

HttpResponse CallerApi::submit(const HttpRequest &Request) {
  Submission Incoming =
      decodeSubmission(Request.m_Body, Request.header("Idempotency-Key"));
  bool IsOfOther = Incoming.m_Ticket &&
                   Incoming.m_Ticket->m_Entry != m_Entry.m_Own.m_Incarnation;
  if (IsOfOther)
    return forwardTo(m_Entry, Incoming.m_Ticket->m_Entry, Request);
  if (!m_Entry.m_Process.isServing())
    throw Error(ResultCode::Draining, "the entry is draining");
  return submitHere(std::move(Incoming), Request.query("wait") != "no");
}

HttpResponse CallerApi::submitHere(Submission Decoded, bool Waits) {
  auto Incoming = std::make_shared<Submission>(std::move(Decoded));
  auto Response = callControl<HttpResponse>(
      m_Entry.m_Control, AnswerLimit,
      [this, Incoming, Waits](const std::function<void(HttpResponse)> &Give) {
        auto Accepted = [Give, Waits](JobId Id) {
          if (!Waits)
            Give(encodeRunning(Id));
        };
        m_Entry.m_Requests.submit(
            std::move(*Incoming), Accepted,
            [Give](const JobAnswer &Whole) { Give(encodeAnswer(Whole)); });
      });
  return Response.value_or(unanswered());
}

HttpResponse CallerApi::fetch(const HttpRequest &Request) {
  JobId Id = requireJobId(Request);
  if (Id.m_Entry != m_Entry.m_Own.m_Incarnation)
    return forwardTo(m_Entry, Id.m_Entry, Request);
  Duration Wait = waitOf(Request);
  auto Response = callControl<HttpResponse>(
      m_Entry.m_Control, Wait + ControlLimit,
      [this, Id, Wait](const std::function<void(HttpResponse)> &Give) {
        bool IsKnown = m_Entry.m_Jobs.wait(
            Id, [Give](const JobAnswer &Whole) { Give(encodeAnswer(Whole)); });
        if (!IsKnown)
          return Give(encodeProblem(ResultCode::NotFound,
                                    "the job is not known here any more"));
        m_Entry.m_Timers.subscribe(Wait,
                                   [Give, Id] { Give(encodeRunning(Id)); });
      });
  return Response.value_or(unanswered());
}

HttpResponse CallerApi::cancel(const HttpRequest &Request) {
  JobId Id = requireJobId(Request);
  if (Id.m_Entry != m_Entry.m_Own.m_Incarnation)
    return forwardTo(m_Entry, Id.m_Entry, Request);
  auto Response = callControl<HttpResponse>(
      m_Entry.m_Control, ControlLimit,
      [this, Id](const std::function<void(HttpResponse)> &Give) {
        if (!m_Entry.m_Jobs.cancel(Id))
          return Give(encodeProblem(ResultCode::NotFound,
                                    "the job is not known or has ended"));
        m_Entry.m_Jobs.wait(
            Id, [Give](const JobAnswer &Whole) { Give(encodeAnswer(Whole)); });
      });
  return Response.value_or(unanswered());
}

HttpResponse CallerApi::issueTicket() {
  if (!m_Entry.m_Process.isServing())
    throw Error(ResultCode::Draining, "the entry is draining");
  auto Response = callControl<HttpResponse>(
      m_Entry.m_Control, ControlLimit,
      [this](const std::function<void(HttpResponse)> &Give) {
        auto Ticket = m_Entry.m_Requests.issueTicket();
        Give(Ticket ? encodeTicket(*Ticket)
                    : encodeProblem(ResultCode::Overloaded,
                                    "too many tickets are out"));
      });
  return Response.value_or(unanswered());
}

} // namespace cyclamenwalk
