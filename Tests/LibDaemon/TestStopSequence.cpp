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
  EXPECT_FALSE(stop.IsOver(kBegin, kGrace, true));
}

TEST_F(BegunStop, JustBegun_ClientsAreServedAsBefore)
{
  EXPECT_TRUE(stop_.HasBegun());
  EXPECT_EQ(stop_.StageAt(kBegin), StopStage::Unnoticed);
  EXPECT_EQ(stop_.StageAt(kBegin + milliseconds(1199)), StopStage::Unnoticed);
}

TEST_F(BegunStop, FirstRefusalToBalancer_ClientsAreTold)
{
  EXPECT_EQ(stop_.StageAt(kBegin + milliseconds(1200)), StopStage::TellingClients);
  EXPECT_EQ(stop_.StageAt(kBegin + milliseconds(2599)), StopStage::TellingClients);
}

TEST_F(BegunStop, BalancerHasNoticed_Closes)
{
  EXPECT_EQ(stop_.StageAt(kBegin + milliseconds(2600)), StopStage::Closing);
  EXPECT_EQ(stop_.StageAt(kBegin + kGrace), StopStage::Closing);
}

TEST_F(BegunStop, QuietBeforeClosing_GoesOn)
{
  EXPECT_FALSE(stop_.IsOver(kBegin + milliseconds(2599), kGrace, true));
}

TEST_F(BegunStop, QuietWhileClosing_IsOver)
{
  EXPECT_TRUE(stop_.IsOver(kBegin + milliseconds(2600), kGrace, true));
}

TEST_F(BegunStop, RequestsUnderWay_IsOverShortlyBeforeGrace)
{
  EXPECT_FALSE(stop_.IsOver(kBegin + milliseconds(5599), kGrace, false));
  EXPECT_TRUE(stop_.IsOver(kBegin + milliseconds(5600), kGrace, false));
}

TEST_F(BegunStop, ShortGrace_ClientsAreToldFirst)
{
  EXPECT_FALSE(stop_.IsOver(kBegin + milliseconds(1199), seconds(1), true));
  EXPECT_TRUE(stop_.IsOver(kBegin + milliseconds(1200), seconds(1), true));
}

TEST_F(BegunStop, BegunAgain_TimeRunsOn)
{
  stop_.Begin(kBegin + seconds(3));
  EXPECT_EQ(stop_.StageAt(kBegin + seconds(3)), StopStage::Closing);
}

} // namespace

} // namespace latchslip
