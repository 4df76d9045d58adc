#ifndef CYCLAMENWALK_TESTS_SUPPORT_CHILDPROCESS_H
#define CYCLAMENWALK_TESTS_SUPPORT_CHILDPROCESS_H

#include "core/types/time.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace cyclamenwalk {

/// A process that a test started. It is killed if the test leaves it running.
class ChildProcess {
public:
  /// Starts a program with its output in \p LogFile.
  ChildProcess(const std::vector<std::string> &Command,
               const std::string &LogFile);
  ~ChildProcess();

  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  void signal(int Number) const;

  /// Waits for the end; the exit status, 128 more than the signal, or -1 when
  /// it does not end within \p Limit.
  int wait(Duration Limit);

private:
  pid_t m_Id = -1;
  int m_Status = -1;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SUPPORT_CHILDPROCESS_H
