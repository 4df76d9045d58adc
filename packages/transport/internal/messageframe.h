#ifndef CYCLAMENWALK_TRANSPORT_INTERNAL_MESSAGEFRAME_H
#define CYCLAMENWALK_TRANSPORT_INTERNAL_MESSAGEFRAME_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenwalk {

/// Splits what a PUSH socket of nng sends over TCP into messages: a greeting of
/// eight bytes, then for each message its length, eight bytes in network order,
/// and its bytes. Memory is taken as bytes arrive, not by the length.
class MessageFrame {
public:
  /// The answer of a PULL socket to the greeting.
  static const std::string Greeting;

  explicit MessageFrame(std::size_t MessageLimit)
      : m_MessageLimit(MessageLimit) {}

  enum class Step { NeedsMore, Message, NotOurProtocol, TooLarge };

  /// Takes bytes from the front of \p Input until a message is complete, an
  /// error is found, or \p Input is empty.
  Step read(std::string_view &Input);

  const std::string &message() const { return m_Message; }

  /// Memory of the incomplete message.
  std::size_t keptBytes() const {
    return m_IsInMessage ? m_Message.capacity() : 0;
  }

  /// Frees a message that is complete.
  void dropMessage();

private:
  bool fillHeader(std::string_view &Input);
  Step readHeader();
  Step fillMessage(std::string_view &Input);

  static constexpr std::size_t HeaderBytes = 8;

  const std::size_t m_MessageLimit;
  bool m_IsGreeted = false;
  bool m_IsInMessage = false;
  std::array<char, HeaderBytes> m_Header{};
  std::size_t m_HeaderSize = 0;
  std::size_t m_Length = 0;
  std::string m_Message;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TRANSPORT_INTERNAL_MESSAGEFRAME_H
