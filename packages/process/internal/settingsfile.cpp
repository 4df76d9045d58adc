#include "process/settingsfile.h"

#include <fstream>
#include <sstream>
#include <sys/stat.h>

namespace cyclamenwalk {

namespace {

constexpr std::uint64_t MaxFileSize = 1024ULL * 1024;

} // namespace

std::optional<FileStamp> SettingsFile::stamp() const {
  struct stat Status {};
  if (::stat(m_Path.c_str(), &Status) != 0 || !S_ISREG(Status.st_mode))
    return std::nullopt;
  Duration ModificationTime = seconds(Status.st_mtim.tv_sec) +
                              std::chrono::nanoseconds(Status.st_mtim.tv_nsec);
  return FileStamp{ModificationTime, static_cast<std::uint64_t>(Status.st_size),
                   Status.st_ino};
}

std::optional<std::string> SettingsFile::read() const {
  auto Stamp = stamp();
  if (!Stamp || Stamp->m_Size > MaxFileSize)
    return std::nullopt;
  std::ifstream Stream(m_Path);
  std::stringstream Text;
  Text << Stream.rdbuf();
  if (!Stream)
    return std::nullopt;
  return Text.str();
}

} // namespace cyclamenwalk
