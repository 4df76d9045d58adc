#include "configuration/internal/rows.h"

#include "configuration/configurationmodule.h"

#include <xxhash.h>

namespace cyclamenwalk {

namespace {

const char *const ConfigurationTable = "configuration";
const char *const AuditTable = "audit";
const char *const ApplyTable = "applies";
constexpr std::size_t VersionDigits = 12;

} // namespace

RowKey headRow() { return {ConfigurationTable, "head"}; }

RowKey auditRow(std::uint64_t Version) {
  std::string Digits = std::to_string(Version);
  std::size_t PaddingLength =
      Digits.size() < VersionDigits ? VersionDigits - Digits.size() : 0;
  return {AuditTable, std::string(PaddingLength, '0') + Digits};
}

RowKey applyRow(const std::string &ApplyId) { return {ApplyTable, ApplyId}; }

std::string textObjectName(const std::string &Digest) {
  return "configuration-" + Digest;
}

std::string digestOf(const std::string &Text) {
  XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  char Digits[33];
  std::snprintf(Digits, sizeof(Digits), "%016llx%016llx",
                static_cast<unsigned long long>(Hash.high64),
                static_cast<unsigned long long>(Hash.low64));
  return Digits;
}

} // namespace cyclamenwalk
