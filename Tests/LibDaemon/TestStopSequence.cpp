#include "LibDaemon/StopSequence.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

constexpr Instant kBegin = seconds(100);
constexpr Duration kGrace = seconds(6);

class BegunStop : public testing::Test
{
protected:
  BegunStop() { stop_.Begin(kBegin); }

  StopSequence stop_;
};

TEST(StopSequence, NotBegun_NothingIsDue)
{
  const StopSequence stop;
  EXPECT_FALSE(stop.HasBegun());
  EXPECT_EQ(stop.StageAt(kBegin), StopStage::None);
  EXPECT_FALSE(stop.IsComplete(kBegin, kGrace, true));
}

TEST_F(BegunStop, JustBegun_IsAwaitingBalancer)
{
  EXPECT_TRUE(stop_.HasBegun());
  EXPECT_EQ(stop_.StageAt(kBegin), StopStage::AwaitingBalancer);
  EXPECT_EQ(stop_.StageAt(kBegin + milliseconds(1199)), StopStage::AwaitingBalancer);
}

TEST_F(BegunStop, DrainDelayPassed_IsDraining)
{
  EXPECT_EQ(stop_.StageAt(kBegin + milliseconds(1200)), StopStage::Draining);
  EXPECT_EQ(stop_.StageAt(kBegin + milliseconds(2599)), StopStage::Draining);
}

TEST_F(BegunStop, CloseDelayPassed_IsClosing)
{
  EXPECT_EQ(stop_.StageAt(kBegin + milliseconds(2600)), StopStage::Closing);
  EXPECT_EQ(stop_.StageAt(kBegin + kGrace), StopStage::Closing);
}

TEST_F(BegunStop, IdleBeforeClosing_IsNotComplete)
{
  EXPECT_FALSE(stop_.IsComplete(kBegin + milliseconds(2599), kGrace, true));
}

TEST_F(BegunStop, IdleWhileClosing_IsComplete)
{
  EXPECT_TRUE(stop_.IsComplete(kBegin + milliseconds(2600), kGrace, true));
}

TEST_F(BegunStop, RequestsInFlight_IsCompleteShortlyBeforeGrace)
{
  EXPECT_FALSE(stop_.IsComplete(kBegin + milliseconds(5599), kGrace, false));
  EXPECT_TRUE(stop_.IsComplete(kBegin + milliseconds(5600), kGrace, false));
}

TEST_F(BegunStop, GraceIsGiven_EndIsShortlyBeforeIt)
{
  EXPECT_EQ(stop_.EndsBy(kGrace), kBegin + milliseconds(5600));
  EXPECT_EQ(StopSequence().EndsBy(kGrace), Instant::max());
}

TEST_F(BegunStop, ShortGrace_DrainsBeforeCompletion)
{
  EXPECT_FALSE(stop_.IsComplete(kBegin + milliseconds(1199), seconds(1), true));
  EXPECT_TRUE(stop_.IsComplete(kBegin + milliseconds(1200), seconds(1), true));
}

TEST_F(BegunStop, BegunAgain_KeepsFirstStartTime)
{
  stop_.Begin(kBegin + seconds(3));
  EXPECT_EQ(stop_.StageAt(kBegin + seconds(3)), StopStage::Closing);
}

} // namespace

} // namespace latchslip
