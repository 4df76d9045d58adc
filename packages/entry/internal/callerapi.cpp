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

/// Longer than the maximum deadline, by which every job has been answered.
constexpr Duration AnswerTimeout = seconds(305);
constexpr Duration ControlTimeout = seconds(5);
constexpr Duration MaxWait = seconds(300);

JobId requireJobId(const HttpRequest &Request) {
  std::string Text = Request.path("id");
  auto Id = parseJobId(Text);
  if (!Id)
    throw Error(ResultCode::NotFound, "\"" + Text + "\" is not a job id");
  return *Id;
}

/// How long GET waits for the answer; zero without a valid wait_ms.
Duration parseWait(const HttpRequest &Request) {
  std::string Text = Request.query("wait_ms");
  std::uint32_t Count = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Count);
  return std::min<Duration>(milliseconds(Count), MaxWait);
}

HttpResponse timeoutResponse() {
  return encodeProblem(ResultCode::OwnerLost,
                       "the entry did not respond in time");
}

} // namespace

HttpServer::Handler catchErrors(HttpServer::Handler Handler) {
  return [Handler = std::move(Handler)](const HttpRequest &Request) {
    try {
      return Handler(Request);
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
                 HttpServer::Handler Handler) {
    Server.route(Method, Path, catchErrors(std::move(Handler)));
  };
  Add("POST", "/v1/jobs",
      [this](const HttpRequest &Request) { return submit(Request); });
  Add("GET", "/v1/jobs/:id",
      [this](const HttpRequest &Request) { return fetch(Request); });
  Add("DELETE", "/v1/jobs/:id",
      [this](const HttpRequest &Request) { return cancel(Request); });
  Add("POST", "/v1/tickets",
      [this](const HttpRequest &) { return issueTicket(); });
}

HttpResponse CallerApi::submit(const HttpRequest &Request) {
  Submission Incoming =
      decodeSubmission(Request.m_Body, Request.header("Idempotency-Key"));
  bool IsForOtherEntry =
      Incoming.m_Ticket &&
      Incoming.m_Ticket->m_Entry != m_Context.m_Self.m_Incarnation;
  if (IsForOtherEntry)
    return forwardTo(m_Context, Incoming.m_Ticket->m_Entry, Request);
  if (!m_Context.m_Process.isServing())
    throw Error(ResultCode::Draining, "the entry is draining");
  return submitLocally(std::move(Incoming), Request.query("wait") != "no");
}

HttpResponse CallerApi::submitLocally(Submission Incoming, bool IsWaiting) {
  auto SharedSubmission = std::make_shared<Submission>(std::move(Incoming));
  auto Response = callControl<HttpResponse>(
      m_Context.m_Control, AnswerTimeout,
      [this, SharedSubmission,
       IsWaiting](const std::function<void(HttpResponse)> &Reply) {
        auto OnAccepted = [Reply, IsWaiting](JobId Id) {
          if (!IsWaiting)
            Reply(encodeRunning(Id));
        };
        m_Context.m_Requests.submit(
            std::move(*SharedSubmission), OnAccepted,
            [Reply](const JobAnswer &Answer) { Reply(encodeAnswer(Answer)); });
      });
  return Response.value_or(timeoutResponse());
}

HttpResponse CallerApi::fetch(const HttpRequest &Request) {
  JobId Id = requireJobId(Request);
  if (Id.m_Entry != m_Context.m_Self.m_Incarnation)
    return forwardTo(m_Context, Id.m_Entry, Request);
  Duration Wait = parseWait(Request);
  auto Response = callControl<HttpResponse>(
      m_Context.m_Control, Wait + ControlTimeout,
      [this, Id, Wait](const std::function<void(HttpResponse)> &Reply) {
        bool IsFound =
            m_Context.m_Jobs.wait(Id, [Reply](const JobAnswer &Answer) {
              Reply(encodeAnswer(Answer));
            });
        if (!IsFound)
          return Reply(encodeProblem(
              ResultCode::NotFound,
              "job " + toString(Id) + " is unknown or its answer has expired"));
        m_Context.m_Timers.subscribe(Wait,
                                     [Reply, Id] { Reply(encodeRunning(Id)); });
      });
  return Response.value_or(timeoutResponse());
}

HttpResponse CallerApi::cancel(const HttpRequest &Request) {
  JobId Id = requireJobId(Request);
  if (Id.m_Entry != m_Context.m_Self.m_Incarnation)
    return forwardTo(m_Context, Id.m_Entry, Request);
  auto Response = callControl<HttpResponse>(
      m_Context.m_Control, ControlTimeout,
      [this, Id](const std::function<void(HttpResponse)> &Reply) {
        if (!m_Context.m_Jobs.cancel(Id))
          return Reply(encodeProblem(ResultCode::NotFound,
                                     "job " + toString(Id) +
                                         " is unknown or has ended"));
        m_Context.m_Jobs.wait(Id, [Reply](const JobAnswer &Answer) {
          Reply(encodeAnswer(Answer));
        });
      });
  return Response.value_or(timeoutResponse());
}

HttpResponse CallerApi::issueTicket() {
  if (!m_Context.m_Process.isServing())
    throw Error(ResultCode::Draining, "the entry is draining");
  auto Response = callControl<HttpResponse>(
      m_Context.m_Control, ControlTimeout,
      [this](const std::function<void(HttpResponse)> &Reply) {
        auto Ticket = m_Context.m_Requests.issueTicket();
        Reply(Ticket ? encodeTicket(*Ticket)
                     : encodeProblem(ResultCode::Overloaded,
                                     "too many tickets are outstanding"));
      });
  return Response.value_or(timeoutResponse());
}

} // namespace cyclamenwalk
