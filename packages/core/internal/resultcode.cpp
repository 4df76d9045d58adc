#include "core/types/resultcode.h"

#include <algorithm>
#include <stdexcept>

namespace cyclamenwalk {

const std::vector<ResultCodeInfo> &resultCodes() {
  static const std::vector<ResultCodeInfo> Table = {
#define CW_RESULT(NAME, NUMBER, HTTP, OUTCOME, TEXT)                           \
  {ResultCode::NAME, #NAME, HTTP, Outcome::OUTCOME, TEXT},
#include "core/types/resultcodes.def"
#undef CW_RESULT
  };
  return Table;
}

const ResultCodeInfo &describe(ResultCode Code) {
  const auto &Table = resultCodes();
  auto Row = std::lower_bound(Table.begin(), Table.end(), Code,
                              [](const ResultCodeInfo &Info, ResultCode Key) {
                                return Info.m_Code < Key;
                              });
  if (Row == Table.end() || Row->m_Code != Code)
    throw std::out_of_range("unknown result code " +
                            std::to_string(static_cast<int>(Code)));
  return *Row;
}

ResultCode toResultCode(int Number) {
  for (const ResultCodeInfo &Info : resultCodes())
    if (static_cast<int>(Info.m_Code) == Number)
      return Info.m_Code;
  return ResultCode::Internal;
}

Outcome outcomeOf(ResultCode Code) { return describe(Code).m_Outcome; }

std::string_view toString(Outcome Value) {
  switch (Value) {
  case Outcome::NotApplicable:
    return "not applicable";
  case Outcome::Succeeded:
    return "succeeded";
  case Outcome::DidNotRun:
    return "did not run";
  case Outcome::OutcomeUnknown:
    return "outcome unknown";
  case Outcome::Failed:
    return "failed";
  }
  return "not applicable";
}

} // namespace cyclamenwalk
