#ifndef CYCLAMENWALK_CONFIGURATION_TYPES_HEAD_H
#define CYCLAMENWALK_CONFIGURATION_TYPES_HEAD_H

#include "core/types/resultcode.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenwalk {

using WallTime = std::chrono::system_clock::time_point;

/// One accepted configuration: the head row and, with the changes, a row of
/// the audit trail.
struct ConfigurationRecord {
  std::uint64_t m_Version = 0;
  std::uint64_t m_PreviousVersion = 0;
  /// Hexadecimal digest of the text, which is also the object's name.
  std::string m_Digest;
  std::string m_ApplyId;
  std::string m_Operator;
  WallTime m_AcceptedAt;
  std::vector<std::string> m_Changes;
};

/// How records are written; given by the wiring, so that this package knows
/// no encoding.
struct RecordCodec {
  std::function<std::string(const ConfigurationRecord &)> m_Encode;
  /// Empty for a value that cannot be read.
  std::function<std::optional<ConfigurationRecord>(const std::string &)>
      m_Decode;
};

/// One operator's call to apply a file.
struct ApplyRequest {
  std::string m_Text;
  std::string m_ApplyId;
  std::string m_Operator;
  /// The version that the operator started from; empty for the current one.
  std::optional<std::uint64_t> m_BaseVersion;
  WallTime m_At;
};

struct ApplyResult {
  ResultCode m_Code = ResultCode::Ok;
  std::string m_Detail;
  /// The accepted record, or the one that won.
  ConfigurationRecord m_Record;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CONFIGURATION_TYPES_HEAD_H
