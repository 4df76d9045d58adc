#ifndef CYCLAMENWALK_CORE_TYPES_RESULTCODE_H
#define CYCLAMENWALK_CORE_TYPES_RESULTCODE_H

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenwalk {

/// What is known about the execution of a request that got a result code.
enum class Outcome {
  NotApplicable,
  Succeeded,
  DidNotRun,
  OutcomeUnknown,
  Failed
};

/// Numbered results; docs/ERRORS.md is printed from the same table.
enum class ResultCode : int {
#define CW_RESULT(NAME, NUMBER, HTTP, OUTCOME, TEXT) NAME = NUMBER,
#include "core/types/resultcodes.def"
#undef CW_RESULT
};

/// One row of the table of result codes.
struct ResultCodeInfo {
  ResultCode m_Code;
  std::string_view m_Name;
  int m_HttpStatus;
  Outcome m_Outcome;
  std::string_view m_Text;
};

/// All result codes in ascending order.
const std::vector<ResultCodeInfo> &resultCodes();

/// The row of \p Code; throws std::out_of_range for an unknown number.
const ResultCodeInfo &describe(ResultCode Code);

/// The result code with \p Number, or Internal when there is none.
ResultCode toResultCode(int Number);

Outcome outcomeOf(ResultCode Code);

/// The outcome as used in problem details: "did not run" and so on.
std::string_view toString(Outcome Value);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TYPES_RESULTCODE_H
