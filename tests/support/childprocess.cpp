#include "support/childprocess.h"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace cyclamenwalk {

namespace {

constexpr int SignalStatusOffset = 128;
constexpr Duration PollPeriod = milliseconds(20);

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &Command,
                           const std::string &LogFile) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Argument : Command)
    Arguments.push_back(const_cast<char *>(Argument.c_str()));
  Arguments.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  int Result = posix_spawn(&m_ProcessId, Arguments[0], &Actions, nullptr,
                           Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Result != 0)
    throw std::runtime_error("cannot start " + Command[0] + ": " +
                             std::strerror(Result));
}

ChildProcess::~ChildProcess() {
  if (m_ProcessId < 0)
    return;
  kill(m_ProcessId, SIGKILL);
  waitpid(m_ProcessId, nullptr, 0);
}

void ChildProcess::signal(int Signal) const {
  if (m_ProcessId > 0)
    kill(m_ProcessId, Signal);
}

int ChildProcess::wait(Duration Timeout) {
  TimePoint End = Clock::now() + Timeout;
  while (m_ProcessId > 0) {
    int Status = 0;
    if (waitpid(m_ProcessId, &Status, WNOHANG) == m_ProcessId) {
      m_ProcessId = -1;
      m_ExitStatus = WIFEXITED(Status) ? WEXITSTATUS(Status)
                                       : SignalStatusOffset + WTERMSIG(Status);
    } else if (Clock::now() >= End) {
      return -1;
    } else {
      std::this_thread::sleep_for(PollPeriod);
    }
  }
  return m_ExitStatus;
}

} // namespace cyclamenwalk
