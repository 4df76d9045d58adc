#include "core/types/decimal.h"

#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck.h>

using namespace cyclamenwalk;

namespace {

constexpr std::int64_t MaxNumber = std::numeric_limits<std::int64_t>::max();

struct DecimalCase {
  std::string m_Text;
  std::string m_Digits;
  int m_Exponent;
};

std::string repeat(char Letter, std::size_t Count) {
  return std::string(Count, Letter);
}

} // namespace

TEST(Decimal, readsNumbersExactly) {
  for (const DecimalCase &Each : std::vector<DecimalCase>{
           {"0", "", 0},
           {"0.000", "", 0},
           {"0e999", "", 0},
           {"6", "6", 0},
           {"6.0", "6", 0},
           {"6.", "6", 0},
           {".5", "5", -1},
           {"4.5", "45", -1},
           {"007.50", "75", -1},
           {"1300.0", "13", 2},
           {"1e3", "1", 3},
           {"1.25E+2", "125", 0},
           {"25e-1", "25", -1},
           {repeat('9', MaxDecimalLength), repeat('9', MaxDecimalLength), 0}}) {
    auto Number = parseDecimal(Each.m_Text);
    ASSERT_TRUE(Number) << Each.m_Text;
    EXPECT_EQ(Number->m_Digits, Each.m_Digits) << Each.m_Text;
    EXPECT_EQ(Number->m_Exponent, Each.m_Exponent) << Each.m_Text;
  }
}

TEST(Decimal, refusesWhatIsNoPlainNumber) {
  for (const std::string &Text :
       {std::string(""), std::string("."), std::string("-1"), std::string("+1"),
        std::string(" 1"), std::string("1 "), std::string("4,5"),
        std::string("1.2.3"), std::string("1e"), std::string("e3"),
        std::string("1e1000"), std::string("inf"), std::string("nan"),
        std::string("0x10"), std::string("1_000"), std::string("1\0", 2),
        repeat('1', MaxDecimalLength + 1)})
    EXPECT_FALSE(parseDecimal(Text)) << Text;
}

TEST(Decimal, leavesWhatFollowsTheNumber) {
  EXPECT_EQ(parseDecimalPrefix("4.5s")->m_Rest, "s");
  EXPECT_EQ(parseDecimalPrefix("1e3ms")->m_Rest, "ms");
  EXPECT_EQ(parseDecimalPrefix("1e ms")->m_Rest, "e ms");
  EXPECT_EQ(parseDecimalPrefix("1.5.s")->m_Rest, ".s");
  EXPECT_FALSE(parseDecimalPrefix("s"));
}

TEST(Decimal, productsAreRoundedDownAndBounded) {
  auto Product = [](const char *Text, std::int64_t Factor) {
    return floorOfProduct(*parseDecimal(Text), Factor);
  };
  EXPECT_EQ(Product("4.5", 1000), 4500);
  EXPECT_EQ(Product("0.29", 100), 29);
  EXPECT_EQ(Product("0.0019", 1000), 1);
  EXPECT_EQ(Product("0.9999999999", 1000), 999);
  EXPECT_EQ(Product("1e-999", MaxNumber), 0);
  EXPECT_EQ(Product("1e999", 0), 0);
  EXPECT_EQ(Product("1e999", 1), std::nullopt);
  EXPECT_EQ(Product("9223372036854775807", 1), MaxNumber);
  EXPECT_EQ(Product("9223372036854775808", 1), std::nullopt);
  EXPECT_EQ(Product("0.1", MaxNumber), MaxNumber / 10);
  EXPECT_EQ(toWhole(*parseDecimal("8192.0")), 8192);
  EXPECT_EQ(toWhole(*parseDecimal("8192.5")), std::nullopt);
}

TEST(Decimal, closestDoubleOrNothing) {
  EXPECT_EQ(toDouble(*parseDecimal("1.5")), 1.5);
  EXPECT_EQ(toDouble(*parseDecimal("0.1")), 0.1);
  EXPECT_EQ(toDouble(*parseDecimal("0")), 0.0);
  EXPECT_EQ(toDouble(*parseDecimal("1e400")), std::nullopt);
}

TEST(Decimal, readsBackAnyThousandths) {
  EXPECT_TRUE(rc::check("a number printed in thousandths is read back", [] {
    auto Count = *rc::gen::inRange<std::int64_t>(0, MaxNumber / 1000);
    auto Thousandths = *rc::gen::inRange(0, 1000);
    std::string Fraction = std::to_string(1000 + Thousandths).substr(1);
    auto Number = parseDecimal(std::to_string(Count) + "." + Fraction);
    RC_ASSERT(Number.has_value());
    RC_ASSERT(floorOfProduct(*Number, 1000) == Count * 1000 + Thousandths);
    RC_ASSERT(floorOfProduct(*Number, 1) == Count);
  }));
}

TEST(Decimal, anyTextIsReadOrRefused) {
  EXPECT_TRUE(rc::check("any text is read or refused", [] {
    auto Text = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("0123456789.eE+-ms \xff")));
    auto Prefix = parseDecimalPrefix(Text);
    if (!Prefix)
      return;
    floorOfProduct(Prefix->m_Number, MaxNumber);
    toDouble(Prefix->m_Number);
    RC_ASSERT(Prefix->m_Rest.size() < Text.size());
  }));
}
