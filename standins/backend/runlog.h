#ifndef CYCLAMENWALK_STANDINS_BACKEND_RUNLOG_H
#define CYCLAMENWALK_STANDINS_BACKEND_RUNLOG_H

#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace cyclamenwalk {

/// Log of task starts and ends, one a line, read by the checker.
class RunLog {
public:
  /// Appends to \p File; writes nothing if it is empty. Each line contains
  /// \p Incarnation, which identifies the backend process.
  RunLog(const std::string &File, std::string Incarnation);

  /// \p Reference is the caller's reference for its request, or "-".
  void logStart(const std::string &Task, const std::string &Reference);
  void logEnd(const std::string &Task, const std::string &Reference,
              const std::string &Outcome);

  std::uint64_t starts() const { return m_Starts; }

private:
  void write(const std::string &Event, const std::string &Task,
             const std::string &Reference);

  std::mutex m_Mutex;
  std::ofstream m_Stream;
  const std::string m_Incarnation;
  std::uint64_t m_Starts = 0;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_STANDINS_BACKEND_RUNLOG_H
