#include "core/error.h"
#include "entry/internal/jsoncodec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cyclamenwalk;

namespace {

const std::string MinimalBody =
    R"({"service":"s","kind":"k","team":"t","tasks":[1]})";

bool isRefused(const std::string &Body, const std::string &Key = "") {
  try {
    decodeSubmission(Body, Key);
  } catch (const Error &Caught) {
    return Caught.code() == ResultCode::MalformedBody;
  }
  return false;
}

} // namespace

TEST(JsonCodec, readsACompleteSubmission) {
  Submission Decoded = decodeSubmission(
      R"({"service":"s","kind":"k","team":"t","tasks":[{"a":1},"x"],
          "deadline_ms":1500,"repeatable":false,
          "ticket":"t00000000000000ff-3",
          "declared":{"run_time_ms":50,"cpus":2,"memory_mb":4}})",
      "key");
  EXPECT_EQ(Decoded.m_Spec.m_Payloads,
            (std::vector<std::string>{"{\"a\":1}", "\"x\""}));
  EXPECT_EQ(Decoded.m_Spec.m_Deadline, milliseconds(1500));
  EXPECT_FALSE(Decoded.m_IsRepeatable);
  EXPECT_EQ(Decoded.m_Ticket, (TicketId{Incarnation{255}, 3}));
  EXPECT_EQ(Decoded.m_IdempotencyKey, "key");
  EXPECT_EQ(Decoded.m_Spec.m_DeclaredMemoryBytes, 4ULL * 1024 * 1024);
  EXPECT_TRUE(decodeSubmission(MinimalBody, "").m_IsRepeatable);
}

TEST(JsonCodec, refusesMalformedSubmissions) {
  for (const char *Body :
       {"", "{", "[]", "3", "{}", R"({"service":1})",
        R"({"service":"s","kind":"k","team":"t","tasks":1})",
        R"({"service":"s","kind":"k","team":"t","tasks":[],"deadline_ms":-1})",
        R"({"service":"s","kind":"k","team":"t","tasks":[],"deadline_ms":0})",
        R"({"service":"s","kind":"k","team":"t","tasks":[],"repeatable":"x"})",
        R"({"service":"s","kind":"k","team":"t","tasks":[],"ticket":"x"})",
        R"({"service":"s","kind":"k","team":"t","tasks":[],"declared":3})"})
    EXPECT_TRUE(isRefused(Body)) << Body;
  EXPECT_TRUE(isRefused(std::string(100000, '[')));
  EXPECT_TRUE(isRefused(MinimalBody, std::string(129, 'k')));
}

TEST(JsonCodec, errorsNameTheWrongValue) {
  try {
    decodeSubmission(
        R"({"service":"s","kind":"k","team":"t","tasks":[],"deadline_ms":-1})",
        "");
    FAIL() << "the submission was accepted";
  } catch (const Error &Caught) {
    EXPECT_STREQ(Caught.what(), "deadline_ms is -1, expected a whole number "
                                "from 0 to 86400000");
  }
}

TEST(JsonCodec, arbitraryBytesAreReadOrRefused) {
  EXPECT_TRUE(rc::check("throws nothing but Error", [] {
    auto Position = *rc::gen::inRange<std::size_t>(0, MinimalBody.size());
    std::string Changed = MinimalBody;
    Changed[Position] = *rc::gen::arbitrary<char>();
    try {
      decodeSubmission(Changed, "");
    } catch (const Error &) {
    }
  }));
}

TEST(JsonCodec, answersRoundTripBetweenEntries) {
  JobAnswer Answer{{Incarnation{1}, 2}, ResultCode::Ok, "", {"1", "{\"a\":2}"}};
  JobAnswer Decoded = decodeAnswer(Answer.m_Job, encodeAnswer(Answer));
  EXPECT_EQ(Decoded.m_Code, ResultCode::Ok);
  EXPECT_EQ(Decoded.m_Answers, Answer.m_Answers);
  Answer.m_Code = ResultCode::DeadlineBeforeStart;
  EXPECT_EQ(decodeAnswer(Answer.m_Job, encodeAnswer(Answer)).m_Code,
            ResultCode::DeadlineBeforeStart);
}

// Problem details without a job id must not be taken for the outcome of the
// job.
TEST(JsonCodec, problemWithoutJobIdBecomesOwnerLost) {
  JobId Id{Incarnation{1}, 2};
  EXPECT_EQ(decodeAnswer(Id, encodeProblem(ResultCode::NotFound, "")).m_Code,
            ResultCode::OwnerLost);
  EXPECT_EQ(decodeAnswer(Id, HttpResponse{}).m_Code, ResultCode::OwnerLost);
  EXPECT_EQ(decodeAnswer(Id, encodeRunning(Id)).m_Code, ResultCode::OwnerLost);
}
