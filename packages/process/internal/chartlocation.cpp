#include "process/chartlocation.h"

#include <filesystem>

namespace cyclamenwalk {

std::string chartLocation(const std::string &Configured) {
  if (!Configured.empty())
    return Configured;
  auto Program = std::filesystem::read_symlink("/proc/self/exe");
  return Program.parent_path().parent_path() / "share/cyclamenwalk/charts";
}

} // namespace cyclamenwalk
