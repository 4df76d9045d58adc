#ifndef CYCLAMENWALK_TESTS_SUPPORT_CHILDPROCESS_H
#define CYCLAMENWALK_TESTS_SUPPORT_CHILDPROCESS_H

#include "core/types/time.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace cyclamenwalk {

/// A child process of a test. The destructor kills it if it still runs.
class ChildProcess {
public:
  /// Starts a program; its output is appended to \p LogFile.
  ChildProcess(const std::vector<std::string> &Command,
               const std::string &LogFile);
  ~ChildProcess();

  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  void signal(int Signal) const;

  /// The process ID; -1 once the process has been waited for.
  pid_t id() const { return m_ProcessId; }

  /// Waits for the exit. Returns the exit status, 128 plus the number of the
  /// signal that ended the process, or -1 when \p Timeout expires.
  int wait(Duration Timeout);

private:
  pid_t m_ProcessId = -1;
  int m_ExitStatus = -1;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SUPPORT_CHILDPROCESS_H
