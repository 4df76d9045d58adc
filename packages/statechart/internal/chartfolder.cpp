#include "statechart/chartfolder.h"

#include <filesystem>

namespace cyclamenwalk {

Chart ChartFolder::chart(const std::string &Name) const {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  auto It = m_Loaded.find(Name);
  if (It == m_Loaded.end())
    It = m_Loaded.emplace(Name, Chart::load(m_Path + "/" + Name + ".scxml"))
             .first;
  return It->second;
}

void ChartFolder::preload() const {
  for (const auto &File : std::filesystem::directory_iterator(m_Path))
    if (File.path().extension() == ".scxml")
      chart(File.path().stem().string());
}

} // namespace cyclamenwalk
