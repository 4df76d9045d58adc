#ifndef CYCLAMENWALK_TESTS_SUPPORT_PROCESSFIGURES_H
#define CYCLAMENWALK_TESTS_SUPPORT_PROCESSFIGURES_H

#include <cstddef>
#include <sys/types.h>

namespace cyclamenwalk {

/// What the kernel says about a process; all zero once it has ended.
struct ProcessFigures {
  std::size_t m_ResidentKb = 0;
  std::size_t m_PeakResidentKb = 0;
  std::size_t m_Threads = 0;
  std::size_t m_Descriptors = 0;
};

ProcessFigures readProcessFigures(pid_t Process);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_TESTS_SUPPORT_PROCESSFIGURES_H
