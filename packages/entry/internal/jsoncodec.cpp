#include "entry/internal/jsoncodec.h"

#include "core/error.h"
#include "json/boundedjson.h"

#include <limits>
#include <nlohmann/json.hpp>

namespace cyclamenwalk {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxIdempotencyKeyLength = 128;
constexpr std::uint64_t MaxMilliseconds = 24ULL * 3600 * 1000;
constexpr int HttpOk = 200;
constexpr int HttpCreated = 201;
constexpr int HttpAccepted = 202;
constexpr std::uint64_t BytesInMegabyte = 1024ULL * 1024;
/// Error messages quote no more of a wrong value.
constexpr std::size_t MaxQuotedLength = 60;

[[noreturn]] void failMalformed(const std::string &Detail) {
  throw Error(ResultCode::MalformedBody, Detail);
}

/// Escapes non-ASCII characters, so that truncation leaves valid UTF-8.
std::string quote(const Json &Value) {
  return Value.dump(-1, ' ', true).substr(0, MaxQuotedLength);
}

std::uint64_t readCount(const Json &Object, const char *Name,
                        std::uint64_t Max) {
  const Json &Value = Object.at(Name);
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > Max)
    failMalformed(std::string(Name) + " is " + quote(Value) +
                  ", expected a whole number from 0 to " + std::to_string(Max));
  return Value.get<std::uint64_t>();
}

std::optional<Duration> readMilliseconds(const Json &Object, const char *Name) {
  if (!Object.contains(Name))
    return std::nullopt;
  std::uint64_t Count = readCount(Object, Name, MaxMilliseconds);
  if (Count == 0)
    failMalformed(std::string(Name) + " is 0, expected at least 1");
  return milliseconds(Count);
}

void readDeclared(const Json &Object, JobSpec &Spec) {
  if (!Object.is_object())
    failMalformed("declared is " + quote(Object) + ", expected an object");
  constexpr std::uint64_t MaxCount = std::numeric_limits<std::uint32_t>::max();
  Spec.m_DeclaredRunTime = readMilliseconds(Object, "run_time_ms");
  if (Object.contains("cpus"))
    Spec.m_DeclaredCpus =
        static_cast<std::uint32_t>(readCount(Object, "cpus", MaxCount));
  if (Object.contains("memory_mb"))
    Spec.m_DeclaredMemoryBytes =
        readCount(Object, "memory_mb", MaxCount) * BytesInMegabyte;
}

JobSpec readSpec(const Json &Object) {
  JobSpec Spec;
  Spec.m_Service = Object.at("service").get<std::string>();
  Spec.m_Kind = Object.at("kind").get<std::string>();
  Spec.m_Team = Object.at("team").get<std::string>();
  Spec.m_Deadline = readMilliseconds(Object, "deadline_ms");
  if (!Object.at("tasks").is_array())
    failMalformed("tasks is " + quote(Object.at("tasks")) +
                  ", expected an array");
  for (const Json &Task : Object.at("tasks"))
    Spec.m_Payloads.push_back(Task.dump());
  if (Object.contains("declared"))
    readDeclared(Object.at("declared"), Spec);
  return Spec;
}

TicketId readTicket(const Json &Object) {
  auto Ticket = parseTicketId(Object.at("ticket").get<std::string>());
  if (!Ticket)
    failMalformed("ticket is " + quote(Object.at("ticket")) +
                  ", expected t<incarnation>-<number>");
  return *Ticket;
}

HttpResponse jsonResponse(int Status, const Json &Body) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = Body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return Response;
}

} // namespace

Submission decodeSubmission(const std::string &Body,
                            const std::string &IdempotencyKey) {
  if (IdempotencyKey.size() > MaxIdempotencyKeyLength)
    failMalformed("Idempotency-Key has " +
                  std::to_string(IdempotencyKey.size()) + " bytes, at most " +
                  std::to_string(MaxIdempotencyKeyLength) + " are allowed");
  try {
    Json Object = parseJson(Body);
    Submission Decoded;
    Decoded.m_Spec = readSpec(Object);
    Decoded.m_IsRepeatable = Object.value("repeatable", true);
    Decoded.m_IdempotencyKey = IdempotencyKey;
    if (Object.contains("ticket"))
      Decoded.m_Ticket = readTicket(Object);
    return Decoded;
  } catch (const Json::exception &Caught) {
    failMalformed(Caught.what());
  }
}

HttpResponse encodeAnswer(const JobAnswer &Answer) {
  if (Answer.m_Code != ResultCode::Ok)
    return encodeProblem(Answer.m_Code, Answer.m_Detail,
                         toString(Answer.m_Job));
  // The answers of tasks are JSON texts already and are inserted unchanged.
  HttpResponse Response;
  Response.m_Status = HttpOk;
  Response.m_Body = "{\"id\":\"" + toString(Answer.m_Job) + "\",\"answers\":[";
  bool IsFirst = true;
  for (const std::string &TaskAnswer : Answer.m_Answers) {
    if (!IsFirst)
      Response.m_Body += ',';
    IsFirst = false;
    Response.m_Body += TaskAnswer;
  }
  Response.m_Body += "]}";
  return Response;
}

JobAnswer decodeAnswer(JobId Id, const HttpResponse &Response) {
  JobAnswer OwnerLost{Id,
                      ResultCode::OwnerLost,
                      std::string(describe(ResultCode::OwnerLost).m_Text),
                      {}};
  try {
    Json Object = Json::parse(Response.m_Body);
    if (Response.m_Status == HttpOk) {
      JobAnswer Answer{Id, ResultCode::Ok, "", {}};
      for (const Json &TaskAnswer : Object.at("answers"))
        Answer.m_Answers.push_back(TaskAnswer.dump());
      return Answer;
    }
    ResultCode Code = toResultCode(Object.at("code").get<int>());
    bool HasJobId = Object.contains("id");
    return HasJobId ? JobAnswer{Id, Code, Object.at("detail"), {}} : OwnerLost;
  } catch (const Json::exception &) {
    return OwnerLost;
  }
}

HttpResponse encodeRunning(JobId Id) {
  return jsonResponse(HttpAccepted,
                      {{"id", toString(Id)}, {"state", "running"}});
}

HttpResponse encodeTicket(TicketId Id) {
  return jsonResponse(HttpCreated, {{"ticket", toString(Id)}});
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
  HttpResponse Response = jsonResponse(Info.m_HttpStatus, Body);
  Response.m_ContentType = "application/problem+json";
  return Response;
}

} // namespace cyclamenwalk
