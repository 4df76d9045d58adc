#include "core/types/durationtext.h"

#include <algorithm>
#include <array>

namespace cyclamenwalk {

namespace {

struct DurationUnit {
  std::string_view m_Name;
  Duration m_Length;
};

constexpr std::array<DurationUnit, 4> Units{{{"min", std::chrono::minutes(1)},
                                             {"s", seconds(1)},
                                             {"ms", milliseconds(1)},
                                             {"us", microseconds(1)}}};
/// The units in which each duration has an exact decimal number.
constexpr std::size_t FirstDecimalUnit = 1;

std::optional<Duration> multiply(const Decimal &Number, Duration Unit) {
  auto Count = floorOfProduct(Number, Unit.count());
  return Count ? std::optional(Duration(*Count)) : std::nullopt;
}

/// The digits after the point of \p Remainder / \p Unit, without zeros at the
/// end.
std::string formatFraction(Duration Remainder, Duration Unit) {
  std::string Digits;
  while (Remainder > Duration::zero()) {
    Unit /= 10;
    Digits += static_cast<char>('0' + Remainder / Unit);
    Remainder %= Unit;
  }
  return Digits;
}

} // namespace

std::optional<Duration> parseDuration(std::string_view Text) {
  auto Prefix = parseDecimalPrefix(Text);
  if (!Prefix)
    return std::nullopt;
  std::string_view Name = Prefix->m_Rest;
  Name.remove_prefix(std::min(Name.find_first_not_of(" \t"), Name.size()));
  auto Unit =
      std::find_if(Units.begin(), Units.end(), [&](const DurationUnit &Each) {
        return Each.m_Name == Name;
      });
  if (Unit == Units.end())
    return std::nullopt;
  return multiply(Prefix->m_Number, Unit->m_Length);
}

std::optional<Duration> parseMilliseconds(std::string_view Text) {
  auto Number = parseDecimal(Text);
  return Number ? multiply(*Number, milliseconds(1)) : std::nullopt;
}

std::string formatDuration(Duration Span) {
  auto Unit = std::find_if(
      Units.begin() + FirstDecimalUnit, Units.end() - 1,
      [&](const DurationUnit &Each) { return Span >= Each.m_Length; });
  std::string Text = std::to_string(Span / Unit->m_Length);
  std::string Fraction = formatFraction(Span % Unit->m_Length, Unit->m_Length);
  if (!Fraction.empty())
    Text += "." + Fraction;
  return Text.append(Unit->m_Name);
}

} // namespace cyclamenwalk
