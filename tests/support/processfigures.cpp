#include "support/processfigures.h"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace cyclamenwalk {

namespace {

std::string folder(pid_t Process) { return "/proc/" + std::to_string(Process); }

} // namespace

ProcessFigures readProcessFigures(pid_t Process) {
  ProcessFigures Figures;
  std::ifstream Status(folder(Process) + "/status");
  std::string Line;
  while (std::getline(Status, Line)) {
    auto Read = [&Line](const std::string &Key, std::size_t &Value) {
      if (Line.rfind(Key, 0) == 0)
        Value = std::stoul(Line.substr(Key.size()));
    };
    Read("VmRSS:", Figures.m_ResidentKb);
    Read("VmHWM:", Figures.m_PeakResidentKb);
    Read("Threads:", Figures.m_Threads);
  }
  std::error_code Failure;
  std::filesystem::directory_iterator Descriptors(folder(Process) + "/fd",
                                                  Failure);
  if (!Failure)
    Figures.m_Descriptors = std::distance(begin(Descriptors), end(Descriptors));
  return Figures;
}

} // namespace cyclamenwalk
