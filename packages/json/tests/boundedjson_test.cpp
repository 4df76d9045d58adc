#include "core/error.h"
#include "json/boundedjson.h"

#include <gtest/gtest.h>
#include <limits>
#include <rapidcheck.h>

using namespace cyclamenwalk;

namespace {

std::string nested(int Depth) {
  auto Length = static_cast<std::size_t>(Depth);
  return std::string(Length, '[') + std::string(Length, ']');
}

constexpr std::int64_t MaxNumber = std::numeric_limits<std::int64_t>::max();

} // namespace

TEST(BoundedJson, acceptsTheUsualAndRefusesDeepNesting) {
  EXPECT_EQ(parseJson(R"({"a":[1]})")["a"][0], 1);
  EXPECT_NO_THROW(parseJson(nested(MaxJsonDepth)));
  EXPECT_THROW(parseJson(nested(MaxJsonDepth + 2)), Error);
}

TEST(BoundedJson, refusesMegabytesOfBracketsEarly) {
  constexpr std::size_t Bytes = 3'000'000;
  EXPECT_THROW(parseJson(std::string(Bytes, '[')), Error);
  std::string Objects;
  while (Objects.size() < Bytes)
    Objects += R"({"a":)";
  EXPECT_THROW(parseJson(Objects), Error);
}

TEST(BoundedJson, convertsOnlyNumbersInRange) {
  EXPECT_EQ(toWholeNumber(parseJson("12.9"), 0, 100), 12);
  EXPECT_EQ(toWholeNumber(parseJson("1e300"), 0, MaxNumber), std::nullopt);
  EXPECT_EQ(toWholeNumber(parseJson("-1e300"), 0, MaxNumber), std::nullopt);
  EXPECT_EQ(toWholeNumber(parseJson("18446744073709551615"), 0, 1000),
            std::nullopt);
  EXPECT_EQ(toWholeNumber(parseJson("101"), 0, 100), std::nullopt);
  EXPECT_EQ(toWholeNumber(parseJson("\"7\""), 0, 100), std::nullopt);
}

TEST(BoundedJson, anyBytesParseOrThrowError) {
  rc::check([](const std::string &Bytes) {
    try {
      parseJson(Bytes);
    } catch (const Error &Caught) {
      RC_ASSERT(Caught.code() == ResultCode::MalformedBody);
    }
  });
}
