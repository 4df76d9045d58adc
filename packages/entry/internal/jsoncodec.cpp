#include "entry/internal/jsoncodec.h"

#include "core/error.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr int MaxDepth = 32;
constexpr std::size_t MaxKeyLength = 128;
constexpr std::uint64_t MaxMilliseconds = 24ULL * 3600 * 1000;
constexpr int HttpOk = 200;
constexpr int HttpCreated = 201;
constexpr int HttpAccepted = 202;
constexpr std::uint64_t BytesInMegabyte = 1024ULL * 1024;

[[noreturn]] void failMalformed(const std::string &Detail) {
  throw Error(ResultCode::MalformedBody, Detail);
}

Json parse(const std::string &Body) {
  auto BoundDepth = [](int Depth, Json::parse_event_t, Json &) {
    if (Depth > MaxDepth)
      failMalformed("nested too deeply");
    return true;
  };
  return Json::parse(Body, BoundDepth);
}

std::uint64_t readCount(const Json &From, const char *Name,
                        std::uint64_t Highest) {
  const Json &Value = From.at(Name);
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > Highest)
    failMalformed(std::string(Name) + " is not a whole number in range");
  return Value.get<std::uint64_t>();
}

std::optional<Duration> readMilliseconds(const Json &From, const char *Name) {
  if (!From.contains(Name))
    return std::nullopt;
  std::uint64_t Count = readCount(From, Name, MaxMilliseconds);
  if (Count == 0)
    failMalformed(std::string(Name) + " is zero");
  return milliseconds(Count);
}

void readDeclared(const Json &From, JobSpec &Spec) {
  if (!From.is_object())
    failMalformed("declared is not an object");
  constexpr std::uint64_t MaxCpus = std::numeric_limits<std::uint32_t>::max();
  Spec.m_DeclaredRunTime = readMilliseconds(From, "run_time_ms");
  if (From.contains("cpus"))
    Spec.m_DeclaredCpus =
        static_cast<std::uint32_t>(readCount(From, "cpus", MaxCpus));
  if (From.contains("memory_mb"))
    Spec.m_DeclaredMemoryBytes =
        readCount(From, "memory_mb", MaxCpus) * BytesInMegabyte;
}

JobSpec readSpec(const Json &From) {
  JobSpec Spec;
  Spec.m_Service = From.at("service").get<std::string>();
  Spec.m_Kind = From.at("kind").get<std::string>();
  Spec.m_Team = From.at("team").get<std::string>();
  Spec.m_Deadline = readMilliseconds(From, "deadline_ms");
  if (!From.at("tasks").is_array())
    failMalformed("tasks is not an array");
  for (const Json &Task : From.at("tasks"))
    Spec.m_Payloads.push_back(Task.dump());
  if (From.contains("declared"))
    readDeclared(From.at("declared"), Spec);
  return Spec;
}

TicketId readTicket(const Json &From) {
  auto Ticket = parseTicketId(From.at("ticket").get<std::string>());
  if (!Ticket)
    failMalformed("ticket has a wrong form");
  return *Ticket;
}

HttpResponse respond(int Status, const Json &Body) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return Response;
}

} // namespace

Submission decodeSubmission(const std::string &Body,
                            const std::string &IdempotencyKey) {
  if (IdempotencyKey.size() > MaxKeyLength)
    failMalformed("Idempotency-Key is too long");
  try {
    Json From = parse(Body);
    Submission Value;
    Value.m_Spec = readSpec(From);
    Value.m_IsRepeatable = From.value("repeatable", true);
    Value.m_IdempotencyKey = IdempotencyKey;
    if (From.contains("ticket"))
      Value.m_Ticket = readTicket(From);
    return Value;
  } catch (const Json::exception &Caught) {
    failMalformed(Caught.what());
  }
}

HttpResponse encodeAnswer(const JobAnswer &Whole) {
  if (Whole.m_Code != ResultCode::Ok)
    return encodeProblem(Whole.m_Code, Whole.m_Detail, toString(Whole.m_Job));
  // Answers are JSON texts already, so they are joined as they are.
  HttpResponse Response;
  Response.m_Status = HttpOk;
  Response.m_Body = "{\"id\":\"" + toString(Whole.m_Job) + "\",\"answers\":[";
  bool IsFirst = true;
  for (const std::string &Answer : Whole.m_Answers) {
    if (!IsFirst)
      Response.m_Body += ',';
    IsFirst = false;
    Response.m_Body += Answer;
  }
  Response.m_Body += "]}";
  return Response;
}

JobAnswer decodeAnswer(JobId Id, const HttpResponse &Response) {
  JobAnswer Lost{Id,
                 ResultCode::OwnerLost,
                 std::string(describe(ResultCode::OwnerLost).m_Text),
                 {}};
  try {
    Json From = Json::parse(Response.m_Body);
    if (Response.m_Status == HttpOk) {
      JobAnswer Whole{Id, ResultCode::Ok, "", {}};
      for (const Json &Answer : From.at("answers"))
        Whole.m_Answers.push_back(Answer.dump());
      return Whole;
    }
    ResultCode Code = toResultCode(From.at("code").get<int>());
    bool IsOfJob = From.contains("id");
    return IsOfJob ? JobAnswer{Id, Code, From.at("detail"), {}} : Lost;
  } catch (const Json::exception &) {
    return Lost;
  }
}

HttpResponse encodeRunning(JobId Id) {
  return respond(HttpAccepted, {{"id", toString(Id)}, {"state", "running"}});
}

HttpResponse encodeTicket(TicketId Id) {
  return respond(HttpCreated, {{"ticket", toString(Id)}});
}

HttpResponse encodeProblem(ResultCode Code, const std::string &Detail,
                           const std::string &JobText) {
  const ResultCodeInfo &Info = describe(Code);
  Json Body = {{"title", Info.m_Text},
               {"status", Info.m_HttpStatus},
               {"code", static_cast<int>(Code)},
               {"name", Info.m_Name},
               {"outcome", toString(Info.m_Outcome)},
               {"detail", Detail}};
  if (!JobText.empty())
    Body["id"] = JobText;
  HttpResponse Response = respond(Info.m_HttpStatus, Body);
  Response.m_ContentType = "application/problem+json";
  return Response;
}

} // namespace cyclamenwalk
