#include "LibGateway/MoveTimeEstimator.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

TEST(MoveTimeEstimator, MovesWereObserved_NextIsExpectedToTakeAsLong)
{
  MoveTimeEstimator times;
  for (int index = 0; index < 20; ++index) {
    times.OnMoved(milliseconds(100));
  }
  EXPECT_EQ(times.ExpectedRemaining(Duration(0)), milliseconds(100));
  EXPECT_EQ(times.ExpectedRemaining(milliseconds(30)), milliseconds(70));
}

TEST(MoveTimeEstimator, SomeMovesWaitedForASilentServer_MedianIsUnchanged)
{
  MoveTimeEstimator times;
  for (int index = 0; index < 20; ++index) {
    times.OnMoved(index % 3 == 0 ? seconds(5) : milliseconds(100));
  }
  EXPECT_EQ(times.ExpectedRemaining(Duration(0)), milliseconds(100));
}

TEST(MoveTimeEstimator, MoveLastsLongerThanUsual_IsExpectedToLastAsLongAgain)
{
  MoveTimeEstimator times;
  times.OnMoved(milliseconds(100));
  EXPECT_EQ(times.ExpectedRemaining(seconds(2)), seconds(2));
}

} // namespace

} // namespace latchslip
