#include "LibGateway/RefusalStreak.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

TEST(RefusalStreak, FirstRefusal_StreakStarts)
{
  RefusalStreak streak;
  EXPECT_EQ(streak.OnRefusal(seconds(100)), Duration(0));
}

TEST(RefusalStreak, RefusalsFollowEachOther_LastsSinceTheFirst)
{
  RefusalStreak streak;
  Duration lasting{ 0 };
  for (Instant now = seconds(100); now <= seconds(102); now += milliseconds(400)) {
    lasting = streak.OnRefusal(now);
  }
  EXPECT_EQ(lasting, seconds(2));
}

TEST(RefusalStreak, NoRefusalForAWhile_StreakStartsAgain)
{
  RefusalStreak streak;
  streak.OnRefusal(seconds(100));
  streak.OnRefusal(seconds(100) + milliseconds(300));
  EXPECT_EQ(streak.OnRefusal(seconds(101)), Duration(0));
}

} // namespace

} // namespace latchslip
