#include "protocol/codec.h"

#include "core/error.h"
#include "protocol/internal/fields.h"

#define MSGPACK_NO_BOOST
#include <msgpack.hpp>
#include <type_traits>

namespace cyclamenwalk {

namespace {

/// Version, type and the five fields of the envelope precede the message.
constexpr std::uint32_t EnvelopeItems = 8;

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
    // The field lists serve both directions, so they take mutable objects.
    fields(const_cast<T &>(Value), [this](auto &...Field) {
      if constexpr (!IsPlainNumber<T>::value)
        array(sizeof...(Field));
      (put(Field), ...);
    });
  }

private:
  msgpack::packer<msgpack::sbuffer> m_Packer;
};

class Unpacker {
public:
  void get(const msgpack::object &From, std::uint64_t &Value) {
    From.convert(Value);
  }
  void get(const msgpack::object &From, std::uint32_t &Value) {
    From.convert(Value);
  }
  void get(const msgpack::object &From, std::int64_t &Value) {
    From.convert(Value);
  }
  void get(const msgpack::object &From, bool &Value) { From.convert(Value); }
  void get(const msgpack::object &From, RunOutcome &Value) {
    auto Number = From.as<unsigned>();
    if (Number >= static_cast<unsigned>(RunOutcome::Count))
      failMalformed("unknown end of a run");
    Value = static_cast<RunOutcome>(Number);
  }
  void get(const msgpack::object &From, std::string &Value) {
    From.convert(Value);
  }
  void get(const msgpack::object &From, Duration &Value) {
    Value = Duration(From.as<std::int64_t>());
  }
  void get(const msgpack::object &From, Role &Value) {
    int Number = From.as<int>();
    if (Number != 0 && Number != 1)
      failMalformed("unknown role");
    Value = static_cast<Role>(Number);
  }
  void get(const msgpack::object &From, ResultCode &Value) {
    Value = toResultCode(From.as<int>());
  }

  template <typename T>
  void get(const msgpack::object &From, std::vector<T> &Values) {
    const auto &Items = array(From);
    Values.reserve(Items.size);
    for (std::uint32_t I = 0; I < Items.size; ++I) {
      Values.emplace_back();
      get(Items.ptr[I], Values.back());
    }
  }

  template <typename T> void get(const msgpack::object &From, T &Value) {
    fields(Value, [&](auto &...Field) {
      if constexpr (IsPlainNumber<T>::value) {
        (get(From, Field), ...);
      } else {
        const auto &Items = array(From);
        if (Items.size != sizeof...(Field))
          failMalformed("wrong number of fields");
        [[maybe_unused]] std::uint32_t I = 0;
        (get(Items.ptr[I++], Field), ...);
      }
    });
  }

  static const msgpack::object_array &array(const msgpack::object &From) {
    if (From.type != msgpack::type::ARRAY)
      failMalformed("not an array");
    return From.via.array;
  }
};

template <std::size_t Index = 0>
Message makeMessage(std::size_t Type, const msgpack::object &From) {
  if constexpr (Index < std::variant_size_v<Message>) {
    if (Type != Index)
      return makeMessage<Index + 1>(Type, From);
    std::variant_alternative_t<Index, Message> Value;
    Unpacker().get(From, Value);
    return Value;
  } else {
    failMalformed("unknown message type");
  }
}

Envelope readEnvelope(const msgpack::object &Root) {
  const auto &Items = Unpacker::array(Root);
  if (Items.size == 0)
    failMalformed("no protocol version");
  if (Items.ptr[0].as<unsigned>() != ProtocolVersionNumber)
    throw Error(ResultCode::ProtocolVersion, "unknown protocol version");
  if (Items.size != EnvelopeItems)
    failMalformed("wrong number of envelope fields");
  Envelope Value;
  Unpacker Reader;
  Reader.get(Items.ptr[1], Value.m_Sender);
  Reader.get(Items.ptr[2], Value.m_Receiver);
  Reader.get(Items.ptr[3], Value.m_Link);
  Reader.get(Items.ptr[4], Value.m_Sequence);
  Reader.get(Items.ptr[5], Value.m_Acknowledged);
  Value.m_Message = makeMessage(Items.ptr[6].as<std::size_t>(), Items.ptr[7]);
  return Value;
}

} // namespace

std::string encode(const Envelope &Value) {
  msgpack::sbuffer Buffer;
  Packer Out(Buffer);
  Out.array(EnvelopeItems);
  Out.put(std::uint32_t(ProtocolVersionNumber));
  Out.put(Value.m_Sender);
  Out.put(Value.m_Receiver);
  Out.put(Value.m_Link);
  Out.put(Value.m_Sequence);
  Out.put(Value.m_Acknowledged);
  Out.put(std::uint64_t(Value.m_Message.index()));
  std::visit([&Out](const auto &Body) { Out.put(Body); }, Value.m_Message);
  return std::string(Buffer.data(), Buffer.size());
}

Envelope decode(std::string_view Bytes, std::size_t Limit) {
  if (Bytes.size() > Limit)
    throw Error(ResultCode::MessageTooLarge, "message too large");
  // No element can be larger than the message, which bounds what a forged
  // length makes the library allocate.
  msgpack::unpack_limit Bound(Bytes.size(), 0, Bytes.size(), Bytes.size(), 0,
                              8);
  try {
    auto Handle =
        msgpack::unpack(Bytes.data(), Bytes.size(), nullptr, nullptr, Bound);
    return readEnvelope(Handle.get());
  } catch (const Error &) {
    throw;
  } catch (const std::exception &Caught) {
    failMalformed(Caught.what());
  }
}

} // namespace cyclamenwalk
