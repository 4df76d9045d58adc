#ifndef CYCLAMENWALK_CORE_ERROR_H
#define CYCLAMENWALK_CORE_ERROR_H

#include "core/types/resultcode.h"

#include <stdexcept>
#include <string>

namespace cyclamenwalk {

/// The exception of this project: a numbered result and what it is about.
class Error : public std::runtime_error {
public:
  Error(ResultCode Code, const std::string &Detail);

  ResultCode code() const { return m_Code; }

private:
  ResultCode m_Code;
};

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_ERROR_H
