#ifndef CYCLAMENWALK_CONFIGURATION_TYPES_CONFIGURATIONRECORD_H
#define CYCLAMENWALK_CONFIGURATION_TYPES_CONFIGURATIONRECORD_H

#include "core/types/resultcode.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenwalk {

using WallTime = std::chrono::system_clock::time_point;

/// An accepted configuration. Stored in the head row and, with the changes, in
/// the audit trail.
struct ConfigurationRecord {
  std::uint64_t m_Version = 0;
  std::uint64_t m_PreviousVersion = 0;
  /// Hexadecimal digest of the text. Part of the name of the stored object.
  std::string m_Digest;
  std::string m_ApplyId;
  std::string m_Operator;
  WallTime m_AcceptedAt;
  std::vector<std::string> m_Changes;
};

/// Encodes and decodes records. Provided by the wiring, so that this package
/// knows no encoding.
struct RecordCodec {
  std::function<std::string(const ConfigurationRecord &)> m_Encode;
  /// Returns nothing if the value cannot be decoded.
  std::function<std::optional<ConfigurationRecord>(const std::string &)>
      m_Decode;
};

/// A request of an operator to apply a configuration file.
struct ApplyRequest {
  std::string m_Text;
  std::string m_ApplyId;
  std::string m_Operator;
  /// The version that the operator edited. Empty accepts any current version.
  std::optional<std::uint64_t> m_BaseVersion;
  WallTime m_ReceivedAt;
};

struct ApplyResult {
  ResultCode m_Code = ResultCode::Ok;
  std::string m_Detail;
  /// The accepted record, or the one that was accepted instead.
  ConfigurationRecord m_Record;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CONFIGURATION_TYPES_CONFIGURATIONRECORD_H
