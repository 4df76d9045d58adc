#ifndef CYCLAMENWALK_CORE_TYPES_DECIMAL_H
#define CYCLAMENWALK_CORE_TYPES_DECIMAL_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenwalk {

/// An exact number that is not negative: m_Digits times ten to the power of
/// m_Exponent.
struct Decimal {
  /// Begins and ends with another digit than 0; empty for zero.
  std::string m_Digits;
  int m_Exponent = 0;

  bool isWhole() const { return m_Exponent >= 0; }
};

/// The number at the start of a text and what follows it.
struct DecimalPrefix {
  Decimal m_Number;
  std::string_view m_Rest;
};

/// Longer numbers are refused.
inline constexpr std::size_t MaxDecimalLength = 64;

/// Reads the longest number at the start of \p Text: digits with at most one
/// point before, between or after them, and perhaps an exponent (1e3). The
/// locale has no influence. Nothing if there is no number at the start (a
/// sign, "inf", "nan"), or if it has more than MaxDecimalLength characters or
/// an exponent of more than three digits.
std::optional<DecimalPrefix> parseDecimalPrefix(std::string_view Text);

/// Reads \p Text as one number, with nothing before or after it.
std::optional<Decimal> parseDecimal(std::string_view Text);

/// The product rounded down to a whole number; nothing above INT64_MAX.
/// \p Factor must not be negative.
std::optional<std::int64_t> floorOfProduct(const Decimal &Number,
                                           std::int64_t Factor);

/// The number itself if it is whole and at most INT64_MAX.
std::optional<std::int64_t> toWhole(const Decimal &Number);

/// The closest floating-point number; nothing if its range is exceeded.
std::optional<double> toDouble(const Decimal &Number);

} // namespace cyclamenwalk

#endif // CYCLAMENWALK_CORE_TYPES_DECIMAL_H
