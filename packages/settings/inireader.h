#ifndef CYCLAMENWALK_SETTINGS_INIREADER_H
#define CYCLAMENWALK_SETTINGS_INIREADER_H

#include "core/types/time.h"
#include "settings/inidocument.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace cyclamenwalk {

/// Reads typed values from an INI document and collects the problems. Sections
/// and keys that are never read are reported as unknown by finish().
class IniReader {
public:
  explicit IniReader(IniDocument Document);
  ~IniReader();

  /// Returns the names of the sections "KIND NAME", without the kind.
  std::vector<std::string> namedSections(const std::string &Kind);

  std::string text(const std::string &Section, const std::string &Key,
                   const std::string &Default);
  std::string requiredText(const std::string &Section, const std::string &Key);

  /// Reads a required name as accepted by isName().
  std::string requiredName(const std::string &Section, const std::string &Key);

  /// Reads an IP:PORT; empty when absent and not required.
  std::string address(const std::string &Section, const std::string &Key,
                      bool IsRequired);

  std::vector<std::string> list(const std::string &Section,
                                const std::string &Key);
  std::vector<std::string> addresses(const std::string &Section,
                                     const std::string &Key);

  /// Reads a whole number, which may be written with a point (8192.0).
  std::uint32_t number(const std::string &Section, const std::string &Key,
                       std::uint32_t Default, std::uint32_t Min,
                       std::uint32_t Max);

  /// Reads a whole number followed by a percent sign.
  std::uint32_t percent(const std::string &Section, const std::string &Key,
                        std::uint32_t Default);

  /// Reads a duration above 0 as parseDuration() does.
  Duration duration(const std::string &Section, const std::string &Key,
                    Duration Default);

  /// Reads a size above 0 with a unit and returns it in bytes, rounded down.
  std::uint64_t size(const std::string &Section, const std::string &Key,
                     std::uint64_t Default);

  /// Reads a number of megabytes from \p Min to \p Max without a unit and
  /// returns it in bytes, rounded down.
  std::uint64_t megabytes(const std::string &Section, const std::string &Key,
                          std::uint64_t DefaultBytes, std::uint32_t Min,
                          std::uint32_t Max);

  /// Reads one of the values \p Allowed.
  std::string choice(const std::string &Section, const std::string &Key,
                     const std::string &Default,
                     const std::set<std::string> &Allowed);

  /// Adds a problem with the value of \p Key.
  void addProblem(const std::string &Section, const std::string &Key,
                  ResultCode Code, const std::string &Detail);

  /// Throws SettingsError with all problems, sorted by line, if there are any.
  void finish();

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Returns whether \p Text is a name of 1 to 63 letters, digits, '-' and '.'.
bool isName(const std::string &Text);

/// Returns whether \p Text is an IPv4 address and a port, IP:PORT.
bool isAddress(const std::string &Text);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_SETTINGS_INIREADER_H
