#include "core/types/decimal.h"

#include <algorithm>
#include <boost/multiprecision/cpp_int.hpp>
#include <charconv>
#include <cstdlib>
#include <limits>

namespace cyclamenwalk {

namespace {

using boost::multiprecision::cpp_int;

constexpr std::string_view DecimalDigits = "0123456789";
constexpr std::size_t MaxExponentDigits = 3;
/// More than the digits of INT64_MAX.
constexpr int MaxMagnitude = 20;

/// Takes the leading digits from \p Text.
std::string_view takeDigits(std::string_view &Text) {
  auto End = std::min(Text.find_first_not_of(DecimalDigits), Text.size());
  std::string_view Digits = Text.substr(0, End);
  Text.remove_prefix(End);
  return Digits;
}

/// Takes an exponent from the start of \p Text; zero without one, nothing if
/// it has too many digits.
std::optional<int> takeExponent(std::string_view &Text) {
  if (Text.empty() || (Text[0] != 'e' && Text[0] != 'E'))
    return 0;
  std::string_view Rest = Text.substr(1);
  bool HasSign = !Rest.empty() && (Rest[0] == '-' || Rest[0] == '+');
  bool IsNegative = HasSign && Rest[0] == '-';
  if (HasSign)
    Rest.remove_prefix(1);
  std::string_view Digits = takeDigits(Rest);
  if (Digits.empty())
    return 0;
  if (Digits.size() > MaxExponentDigits)
    return std::nullopt;
  int Exponent = 0;
  std::from_chars(Digits.data(), Digits.data() + Digits.size(), Exponent);
  Text = Rest;
  return IsNegative ? -Exponent : Exponent;
}

cpp_int powerOfTen(int Exponent) {
  cpp_int Power = 1;
  for (int I = 0; I < Exponent; ++I)
    Power *= 10;
  return Power;
}

Decimal normalized(std::string Digits, int Exponent) {
  auto First = Digits.find_first_not_of('0');
  if (First == std::string::npos)
    return {};
  Digits.erase(0, First);
  auto Last = Digits.find_last_not_of('0');
  Exponent += static_cast<int>(Digits.size() - 1 - Last);
  Digits.erase(Last + 1);
  return {std::move(Digits), Exponent};
}

} // namespace

std::optional<DecimalPrefix> parseDecimalPrefix(std::string_view Text) {
  std::string_view Rest = Text;
  std::string Digits(takeDigits(Rest));
  std::string_view Fraction;
  if (!Rest.empty() && Rest[0] == '.') {
    Rest.remove_prefix(1);
    Fraction = takeDigits(Rest);
  }
  Digits += Fraction;
  if (Digits.empty())
    return std::nullopt;
  auto Exponent = takeExponent(Rest);
  if (!Exponent || Text.size() - Rest.size() > MaxDecimalLength)
    return std::nullopt;
  return DecimalPrefix{
      normalized(std::move(Digits),
                 *Exponent - static_cast<int>(Fraction.size())),
      Rest};
}

std::optional<Decimal> parseDecimal(std::string_view Text) {
  auto Prefix = parseDecimalPrefix(Text);
  if (!Prefix || !Prefix->m_Rest.empty())
    return std::nullopt;
  return Prefix->m_Number;
}

std::optional<std::int64_t> floorOfProduct(const Decimal &Number,
                                           std::int64_t Factor) {
  int Magnitude = static_cast<int>(Number.m_Digits.size()) + Number.m_Exponent;
  if (Number.m_Digits.empty() || Factor == 0 || Magnitude < -MaxMagnitude)
    return 0;
  if (Magnitude > MaxMagnitude)
    return std::nullopt;
  cpp_int Scale = powerOfTen(std::abs(Number.m_Exponent));
  cpp_int Product = cpp_int(Number.m_Digits) * Factor;
  if (Number.isWhole())
    Product *= Scale;
  else
    Product /= Scale;
  if (Product > std::numeric_limits<std::int64_t>::max())
    return std::nullopt;
  return Product.convert_to<std::int64_t>();
}

std::optional<std::int64_t> toWhole(const Decimal &Number) {
  return Number.isWhole() ? floorOfProduct(Number, 1) : std::nullopt;
}

std::optional<double> toDouble(const Decimal &Number) {
  if (Number.m_Digits.empty())
    return 0;
  std::string Text = Number.m_Digits + "e" + std::to_string(Number.m_Exponent);
  double Value = 0;
  auto Result = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Result.ec != std::errc())
    return std::nullopt;
  return Value;
}

} // namespace cyclamenwalk
