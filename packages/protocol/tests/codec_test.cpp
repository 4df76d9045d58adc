#include "core/error.h"
#include "protocol/codec.h"

#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck.h>

using namespace cyclamenwalk;

namespace {

Envelope makeStartEnvelope() {
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
  Value.m_SentAt = milliseconds(70'000);
  Value.m_Echo = milliseconds(69'900);
  Value.m_CallersSilence = milliseconds(250);
  Value.m_Message = Body;
  return Value;
}

ResultCode decodeErrorCode(const std::string &Bytes,
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

TEST(Codec, roundTripsEveryFieldOfEnvelope) {
  Envelope Decoded = decode(encode(makeStartEnvelope()));
  EXPECT_EQ(Decoded.m_Sender, Incarnation{1});
  EXPECT_EQ(Decoded.m_Sequence, 6u);
  EXPECT_EQ(Decoded.m_SentAt, milliseconds(70'000));
  EXPECT_EQ(Decoded.m_Echo, milliseconds(69'900));
  EXPECT_EQ(Decoded.m_CallersSilence, milliseconds(250));
  const Start &Body = std::get<Start>(Decoded.m_Message);
  EXPECT_EQ(Body.m_Task, (TaskId{JobId{Incarnation{~0ULL}, 3}, 879}));
  EXPECT_EQ(Body.m_Payload, std::string("\0\xff{}", 4));
  EXPECT_EQ(Body.m_Remaining, milliseconds(1500));
  EXPECT_TRUE(Body.m_IsLong);
}

TEST(Codec, roundTripsEveryMessageType) { expectEveryTypeRoundTrips(); }

TEST(Codec, roundTripsAForwardedJob) {
  ForwardJob Body;
  Body.m_Request = 7;
  Body.m_Spec.m_Name = "a1";
  Body.m_Spec.m_Required = {8000, 64, 1};
  Body.m_Spec.m_SlackFactor = 1.6;
  Body.m_Spec.m_Deadline = milliseconds(1500);
  Body.m_Spec.m_Age = milliseconds(20);
  Envelope Value;
  Value.m_Message = Body;
  Envelope Decoded = decode(encode(Value));
  const BatchSpec &Spec = std::get<ForwardJob>(Decoded.m_Message).m_Spec;
  EXPECT_EQ(Spec.m_Name, "a1");
  EXPECT_EQ(Spec.m_Required, Body.m_Spec.m_Required);
  EXPECT_EQ(Spec.m_SlackFactor, 1.6);
  EXPECT_EQ(Spec.m_Deadline, milliseconds(1500));
  EXPECT_EQ(Spec.m_Age, milliseconds(20));
}

TEST(Codec, refusesANumberThatIsNotFinite) {
  ForwardJob Body;
  Body.m_Spec.m_SlackFactor = std::numeric_limits<double>::infinity();
  Envelope Value;
  Value.m_Message = Body;
  EXPECT_EQ(decodeErrorCode(encode(Value)), ResultCode::MalformedMessage);
}

/// The time would overflow when it is converted to nanoseconds.
TEST(Codec, refusesATimeThatCannotBeRepresented) {
  Envelope Value;
  Value.m_Echo = milliseconds((1LL << 40) + 1);
  EXPECT_EQ(decodeErrorCode(encode(Value)), ResultCode::MalformedMessage);
}

/// The smallest links have 25 Mbit/s, and most messages on an idle one are
/// heartbeats.
TEST(Codec, heartbeatIsSmall) {
  Envelope Value = makeStartEnvelope();
  Value.m_Message = Heartbeat{};
  Value.m_Sender = Value.m_Receiver = Incarnation{~0ULL};
  Value.m_Link = ~0U;
  Value.m_SentAt = Value.m_Echo = std::chrono::hours(24);
  EXPECT_EQ(encode(Value).size(), 45u);
}

TEST(Codec, refusesOtherVersionsOversizeAndMalformedInput) {
  std::string Bytes = encode(makeStartEnvelope());
  EXPECT_EQ(decodeErrorCode(Bytes, Bytes.size() - 1),
            ResultCode::MessageTooLarge);
  std::string NewerVersion = Bytes;
  NewerVersion[1] = ProtocolVersionNumber + 1;
  EXPECT_EQ(decodeErrorCode(NewerVersion), ResultCode::ProtocolVersion);
  EXPECT_EQ(decodeErrorCode(""), ResultCode::MalformedMessage);
  EXPECT_EQ(decodeErrorCode("GET / HTTP/1.1\r\n"),
            ResultCode::MalformedMessage);
  // The header of an array with 4294967295 elements.
  EXPECT_EQ(decodeErrorCode(std::string("\xdd\xff\xff\xff\xff", 5)),
            ResultCode::MalformedMessage);
}

TEST(Codec, refusesEveryTruncation) {
  std::string Bytes = encode(makeStartEnvelope());
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size)
    EXPECT_EQ(decodeErrorCode(Bytes.substr(0, Size)),
              ResultCode::MalformedMessage);
}

TEST(Codec, doesNotCrashOnChangedBytes) {
  std::string Bytes = encode(makeStartEnvelope());
  EXPECT_TRUE(rc::check("one changed byte decodes or fails with Error", [&] {
    auto Index = *rc::gen::inRange<std::size_t>(0, Bytes.size());
    std::string Changed = Bytes;
    Changed[Index] = *rc::gen::arbitrary<char>();
    decodeErrorCode(Changed);
  }));
}

// Guards against a message whose elements take many times its own size.
TEST(Codec, refusesMessagesWithTooManyElements) {
  constexpr std::size_t Count = 256 * 1024;
  std::string Flat =
      std::string("\xdd\0\x04\0\0", 5) + std::string(Count, '\x01');
  EXPECT_EQ(decodeErrorCode(Flat), ResultCode::MalformedMessage);
  std::string Nested = "\xdc";
  Nested += std::string("\0\xc8", 2);
  for (int I = 0; I < 200; ++I)
    Nested += std::string("\xdc\x04\0", 3) + std::string(1024, '\x01');
  EXPECT_EQ(decodeErrorCode(Nested), ResultCode::MalformedMessage);
  RunResults Largest;
  Largest.m_RunResults.resize(10'000);
  Envelope Value;
  Value.m_Message = Largest;
  EXPECT_EQ(decodeErrorCode(encode(Value)), ResultCode::Ok);
}
