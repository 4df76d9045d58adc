#include "core/error.h"
#include "entry/internal/jsoncodec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cyclamenwalk;

namespace {

const std::string Minimal =
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

TEST(JsonCodec, readsAWholeSubmission) {
  Submission Value = decodeSubmission(
      R"({"service":"s","kind":"k","team":"t","tasks":[{"a":1},"x"],
          "deadline_ms":1500,"repeatable":false,
          "ticket":"t00000000000000ff-3",
          "declared":{"run_time_ms":50,"cpus":2,"memory_mb":4}})",
      "key");
  EXPECT_EQ(Value.m_Spec.m_Payloads,
            (std::vector<std::string>{"{\"a\":1}", "\"x\""}));
  EXPECT_EQ(Value.m_Spec.m_Deadline, milliseconds(1500));
  EXPECT_FALSE(Value.m_IsRepeatable);
  EXPECT_EQ(Value.m_Ticket, (TicketId{Incarnation{255}, 3}));
  EXPECT_EQ(Value.m_IdempotencyKey, "key");
  EXPECT_EQ(Value.m_Spec.m_DeclaredMemoryBytes, 4ULL * 1024 * 1024);
  EXPECT_TRUE(decodeSubmission(Minimal, "").m_IsRepeatable);
}

TEST(JsonCodec, refusesOtherForms) {
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
  EXPECT_TRUE(isRefused(Minimal, std::string(129, 'k')));
}

TEST(JsonCodec, anyBytesAreReadOrRefused) {
  EXPECT_TRUE(rc::check("no other exception", [] {
    auto At = *rc::gen::inRange<std::size_t>(0, Minimal.size());
    std::string Changed = Minimal;
    Changed[At] = *rc::gen::arbitrary<char>();
    try {
      decodeSubmission(Changed, "");
    } catch (const Error &) {
    }
  }));
}

TEST(JsonCodec, answersRoundTripBetweenEntries) {
  JobAnswer Whole{{Incarnation{1}, 2}, ResultCode::Ok, "", {"1", "{\"a\":2}"}};
  JobAnswer Back = decodeAnswer(Whole.m_Job, encodeAnswer(Whole));
  EXPECT_EQ(Back.m_Code, ResultCode::Ok);
  EXPECT_EQ(Back.m_Answers, Whole.m_Answers);
  Whole.m_Code = ResultCode::DeadlineBeforeStart;
  EXPECT_EQ(decodeAnswer(Whole.m_Job, encodeAnswer(Whole)).m_Code,
            ResultCode::DeadlineBeforeStart);
}

// A problem that is not about the job itself says nothing of its outcome.
TEST(JsonCodec, problemOfTheOtherEntryIsNoOutcomeOfTheJob) {
  JobId Id{Incarnation{1}, 2};
  EXPECT_EQ(decodeAnswer(Id, encodeProblem(ResultCode::NotFound, "")).m_Code,
            ResultCode::OwnerLost);
  EXPECT_EQ(decodeAnswer(Id, HttpResponse{}).m_Code, ResultCode::OwnerLost);
  EXPECT_EQ(decodeAnswer(Id, encodeRunning(Id)).m_Code, ResultCode::OwnerLost);
}
