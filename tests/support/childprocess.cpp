#include "support/childprocess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace cyclamenwalk {

namespace {

constexpr int SignalBase = 128;
constexpr Duration WaitStep = milliseconds(20);

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string> &Command,
                           const std::string &LogFile) {
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Word : Command)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  int Result = posix_spawn(&m_Id, Arguments[0], &Actions, nullptr,
                           Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Result != 0)
    throw std::runtime_error("cannot start " + Command[0]);
}

ChildProcess::~ChildProcess() {
  if (m_Id < 0)
    return;
  kill(m_Id, SIGKILL);
  waitpid(m_Id, nullptr, 0);
}

void ChildProcess::signal(int Number) const {
  if (m_Id > 0)
    kill(m_Id, Number);
}

int ChildProcess::wait(Duration Limit) {
  TimePoint End = Clock::now() + Limit;
  while (m_Id > 0) {
    int Status = 0;
    if (waitpid(m_Id, &Status, WNOHANG) == m_Id) {
      m_Id = -1;
      m_Status = WIFEXITED(Status) ? WEXITSTATUS(Status)
                                   : SignalBase + WTERMSIG(Status);
    } else if (Clock::now() >= End) {
      return -1;
    } else {
      std::this_thread::sleep_for(WaitStep);
    }
  }
  return m_Status;
}

} // namespace cyclamenwalk
