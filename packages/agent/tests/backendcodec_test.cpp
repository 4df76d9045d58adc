#include "agent/internal/backendcodec.h"
#include "agent/internal/httpexecutor.h"
#include "core/error.h"
#include "http/tests/mocks/httpclientmock.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;
using testing::_;

namespace {

const std::string ValidOffer = R"({"service":"gatepost","address":"127.0.0.1:9",
  "run":"r1","slots":8,"cpus":64,"memory_mb":1024})";

bool isRefused(std::string Body, const std::string &From,
               const std::string &To) {
  Body.replace(Body.find(From), From.size(), To);
  try {
    decodeOffer(Body);
  } catch (const Error &Caught) {
    return Caught.code() == ResultCode::MalformedBody;
  }
  return false;
}

ResultCode decodeCode(int Status, const std::string &Body) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Body = Body;
  return decodeExecution(Response).m_Code;
}

} // namespace

TEST(BackendCodec, readsOffersAndRefusesMalformedOnes) {
  BackendOffer Offer = decodeOffer(ValidOffer);
  EXPECT_EQ(Offer.m_Slots, 8u);
  EXPECT_EQ(Offer.m_MemoryBytes, 1ULL << 30);
  EXPECT_TRUE(isRefused(ValidOffer, "gatepost", "a b"));
  EXPECT_TRUE(isRefused(ValidOffer, "127.0.0.1:9", "localhost:9"));
  EXPECT_TRUE(isRefused(ValidOffer, "\"slots\":8", "\"slots\":0"));
  EXPECT_TRUE(isRefused(ValidOffer, "\"slots\":8", "\"slots\":-8"));
  EXPECT_TRUE(isRefused(ValidOffer, "\"run\":\"r1\",", ""));
  EXPECT_TRUE(isRefused(ValidOffer, "{", "["));
}

TEST(BackendCodec, errorsNameTheWrongValue) {
  std::string Body = ValidOffer;
  std::string Slots = "\"slots\":8";
  Body.replace(Body.find(Slots), Slots.size(), "\"slots\":4097");
  try {
    decodeOffer(Body);
    FAIL() << "the offer was accepted";
  } catch (const Error &Caught) {
    EXPECT_STREQ(Caught.what(), "slots is 4097, expected 1 to 4096");
  }
}

TEST(BackendCodec, replacesInvalidUtf8) {
  EXPECT_EQ(encodeTextMember("error", "a\xff"),
            "{\"error\":\"a\xef\xbf\xbd\"}");
}

TEST(BackendCodec, missingResponseIsLostAndOtherResponsesFail) {
  EXPECT_EQ(decodeCode(200, "{\"result\":null}"), ResultCode::Ok);
  EXPECT_EQ(decodeCode(200, "{}"), ResultCode::TaskFailed);
  EXPECT_EQ(decodeCode(200, "nonsense"), ResultCode::TaskFailed);
  EXPECT_EQ(decodeCode(422, ""), ResultCode::TaskFailed);
  EXPECT_EQ(decodeCode(0, ""), ResultCode::BackendLost);
}

TEST(HttpExecutor, sendsTheTaskOnceAndReportsItsResult) {
  testing::StrictMock<HttpClientMock> Tasks;
  testing::StrictMock<HttpClientMock> Control;
  HttpExecutor Executor(Tasks, Control);
  EXPECT_CALL(Tasks, send(_, Duration(seconds(3)), _))
      .WillOnce([](const HttpRequest &Request, Duration, auto Done) {
        EXPECT_EQ(Request.m_Url, "http://127.0.0.1:9/execute");
        EXPECT_EQ(Request.m_Body,
                  "{\"task\":\"j0000000000000001-2-3\",\"kind\":\"k\","
                  "\"timeout_ms\":3000,\"payload\":{\"a\":1}}");
        HttpResponse Response;
        Response.m_Body = "{\"result\":[1]}";
        Done(Response);
      });
  TaskId Task{{Incarnation{1}, 2}, 3};
  std::string Answer;
  Executor.execute(
      "127.0.0.1:9", {Task, "k", "{\"a\":1}", seconds(3)},
      [&](const ExecutionResult &Result) { Answer = Result.m_Answer; });
  EXPECT_EQ(Answer, "[1]");
  EXPECT_CALL(Control, send(_, _, _));
  Executor.stop("127.0.0.1:9", Task);
}

/// Guards against a slot that is held for a task that was never sent.
TEST(BackendCodec, tellsTasksWithoutAnswerFromThoseThatWereNotSent) {
  HttpResponse Response;
  Response.m_Status = 0;
  EXPECT_TRUE(decodeExecution(Response).m_WasSent);
  Response.m_WasSent = false;
  EXPECT_FALSE(decodeExecution(Response).m_WasSent);
}
