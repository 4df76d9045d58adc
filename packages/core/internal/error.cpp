#include "core/error.h"

namespace cyclamenwalk {

Error::Error(ResultCode Code, const std::string &Detail)
    : std::runtime_error(Detail), m_Code(Code) {}

} // namespace cyclamenwalk
