#ifndef CYCLAMENWALK_PROTOCOL_CODEC_H
#define CYCLAMENWALK_PROTOCOL_CODEC_H

#include "message/types/messages.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace cyclamenwalk {

/// Version of the protocol between processes; messages of other versions are
/// refused.
constexpr unsigned ProtocolVersionNumber = 4;

/// Largest encoded message, in bytes.
constexpr std::size_t DefaultMessageLimit = 16 * 1024 * 1024;

/// Encodes \p Value as MessagePack.
std::string encode(const Envelope &Value);

/// The inverse of encode. Throws Error with MessageTooLarge, ProtocolVersion
/// or MalformedMessage.
Envelope decode(std::string_view Bytes,
                std::size_t Limit = DefaultMessageLimit);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PROTOCOL_CODEC_H
