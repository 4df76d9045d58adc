#include "transport/internal/messageframe.h"

#include <algorithm>

namespace cyclamenwalk {

namespace {

constexpr std::size_t MinMessageReserve = 4096;
constexpr unsigned BitsInByte = 8;
const std::string_view PushGreeting("\0SP\0\0\x50\0\0", 8);

} // namespace

const std::string MessageFrame::Greeting("\0SP\0\0\x51\0\0", 8);

MessageFrame::Step MessageFrame::read(std::string_view &Input) {
  while (!m_IsInMessage) {
    if (!fillHeader(Input))
      return Step::NeedsMore;
    Step Result = readHeader();
    if (Result != Step::NeedsMore)
      return Result;
  }
  return fillMessage(Input);
}

bool MessageFrame::fillHeader(std::string_view &Input) {
  std::size_t Count = std::min(HeaderBytes - m_HeaderSize, Input.size());
  std::copy_n(Input.begin(), Count, m_Header.begin() + m_HeaderSize);
  Input.remove_prefix(Count);
  m_HeaderSize += Count;
  return m_HeaderSize == HeaderBytes;
}

MessageFrame::Step MessageFrame::readHeader() {
  m_HeaderSize = 0;
  if (!m_IsGreeted) {
    m_IsGreeted = true;
    return std::string_view(m_Header.data(), HeaderBytes) == PushGreeting
               ? Step::NeedsMore
               : Step::NotOurProtocol;
  }
  std::uint64_t Length = 0;
  for (char Byte : m_Header)
    Length = Length << BitsInByte | static_cast<unsigned char>(Byte);
  if (Length > m_MessageLimit)
    return Step::TooLarge;
  m_Length = static_cast<std::size_t>(Length);
  m_IsInMessage = true;
  return Step::NeedsMore;
}

MessageFrame::Step MessageFrame::fillMessage(std::string_view &Input) {
  std::size_t Count = std::min(m_Length - m_Message.size(), Input.size());
  std::size_t Needed = m_Message.size() + Count;
  if (Needed > m_Message.capacity())
    m_Message.reserve(std::min(
        m_Length, std::max({Needed, 2 * m_Message.size(), MinMessageReserve})));
  m_Message.append(Input.data(), Count);
  Input.remove_prefix(Count);
  if (m_Message.size() < m_Length)
    return Step::NeedsMore;
  m_IsInMessage = false;
  return Step::Message;
}

void MessageFrame::dropMessage() { std::string().swap(m_Message); }

} // namespace cyclamenwalk
