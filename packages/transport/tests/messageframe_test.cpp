#include "transport/internal/messageframe.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <vector>

using namespace cyclamenwalk;
using Step = MessageFrame::Step;

namespace {

constexpr std::size_t MessageLimit = 1000;
const std::string PushGreeting("\0SP\0\0\x50\0\0", 8);

std::string frameOf(const std::string &Message) {
  std::string Header(8, '\0');
  Header[6] = static_cast<char>(Message.size() >> 8);
  Header[7] = static_cast<char>(Message.size() & 0xff);
  return Header + Message;
}

Step readAll(MessageFrame &Frame, const std::string &Bytes) {
  std::string_view Input = Bytes;
  return Frame.read(Input);
}

} // namespace

// Guards against messages that are cut or joined where a read ends.
TEST(MessageFrame, anyDivisionOfTheBytesGivesTheSameMessages) {
  EXPECT_TRUE(rc::check([] {
    auto Messages = *rc::gen::container<std::vector<std::string>>(
        rc::gen::arbitrary<std::string>());
    std::string Bytes = PushGreeting;
    for (const std::string &Message : Messages)
      Bytes += frameOf(Message);
    MessageFrame Frame(MessageLimit);
    std::vector<std::string> Received;
    std::string_view Rest = Bytes;
    while (!Rest.empty()) {
      std::string_view Input = Rest.substr(0, *rc::gen::inRange(1, 20));
      Rest.remove_prefix(Input.size());
      while (!Input.empty())
        if (Frame.read(Input) == Step::Message) {
          Received.push_back(Frame.message());
          Frame.dropMessage();
        }
    }
    RC_ASSERT(Received == Messages);
  }));
}

// Guards against memory that is taken for an announced length.
TEST(MessageFrame, keepsNoMoreThanTwiceWhatArrived) {
  constexpr std::size_t Limit = 64 * 1024 * 1024;
  MessageFrame Frame(Limit);
  std::string Length("\0\0\0\0\x02\0\0\0", 8);
  EXPECT_EQ(readAll(Frame, PushGreeting + Length), Step::NeedsMore);
  EXPECT_LE(Frame.keptBytes(), 4096U);
  EXPECT_EQ(readAll(Frame, std::string(100'000, 'x')), Step::NeedsMore);
  EXPECT_LE(Frame.keptBytes(), 200'000U);
}

TEST(MessageFrame, refusesOtherProtocolsAndMessagesAboveTheLimit) {
  MessageFrame Other(MessageLimit);
  EXPECT_EQ(readAll(Other, "GET / HTTP/1.1\r\n"), Step::NotOurProtocol);
  MessageFrame Large(MessageLimit);
  EXPECT_EQ(readAll(Large, PushGreeting + frameOf(std::string(1001, 'x'))),
            Step::TooLarge);
}
