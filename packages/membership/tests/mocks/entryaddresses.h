#ifndef CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_ENTRYADDRESSES_H
#define CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_ENTRYADDRESSES_H

#include "message/types/messages.h"

#include <string>

namespace cyclamenwalk {

/// The address of a test's entry, whose message address is \p Name with port 1.
inline EntryAddress address(const std::string &Name, std::uint64_t Number,
                            std::uint32_t ProcessorMilliCores = 0) {
  return {Name,     Incarnation{Number}, Name + ":1", Name + ":2",
          "domain", ProcessorMilliCores};
}

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_MEMBERSHIP_TESTS_MOCKS_ENTRYADDRESSES_H
