#include "LibKeys/LeaseBounds.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

constexpr KeySpan kKeys{ 100, 199 };

TEST(LeaseBounds, NoGrant_HasNoBound)
{
  EXPECT_EQ(LeaseBounds().LatestExpiry("s1", kKeys), Instant::min());
}

TEST(LeaseBounds, SeveralBounds_LatestApplies)
{
  LeaseBounds bounds;
  bounds.Start({ { "s1", seconds(2) } });
  EXPECT_EQ(bounds.LatestExpiry("s1", kKeys), seconds(2));
  bounds.SetFormer("s1", seconds(5));
  EXPECT_EQ(bounds.LatestExpiry("s1", kKeys), seconds(5));
  bounds.Extend(seconds(1), "s1", kKeys, seconds(9));
  bounds.Extend(seconds(1), "s1", kKeys, seconds(7));
  EXPECT_EQ(bounds.LatestExpiry("s1", kKeys), seconds(9));
  EXPECT_EQ(bounds.LatestExpiry("s2", kKeys), Instant::min());
}

TEST(LeaseBounds, FormerPlacerStops_OnlyItsBoundsAreLimited)
{
  LeaseBounds bounds;
  bounds.Start({ { "s2", seconds(8) } });
  bounds.SetFormer("s1", seconds(9));
  bounds.SetFormer("s3", seconds(1));
  bounds.LimitFormer(seconds(4));
  EXPECT_EQ(bounds.LatestExpiry("s1", kKeys), seconds(4));
  EXPECT_EQ(bounds.LatestExpiry("s2", kKeys), seconds(8));
  EXPECT_EQ(bounds.LatestExpiry("s3", kKeys), seconds(1));
}

TEST(LeaseBounds, FormerBoundsAreDropped_OwnBoundsRemain)
{
  LeaseBounds bounds;
  bounds.Start({ { "s1", seconds(8) } });
  bounds.SetFormer("s1", seconds(9));
  bounds.Extend(seconds(1), "s1", kKeys, seconds(3));
  bounds.DropFormer("s1");
  EXPECT_EQ(bounds.LatestExpiry("s1", kKeys), seconds(3));
}

TEST(LeaseBounds, OneGrantLastsLonger_OnlyItsKeysAreBound)
{
  LeaseBounds bounds;
  bounds.Extend(seconds(1), "s1", { 0, 99 }, seconds(5));
  bounds.Extend(seconds(1), "s1", { 100, 199 }, seconds(17));
  EXPECT_EQ(bounds.LatestExpiry("s1", { 0, 99 }), seconds(5));
  EXPECT_EQ(bounds.LatestExpiry("s1", { 199, 300 }), seconds(17));
  EXPECT_EQ(bounds.LatestExpiry("s1", { 50, 100 }), seconds(17));
  EXPECT_EQ(bounds.LatestExpiry("s1", { 200, 300 }), Instant::min());
}

TEST(LeaseBounds, RangeIsSplitAfterAGrant_EachPartIsBound)
{
  LeaseBounds bounds;
  bounds.Extend(seconds(1), "s1", { 0, 99 }, seconds(17));
  bounds.Extend(seconds(2), "s1", { 0, 49 }, seconds(7));
  EXPECT_EQ(bounds.LatestExpiry("s1", { 0, 49 }), seconds(17));
  EXPECT_EQ(bounds.LatestExpiry("s1", { 50, 99 }), seconds(17));
}

TEST(LeaseBounds, BoundsHaveExpired_AreDropped)
{
  LeaseBounds bounds;
  bounds.Extend(seconds(1), "s1", { 0, 99 }, seconds(5));
  bounds.Extend(seconds(6), "s1", { 100, 199 }, seconds(11));
  EXPECT_EQ(bounds.LatestExpiry("s1", { 0, 99 }), Instant::min());
}

TEST(LeaseBounds, StartedAgain_HasNoEarlierBounds)
{
  LeaseBounds bounds;
  bounds.Extend(seconds(1), "s1", kKeys, seconds(3));
  bounds.SetFormer("s2", seconds(3));
  bounds.Start({});
  EXPECT_EQ(bounds.LatestExpiry("s1", kKeys), Instant::min());
  EXPECT_EQ(bounds.LatestExpiry("s2", kKeys), Instant::min());
}

} // namespace

} // namespace latchslip
