#ifndef CYCLAMENWALK_STANDINS_BACKEND_RUNLOG_H
#define CYCLAMENWALK_STANDINS_BACKEND_RUNLOG_H

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace cyclamenwalk {

/// Writes a line for each start and end of a task, for the checker.
class RunLog {
public:
  /// Lines go to \p File, or nowhere when it is empty.
  RunLog(const std::string &File, std::string Run);

  /// \p Reference is what the caller called its request, or "-".
  void noteStart(const std::string &Task, const std::string &Reference);
  void noteEnd(const std::string &Task, const std::string &Reference,
               const std::string &How);

  std::uint64_t starts() const { return m_Starts; }

private:
  void write(const std::string &What, const std::string &Task,
             const std::string &Reference);

  std::mutex m_Mutex;
  std::ofstream m_Stream;
  const std::string m_Run;
  std::uint64_t m_Starts = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STANDINS_BACKEND_RUNLOG_H
