#ifndef CYCLAMENWALK_CORE_ERROR_H
#define CYCLAMENWALK_CORE_ERROR_H

#include "core/types/resultcode.h"

#include <stdexcept>
#include <string>

namespace cyclamenwalk {

/// An exception with a result code and a detail message.
class Error : public std::runtime_error {
public:
  Error(ResultCode Code, const std::string &Detail);

  ResultCode code() const { return m_Code; }

private:
  ResultCode m_Code;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_ERROR_H
