#ifndef CYCLAMENWALK_RELOAD_ISETTINGSFILE_H
#define CYCLAMENWALK_RELOAD_ISETTINGSFILE_H

#include "core/types/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cyclamenwalk {

/// Tells whether a file has been written or replaced.
struct FileStamp {
  /// Time since the epoch of the file system's clock.
  Duration m_ModificationTime{};
  std::uint64_t m_Size = 0;
  std::uint64_t m_Inode = 0;
  bool operator==(const FileStamp &) const = default;
};

/// The settings file of this process. The calls must be short, because they are
/// made on the control thread.
class ISettingsFile {
public:
  virtual ~ISettingsFile() = default;

  /// Returns nothing if there is no such file.
  virtual std::optional<FileStamp> stamp() const = 0;

  /// Returns nothing if the file cannot be read.
  virtual std::optional<std::string> read() const = 0;

  /// The path for log lines.
  virtual const std::string &path() const = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_RELOAD_ISETTINGSFILE_H
