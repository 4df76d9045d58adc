#include "core/internal/logratelimiter.h"
#include "core/log.h"
#include "core/tests/mocks/manualtimerservice.h"
#include "core/types/ids.h"
#include "core/types/resultcode.h"

#include <gtest/gtest.h>
#include <set>

using namespace cyclamenwalk;

TEST(LogRateLimiter, limitsEachEventAndCountsSuppressedLines) {
  LogRateLimiter Limiter(2);
  TimePoint Now{seconds(1)};
  std::uint64_t Suppressed = 0;
  EXPECT_TRUE(Limiter.tryAdmit("a", Now, Suppressed));
  EXPECT_TRUE(Limiter.tryAdmit("a", Now, Suppressed));
  EXPECT_FALSE(Limiter.tryAdmit("a", Now, Suppressed));
  EXPECT_TRUE(Limiter.tryAdmit("b", Now, Suppressed));
  EXPECT_EQ(Suppressed, 0u);
  EXPECT_TRUE(Limiter.tryAdmit("a", Now + seconds(1), Suppressed));
  EXPECT_EQ(Suppressed, 1u);
}

TEST(Ids, textFormsRoundTrip) {
  JobId Job{Incarnation{0xabcdef}, 42};
  EXPECT_EQ(parseJobId(toString(Job)), Job);
  TicketId Ticket{Incarnation{7}, 1};
  EXPECT_EQ(parseTicketId(toString(Ticket)), Ticket);
  EXPECT_FALSE(parseJobId(toString(Ticket)));
  EXPECT_FALSE(parseJobId("j0000000000000007-"));
  EXPECT_FALSE(parseJobId("j0000000000000007-1x"));
  EXPECT_FALSE(parseJobId(""));
}

TEST(ResultCodes, numberRangeMatchesTheOutcome) {
  std::set<std::string_view> Names;
  int PreviousNumber = -1;
  for (const ResultCodeInfo &Info : resultCodes()) {
    int Number = static_cast<int>(Info.m_Code);
    EXPECT_GT(Number, PreviousNumber);
    PreviousNumber = Number;
    EXPECT_TRUE(Names.insert(Info.m_Name).second);
    EXPECT_EQ(Number / 1000 == 2, Info.m_Outcome == Outcome::DidNotRun);
    EXPECT_EQ(Number / 1000 == 3, Info.m_Outcome == Outcome::OutcomeUnknown);
    EXPECT_EQ(Number / 1000 == 4, Info.m_Outcome == Outcome::Failed);
    EXPECT_EQ(toResultCode(Number), Info.m_Code);
  }
}

TEST(Log, quotesValuesWithSpacesOrQuotes) {
  EXPECT_EQ(formatEvent("job.finished", {{"id", "j1"}, {"text", "a \"b\"\n"}}),
            "event=job.finished id=j1 text=\"a \\\"b\\\" \"");
}

TEST(TimerTable, periodicTimerCanCancelItself) {
  ManualTimerService Timers;
  int Calls = 0;
  TimerId Id = 0;
  Id = Timers.subscribeEvery(seconds(1), [&] {
    if (++Calls == 3)
      Timers.cancel(Id);
  });
  Timers.advance(seconds(10));
  EXPECT_EQ(Calls, 3);
}
