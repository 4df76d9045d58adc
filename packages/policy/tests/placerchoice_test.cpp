#include "policy/types/placerchoice.h"

#include <gtest/gtest.h>

using namespace cyclamenwalk;

namespace {

constexpr Incarnation Self{1};

PlacerView view(std::uint64_t Id, std::int64_t Free, bool SeesRack = false) {
  PlacerView View;
  View.m_Entry = {Id};
  View.m_IsSelf = View.m_Entry == Self;
  View.m_FreeMilliCores = Free;
  View.m_SeesRack = SeesRack;
  return View;
}

PlacerQuery query(std::int64_t MilliCores) {
  PlacerQuery Query;
  Query.m_MilliCores = MilliCores;
  Query.m_SecondRandom = 1;
  return Query;
}

} // namespace

TEST(PlacerChoice, prefersItselfWhileItHasRoom) {
  EXPECT_EQ(choosePlacer({view(1, 100), view(2, 900)}, query(100)), Self);
  EXPECT_EQ(choosePlacer({view(1, 99), view(2, 900)}, query(100)),
            Incarnation{2});
}

TEST(PlacerChoice, takesTheFreerOfTwo) {
  EXPECT_EQ(choosePlacer({view(2, 10), view(3, 20), view(4, 900)}, query(100)),
            Incarnation{3});
}

TEST(PlacerChoice, prefersTheRackOfTheDataEvenOverItself) {
  PlacerQuery Query = query(100);
  Query.m_NamesRack = true;
  EXPECT_EQ(choosePlacer({view(1, 900), view(2, 0, true)}, Query),
            Incarnation{2});
  EXPECT_EQ(choosePlacer({view(1, 900), view(2, 0)}, Query), Self);
}

TEST(PlacerChoice, offersARefusedJobOnlyWhereThereIsRoom) {
  PlacerQuery Query = query(100);
  Query.m_RequiresRoom = true;
  EXPECT_EQ(choosePlacer({view(2, 99), view(3, 100)}, Query), Incarnation{3});
  EXPECT_EQ(choosePlacer({view(2, 99)}, Query), std::nullopt);
  EXPECT_EQ(choosePlacer({}, query(1)), std::nullopt);
}

TEST(PlacerChoice, baselineKeepsTheJob) {
  EXPECT_EQ(choosePlacerLocally({view(2, 900), view(1, 0)}, query(100)), Self);
  EXPECT_EQ(choosePlacerLocally({view(2, 900)}, query(100)), std::nullopt);
}
