#include "backend/runlog.h"

namespace cyclamenwalk {

RunLog::RunLog(const std::string &File, std::string Run)
    : m_Run(std::move(Run)) {
  if (!File.empty())
    m_Stream.open(File, std::ios::app);
}

void RunLog::noteStart(const std::string &Task, const std::string &Reference) {
  write("start", Task, Reference);
  ++m_Starts;
}

void RunLog::noteEnd(const std::string &Task, const std::string &Reference,
                     const std::string &How) {
  write(How, Task, Reference);
}

void RunLog::write(const std::string &What, const std::string &Task,
                   const std::string &Reference) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_Stream.is_open())
    m_Stream << What << ' ' << Task << ' ' << m_Run << ' ' << Reference
             << std::endl;
}

} // namespace cyclamenwalk
