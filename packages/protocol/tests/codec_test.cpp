#include "core/error.h"
#include "protocol/codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace cyclamenwalk;

namespace {

Envelope startEnvelope() {
  Start Body;
  Body.m_Task = TaskId{JobId{Incarnation{~0ULL}, 3}, 879};
  Body.m_Credit = CreditId{9};
  Body.m_Payload = std::string("\0\xff{}", 4);
  Body.m_Remaining = milliseconds(1500);
  Body.m_IsLong = true;
  Envelope Value;
  Value.m_Sender = Incarnation{1};
  Value.m_Receiver = Incarnation{2};
  Value.m_Link = 5;
  Value.m_Sequence = 6;
  Value.m_Acknowledged = 4;
  Value.m_Message = Body;
  return Value;
}

ResultCode codeOfDecoding(const std::string &Bytes,
                          std::size_t Limit = 1 << 20) {
  try {
    decode(Bytes, Limit);
  } catch (const Error &Caught) {
    return Caught.code();
  }
  return ResultCode::Ok;
}

template <std::size_t Index = 0> void expectEveryTypeRoundTrips() {
  if constexpr (Index < std::variant_size_v<Message>) {
    Envelope Value;
    Value.m_Message = std::variant_alternative_t<Index, Message>();
    EXPECT_EQ(decode(encode(Value)).m_Message.index(), Index);
    expectEveryTypeRoundTrips<Index + 1>();
  }
}

} // namespace

TEST(Codec, keepsEveryField) {
  Envelope Back = decode(encode(startEnvelope()));
  EXPECT_EQ(Back.m_Sender, Incarnation{1});
  EXPECT_EQ(Back.m_Sequence, 6u);
  const Start &Body = std::get<Start>(Back.m_Message);
  EXPECT_EQ(Body.m_Task, (TaskId{JobId{Incarnation{~0ULL}, 3}, 879}));
  EXPECT_EQ(Body.m_Payload, std::string("\0\xff{}", 4));
  EXPECT_EQ(Body.m_Remaining, milliseconds(1500));
  EXPECT_TRUE(Body.m_IsLong);
}

TEST(Codec, everyTypeRoundTrips) { expectEveryTypeRoundTrips(); }

TEST(Codec, refusesOtherVersionsSizesAndGarbage) {
  std::string Bytes = encode(startEnvelope());
  EXPECT_EQ(codeOfDecoding(Bytes, Bytes.size() - 1),
            ResultCode::MessageTooLarge);
  std::string Newer = Bytes;
  Newer[1] = ProtocolVersionNumber + 1;
  EXPECT_EQ(codeOfDecoding(Newer), ResultCode::ProtocolVersion);
  EXPECT_EQ(codeOfDecoding(""), ResultCode::MalformedMessage);
  EXPECT_EQ(codeOfDecoding("GET / HTTP/1.1\r\n"), ResultCode::MalformedMessage);
  // An array that claims four billion elements.
  EXPECT_EQ(codeOfDecoding(std::string("\xdd\xff\xff\xff\xff", 5)),
            ResultCode::MalformedMessage);
}

TEST(Codec, everyTruncationIsRefused) {
  std::string Bytes = encode(startEnvelope());
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    EXPECT_EQ(codeOfDecoding(Bytes.substr(0, Size)),
              ResultCode::MalformedMessage);
}

TEST(Codec, changedBytesNeverCrash) {
  std::string Bytes = encode(startEnvelope());
  EXPECT_TRUE(rc::check("one changed byte decodes or fails with Error", [&] {
    auto At = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    std::string Changed = Bytes;
    Changed[At] = *rc::gen::arbitrary<char>();
    codeOfDecoding(Changed);
  }));
}
