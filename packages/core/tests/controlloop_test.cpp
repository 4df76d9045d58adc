#include "core/controlloop.h"
#include "core/error.h"

#include <future>
#include <gtest/gtest.h>
#include <thread>
#include <vector>

using namespace cyclamenwalk;

TEST(ControlLoop, runsPostedWorkInOrder) {
  ControlLoop Loop;
  std::vector<int> Calls;
  for (int I = 0; I < 3; ++I)
    ASSERT_TRUE(Loop.tryPost([&Calls, I] { Calls.push_back(I); }));
  Loop.tryPost([&Loop] { Loop.stop(); });
  Loop.run();
  EXPECT_EQ(Calls, (std::vector<int>{0, 1, 2}));
}

TEST(ControlLoop, rejectsWorkBeyondItsCapacity) {
  ControlLoop Loop(2);
  EXPECT_TRUE(Loop.tryPost([] {}));
  EXPECT_TRUE(Loop.tryPost([] {}));
  EXPECT_FALSE(Loop.tryPost([] {}));
}

TEST(ControlLoop, stopReleasesBlockedPostAndRejectsLaterOnes) {
  ControlLoop Loop(1);
  ASSERT_TRUE(Loop.tryPost([] {}));
  auto BlockedPost =
      std::async(std::launch::async, [&Loop] { return Loop.post([] {}); });
  Loop.stop();
  Loop.run();
  // Depending on timing, the waiting post succeeded or found the loop stopped.
  BlockedPost.wait();
  EXPECT_FALSE(Loop.post([] {}));
}

TEST(ControlLoop, runsTimersInOrderWithoutCancelledOnes) {
  ControlLoop Loop;
  std::vector<int> Calls;
  Loop.subscribe(milliseconds(4), [&] {
    Calls.push_back(2);
    Loop.stop();
  });
  Loop.subscribe(milliseconds(1), [&] { Calls.push_back(1); });
  TimerId Cancelled =
      Loop.subscribe(milliseconds(2), [&] { Calls.push_back(9); });
  Loop.cancel(Cancelled);
  Loop.run();
  EXPECT_EQ(Calls, (std::vector<int>{1, 2}));
}

TEST(ControlLoop, continuesAfterExceptionsOfWorkAndTimers) {
  ControlLoop Loop;
  std::vector<int> Calls;
  Loop.tryPost([] { throw std::invalid_argument("malformed message"); });
  Loop.tryPost([&] { Calls.push_back(1); });
  Loop.subscribe(milliseconds(1), [] { throw std::out_of_range("no entry"); });
  Loop.subscribe(milliseconds(2), [&] {
    Calls.push_back(2);
    Loop.stop();
  });
  Loop.run();
  EXPECT_EQ(Calls, (std::vector<int>{1, 2}));
}

TEST(ControlLoop, endsOnAnErrorOfTheProgramItself) {
  ControlLoop Loop;
  Loop.tryPost(
      [] { throw Error(ResultCode::ChartNameMismatch, "a state is missing"); });
  EXPECT_THROW(Loop.run(), Error);
}
