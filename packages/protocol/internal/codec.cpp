#include "protocol/codec.h"

#include "core/error.h"
#include "protocol/internal/fields.h"

#define MSGPACK_NO_BOOST
#include <cmath>
#include <msgpack.hpp>
#include <type_traits>

namespace cyclamenwalk {

namespace {

/// The protocol version, the eight fields of the envelope, the message type and
/// the message.
constexpr std::uint32_t EnvelopeElementCount = 11;
/// Elements of all arrays of a message. The largest message of the system has
/// nine for each result of a job of 10,000 tasks.
constexpr std::uint64_t MaxMessageElements = 128 * 1024;
/// Greater times in an envelope are forged; they would overflow a Duration.
constexpr std::uint64_t MaxEnvelopeMilliseconds = 1ULL << 40;

[[noreturn]] void failMalformed(const std::string &Detail) {
  throw Error(ResultCode::MalformedMessage, Detail);
}

class Packer {
public:
  explicit Packer(msgpack::sbuffer &Buffer) : m_Packer(Buffer) {}

  void array(std::uint32_t Size) { m_Packer.pack_array(Size); }

  void put(std::uint64_t Value) { m_Packer.pack(Value); }
  void put(std::uint32_t Value) { m_Packer.pack(Value); }
  void put(std::int64_t Value) { m_Packer.pack(Value); }
  void put(bool Value) { m_Packer.pack(Value); }
  void put(double Value) { m_Packer.pack(Value); }
  void put(RunOutcome Value) { m_Packer.pack(static_cast<unsigned>(Value)); }
  void put(const std::string &Value) { m_Packer.pack(Value); }
  void put(Duration Value) { m_Packer.pack(std::int64_t(Value.count())); }
  void put(Role Value) { m_Packer.pack(static_cast<int>(Value)); }
  void put(ResultCode Value) { m_Packer.pack(static_cast<int>(Value)); }

  template <typename T> void put(const std::vector<T> &Values) {
    array(static_cast<std::uint32_t>(Values.size()));
    for (const T &Value : Values)
      put(Value);
  }

  template <typename T> void put(const T &Value) {
    // visitFields() also serves unpacking, so it takes a mutable object.
    visitFields(const_cast<T &>(Value), [this](auto &...Field) {
      if constexpr (!IsEncodedAsNumber<T>::value)
        array(sizeof...(Field));
      (put(Field), ...);
    });
  }

private:
  msgpack::packer<msgpack::sbuffer> m_Packer;
};

class Unpacker {
public:
  void get(const msgpack::object &Object, std::uint64_t &Value) {
    Object.convert(Value);
  }
  void get(const msgpack::object &Object, std::uint32_t &Value) {
    Object.convert(Value);
  }
  void get(const msgpack::object &Object, std::int64_t &Value) {
    Object.convert(Value);
  }
  void get(const msgpack::object &Object, double &Value) {
    Object.convert(Value);
    if (!std::isfinite(Value))
      failMalformed("a number is not finite");
  }
  void get(const msgpack::object &Object, bool &Value) {
    Object.convert(Value);
  }
  void get(const msgpack::object &Object, RunOutcome &Value) {
    auto Index = Object.as<unsigned>();
    constexpr auto Count = static_cast<unsigned>(RunOutcome::Count);
    if (Index >= Count)
      failMalformed("run outcome " + std::to_string(Index) +
                    ", expected 0 to " + std::to_string(Count - 1));
    Value = static_cast<RunOutcome>(Index);
  }
  void get(const msgpack::object &Object, std::string &Value) {
    Object.convert(Value);
  }
  void get(const msgpack::object &Object, Duration &Value) {
    Value = Duration(Object.as<std::int64_t>());
  }
  void get(const msgpack::object &Object, Role &Value) {
    int Index = Object.as<int>();
    if (Index != 0 && Index != 1)
      failMalformed("role " + std::to_string(Index) + ", expected 0 or 1");
    Value = static_cast<Role>(Index);
  }
  void get(const msgpack::object &Object, ResultCode &Value) {
    Value = toResultCode(Object.as<int>());
  }

  template <typename T>
  void get(const msgpack::object &Object, std::vector<T> &Values) {
    const auto &Elements = array(Object);
    Values.reserve(Elements.size);
    for (std::uint32_t I = 0; I < Elements.size; ++I) {
      Values.emplace_back();
      get(Elements.ptr[I], Values.back());
    }
  }

  template <typename T> void get(const msgpack::object &Object, T &Value) {
    visitFields(Value, [&](auto &...Field) {
      if constexpr (IsEncodedAsNumber<T>::value) {
        (get(Object, Field), ...);
      } else {
        const auto &Elements = array(Object);
        if (Elements.size != sizeof...(Field))
          failMalformed(std::to_string(Elements.size) +
                        " message fields, expected " +
                        std::to_string(sizeof...(Field)));
        [[maybe_unused]] std::uint32_t I = 0;
        (get(Elements.ptr[I++], Field), ...);
      }
    });
  }

  static const msgpack::object_array &array(const msgpack::object &Object) {
    if (Object.type != msgpack::type::ARRAY)
      failMalformed("MessagePack type " + std::to_string(Object.type) +
                    ", expected an array");
    return Object.via.array;
  }
};

template <std::size_t Index = 0>
Message unpackMessage(std::size_t Type, const msgpack::object &Object) {
  if constexpr (Index < std::variant_size_v<Message>) {
    if (Type != Index)
      return unpackMessage<Index + 1>(Type, Object);
    std::variant_alternative_t<Index, Message> Value;
    Unpacker().get(Object, Value);
    return Value;
  } else {
    failMalformed("message type " + std::to_string(Type) + ", expected 0 to " +
                  std::to_string(Index - 1));
  }
}

/// Times of envelopes are sent as whole milliseconds, to save bytes.
std::uint64_t packMilliseconds(Duration Span) {
  return static_cast<std::uint64_t>(toMilliseconds(Span));
}

Duration unpackMilliseconds(const msgpack::object &Object) {
  auto Count = Object.as<std::uint64_t>();
  if (Count > MaxEnvelopeMilliseconds)
    failMalformed(std::to_string(Count) + " ms in the envelope, expected at " +
                  "most " + std::to_string(MaxEnvelopeMilliseconds));
  return milliseconds(Count);
}

Envelope unpackEnvelope(const msgpack::object &Root) {
  const auto &Elements = Unpacker::array(Root);
  if (Elements.size == 0)
    failMalformed("the envelope is empty, expected a protocol version");
  auto Version = Elements.ptr[0].as<unsigned>();
  if (Version != ProtocolVersionNumber)
    throw Error(ResultCode::ProtocolVersion,
                "protocol version " + std::to_string(Version) + ", expected " +
                    std::to_string(ProtocolVersionNumber));
  if (Elements.size != EnvelopeElementCount)
    failMalformed(std::to_string(Elements.size) +
                  " envelope elements, expected " +
                  std::to_string(EnvelopeElementCount));
  Envelope Value;
  Unpacker FieldUnpacker;
  FieldUnpacker.get(Elements.ptr[1], Value.m_Sender);
  FieldUnpacker.get(Elements.ptr[2], Value.m_Receiver);
  FieldUnpacker.get(Elements.ptr[3], Value.m_Link);
  FieldUnpacker.get(Elements.ptr[4], Value.m_Sequence);
  FieldUnpacker.get(Elements.ptr[5], Value.m_Acknowledged);
  Value.m_SentAt = unpackMilliseconds(Elements.ptr[6]);
  Value.m_Echo = unpackMilliseconds(Elements.ptr[7]);
  Value.m_CallersSilence = unpackMilliseconds(Elements.ptr[8]);
  Value.m_Message =
      unpackMessage(Elements.ptr[9].as<std::size_t>(), Elements.ptr[10]);
  return Value;
}

/// Refuses a message with too many elements before they are allocated: each
/// takes many times the byte that it may have been sent as.
class ElementCounter : public msgpack::null_visitor {
public:
  bool start_array(std::uint32_t Count) { return add(Count); }
  bool start_map(std::uint32_t Count) { return add(2 * std::uint64_t{Count}); }

private:
  bool add(std::uint64_t Count) {
    m_Elements += Count;
    if (m_Elements > MaxMessageElements)
      failMalformed("more than " + std::to_string(MaxMessageElements) +
                    " elements");
    return true;
  }

  std::uint64_t m_Elements = 0;
};

void checkElements(std::string_view Bytes) {
  ElementCounter Counter;
  std::size_t Offset = 0;
  // What else is wrong with the message is found when it is unpacked.
  msgpack::parse(Bytes.data(), Bytes.size(), Offset, Counter);
}

} // namespace

std::string encode(const Envelope &Value) {
  msgpack::sbuffer Buffer;
  Packer EnvelopePacker(Buffer);
  EnvelopePacker.array(EnvelopeElementCount);
  EnvelopePacker.put(std::uint32_t(ProtocolVersionNumber));
  EnvelopePacker.put(Value.m_Sender);
  EnvelopePacker.put(Value.m_Receiver);
  EnvelopePacker.put(Value.m_Link);
  EnvelopePacker.put(Value.m_Sequence);
  EnvelopePacker.put(Value.m_Acknowledged);
  EnvelopePacker.put(packMilliseconds(Value.m_SentAt));
  EnvelopePacker.put(packMilliseconds(Value.m_Echo));
  EnvelopePacker.put(packMilliseconds(Value.m_CallersSilence));
  EnvelopePacker.put(std::uint64_t(Value.m_Message.index()));
  std::visit([&EnvelopePacker](const auto &Body) { EnvelopePacker.put(Body); },
             Value.m_Message);
  return std::string(Buffer.data(), Buffer.size());
}

Envelope decode(std::string_view Bytes, std::size_t Limit) {
  if (Bytes.size() > Limit)
    throw Error(ResultCode::MessageTooLarge, std::to_string(Bytes.size()) +
                                                 " bytes, expected at most " +
                                                 std::to_string(Limit));
  // No element can be larger than the message. This bounds the memory that the
  // library allocates for a forged length.
  msgpack::unpack_limit Limits(Bytes.size(), 0, Bytes.size(), Bytes.size(), 0,
                               8);
  try {
    checkElements(Bytes);
    auto Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr, Limits);
    return unpackEnvelope(Handle.get());
  } catch (const Error &) {
    throw;
  } catch (const std::exception &Caught) {
    failMalformed(Caught.what());
  }
}

} // namespace cyclamenwalk
