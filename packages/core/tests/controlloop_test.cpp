#include "core/controlloop.h"

#include <future>
#include <gtest/gtest.h>
#include <thread>
#include <vector>

using namespace cyclamenwalk;

TEST(ControlLoop, runsWorkInOrderOnOneThread) {
  ControlLoop Loop;
  std::vector<int> Seen;
  for (int I = 0; I < 3; ++I)
    ASSERT_TRUE(Loop.tryPost([&Seen, I] { Seen.push_back(I); }));
  Loop.tryPost([&Loop] { Loop.stop(); });
  Loop.run();
  EXPECT_EQ(Seen, (std::vector<int>{0, 1, 2}));
}

TEST(ControlLoop, refusesWorkBeyondItsCapacity) {
  ControlLoop Loop(2);
  EXPECT_TRUE(Loop.tryPost([] {}));
  EXPECT_TRUE(Loop.tryPost([] {}));
  EXPECT_FALSE(Loop.tryPost([] {}));
}

TEST(ControlLoop, postWaitsForRoomAndEndsWithTheLoop) {
  ControlLoop Loop(1);
  ASSERT_TRUE(Loop.tryPost([] {}));
  auto Waiting =
      std::async(std::launch::async, [&Loop] { return Loop.post([] {}); });
  Loop.stop();
  Loop.run();
  // Either the post got the room or it learned that the loop had ended.
  Waiting.wait();
  EXPECT_FALSE(Loop.post([] {}));
}

TEST(ControlLoop, callsTimersInOrderAndHonoursCancel) {
  ControlLoop Loop;
  std::vector<int> Seen;
  Loop.subscribe(milliseconds(4), [&] {
    Seen.push_back(2);
    Loop.stop();
  });
  Loop.subscribe(milliseconds(1), [&] { Seen.push_back(1); });
  TimerId Cancelled =
      Loop.subscribe(milliseconds(2), [&] { Seen.push_back(9); });
  Loop.cancel(Cancelled);
  Loop.run();
  EXPECT_EQ(Seen, (std::vector<int>{1, 2}));
}
