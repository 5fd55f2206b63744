#include "LibGateway/RefusalStreak.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

TEST(RefusalStreak, FirstRefusal_HasJustBegun)
{
  RefusalStreak spell;
  EXPECT_EQ(spell.OnRefusal(seconds(100)), Duration(0));
}

TEST(RefusalStreak, RefusalsFollowEachOther_LastsSinceTheFirst)
{
  RefusalStreak spell;
  Duration lasting{ 0 };
  for (Instant now = seconds(100); now <= seconds(102); now += milliseconds(400)) {
    lasting = spell.OnRefusal(now);
  }
  EXPECT_EQ(lasting, seconds(2));
}

TEST(RefusalStreak, NoneWasRefusedForAWhile_BeginsAnew)
{
  RefusalStreak spell;
  spell.OnRefusal(seconds(100));
  spell.OnRefusal(seconds(100) + milliseconds(300));
  EXPECT_EQ(spell.OnRefusal(seconds(101)), Duration(0));
}

} // namespace

} // namespace latchslip
