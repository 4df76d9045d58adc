#include "backend/runlog.h"

namespace cyclamenwalk {

RunLog::RunLog(const std::string &File, std::string Incarnation)
    : m_Incarnation(std::move(Incarnation)) {
  if (!File.empty())
    m_Stream.open(File, std::ios::app);
}

void RunLog::logStart(const std::string &Task, const std::string &Reference) {
  write("start", Task, Reference);
  ++m_Starts;
}

void RunLog::logEnd(const std::string &Task, const std::string &Reference,
                    const std::string &Outcome) {
  write(Outcome, Task, Reference);
}

void RunLog::write(const std::string &Event, const std::string &Task,
                   const std::string &Reference) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_Stream.is_open())
    m_Stream << Event << ' ' << Task << ' ' << m_Incarnation << ' ' << Reference
             << std::endl;
}

} // namespace cyclamenwalk
