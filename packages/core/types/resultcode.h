#ifndef CYCLAMENWALK_CORE_TYPES_RESULTCODE_H
#define CYCLAMENWALK_CORE_TYPES_RESULTCODE_H

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenwalk {

/// What a result code says about the execution of the request.
enum class Outcome {
  NotApplicable,
  Succeeded,
  DidNotRun,
  OutcomeUnknown,
  Failed
};

/// Numbered results. docs/ERRORS.md is generated from the same table.
enum class ResultCode : int {
#define CW_RESULT(NAME, NUMBER, HTTP, OUTCOME, TEXT) NAME = NUMBER,
#include "core/types/resultcodes.def"
#undef CW_RESULT
};

/// A row of resultcodes.def.
struct ResultCodeInfo {
  ResultCode m_Code;
  std::string_view m_Name;
  int m_HttpStatus;
  Outcome m_Outcome;
  std::string_view m_Text;
};

/// All result codes in ascending order.
const std::vector<ResultCodeInfo> &resultCodes();

/// Returns the table row of \p Code; throws std::out_of_range when there is
/// none.
const ResultCodeInfo &describe(ResultCode Code);

/// Returns the result code with \p Number, or Internal when there is none.
ResultCode toResultCode(int Number);

Outcome outcomeOf(ResultCode Code);

/// Returns the outcome as written in problem details, such as "did not run".
std::string_view toString(Outcome Value);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TYPES_RESULTCODE_H
