#ifndef CYCLAMENWALK_PROCESS_SETTINGSFILE_H
#define CYCLAMENWALK_PROCESS_SETTINGSFILE_H

#include "reload/isettingsfile.h"

namespace cyclamenwalk {

/// The settings file on the local disk. Reads regular files of at most 1 MB, so
/// that no call blocks for long.
class SettingsFile final : public ISettingsFile {
public:
  explicit SettingsFile(std::string Path) : m_Path(std::move(Path)) {}

  std::optional<FileStamp> stamp() const override;
  std::optional<std::string> read() const override;
  const std::string &path() const override { return m_Path; }

private:
  const std::string m_Path;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_PROCESS_SETTINGSFILE_H
