#include "LibKeys/HoldBounds.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

TEST(HoldBounds, ServerWithoutAny_HasNone)
{
  EXPECT_EQ(HoldBounds().Of("s1"), Instant::min());
}

TEST(HoldBounds, SeveralBounds_TheLatestHolds)
{
  HoldBounds holds;
  holds.Start({ { "s1", seconds(2) } });
  EXPECT_EQ(holds.Of("s1"), seconds(2));
  holds.SetFormer("s1", seconds(5));
  EXPECT_EQ(holds.Of("s1"), seconds(5));
  holds.Extend("s1", seconds(9));
  holds.Extend("s1", seconds(7));
  EXPECT_EQ(holds.Of("s1"), seconds(9));
  EXPECT_EQ(holds.Of("s2"), Instant::min());
}

TEST(HoldBounds, FormerPlacerStops_OnlyItsBoundsAreLimited)
{
  HoldBounds holds;
  holds.Start({ { "s2", seconds(8) } });
  holds.SetFormer("s1", seconds(9));
  holds.SetFormer("s3", seconds(1));
  holds.LimitFormer(seconds(4));
  EXPECT_EQ(holds.Of("s1"), seconds(4));
  EXPECT_EQ(holds.Of("s2"), seconds(8));
  EXPECT_EQ(holds.Of("s3"), seconds(1));
}

TEST(HoldBounds, FormerOrdersAreForgotten_OwnBoundsStay)
{
  HoldBounds holds;
  holds.Start({ { "s1", seconds(8) } });
  holds.SetFormer("s1", seconds(9));
  holds.Extend("s1", seconds(3));
  holds.ForgetFormer("s1");
  EXPECT_EQ(holds.Of("s1"), seconds(3));
}

TEST(HoldBounds, StartedAnew_HasNothingOfBefore)
{
  HoldBounds holds;
  holds.Extend("s1", seconds(3));
  holds.SetFormer("s2", seconds(3));
  holds.Start({});
  EXPECT_EQ(holds.Of("s1"), Instant::min());
  EXPECT_EQ(holds.Of("s2"), Instant::min());
}

} // namespace

} // namespace latchslip
