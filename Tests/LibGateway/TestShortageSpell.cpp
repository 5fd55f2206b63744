#include "LibGateway/ShortageSpell.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

TEST(ShortageSpell, FirstRefusal_HasJustBegun)
{
  ShortageSpell spell;
  EXPECT_EQ(spell.OnRefusal(seconds(100)), Duration(0));
}

TEST(ShortageSpell, RefusalsFollowEachOther_LastsSinceTheFirst)
{
  ShortageSpell spell;
  Duration lasting{ 0 };
  for (Instant now = seconds(100); now <= seconds(102); now += milliseconds(400)) {
    lasting = spell.OnRefusal(now);
  }
  EXPECT_EQ(lasting, seconds(2));
}

TEST(ShortageSpell, NoneWasRefusedForAWhile_BeginsAnew)
{
  ShortageSpell spell;
  spell.OnRefusal(seconds(100));
  spell.OnRefusal(seconds(100) + milliseconds(300));
  EXPECT_EQ(spell.OnRefusal(seconds(101)), Duration(0));
}

} // namespace

} // namespace latchslip
