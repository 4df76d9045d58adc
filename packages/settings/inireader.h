#ifndef CYCLAMENWALK_SETTINGS_INIREADER_H
#define CYCLAMENWALK_SETTINGS_INIREADER_H

#include "core/types/time.h"
#include "settings/inidocument.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// Reads typed values from a document and collects everything that is wrong.
/// What was never asked for counts as unknown.
class IniReader {
public:
  explicit IniReader(IniDocument Document);
  ~IniReader();

  /// Names of the sections "KIND NAME", without the kind.
  std::vector<std::string> namedSections(const std::string &Kind);

  std::string text(const std::string &Section, const std::string &Key,
                   const std::string &Default);
  std::string requiredText(const std::string &Section, const std::string &Key);

  /// Letters, digits, '-' and '.'; required.
  std::string requiredName(const std::string &Section, const std::string &Key);

  /// IP:PORT; empty when absent and not required.
  std::string address(const std::string &Section, const std::string &Key,
                      bool IsRequired);

  std::vector<std::string> list(const std::string &Section,
                                const std::string &Key);
  std::vector<std::string> addresses(const std::string &Section,
                                     const std::string &Key);

  std::uint32_t number(const std::string &Section, const std::string &Key,
                       std::uint32_t Default, std::uint32_t Lowest,
                       std::uint32_t Highest);

  /// A number with a percent sign.
  std::uint32_t percent(const std::string &Section, const std::string &Key,
                        std::uint32_t Default);

  Duration duration(const std::string &Section, const std::string &Key,
                    Duration Default);

  /// A size with a unit, in bytes.
  std::uint64_t size(const std::string &Section, const std::string &Key,
                     std::uint64_t Default);

  /// One of \p Allowed.
  std::string choice(const std::string &Section, const std::string &Key,
                     const std::string &Default,
                     const std::set<std::string> &Allowed);

  /// Adds a problem about a value that was read.
  void addProblem(const std::string &Section, const std::string &Key,
                  ResultCode Code, const std::string &Detail);

  /// Throws SettingsError with all problems, in the order of the lines.
  void finish();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Whether \p Text is a name: 1 to 63 letters, digits, '-' and '.'.
bool isName(const std::string &Text);

/// Whether \p Text is an IPv4 address and a port.
bool isAddress(const std::string &Text);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SETTINGS_INIREADER_H
