#include "LibFleet/ServerSpeeds.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

class ServerSpeedsTest : public testing::Test
{
protected:
  // Adds a report every 100 ms for aTime, each with aAnswers requests of that latency.
  void Report(Duration aTime, std::uint64_t aAnswers, Duration aLatency)
  {
    for (Duration past{ 0 }; past < aTime; past += milliseconds(100)) {
      now_ += milliseconds(100);
      speeds_.Add(now_, "s1", { aAnswers, aLatency * static_cast<Duration::rep>(aAnswers) });
    }
  }

  double ServiceMilliseconds(unsigned aSlots) const
  {
    constexpr double kMillisecond = 1000;
    return static_cast<double>(speeds_.ServiceTimeOf("s1", aSlots).value().count()) / kMillisecond;
  }

  Instant now_ = seconds(100);
  ServerSpeeds speeds_;
};

TEST_F(ServerSpeedsTest, FewAnswersAreKnown_NoEstimate)
{
  EXPECT_FALSE(speeds_.ServiceTimeOf("s1", 4));
  Report(milliseconds(100), 2, milliseconds(50));
  EXPECT_FALSE(speeds_.ServiceTimeOf("s1", 4));
}

TEST_F(ServerSpeedsTest, SlotsAreFree_LatencyIsServiceTime)
{
  Report(seconds(10), 2, milliseconds(50));
  EXPECT_NEAR(ServiceMilliseconds(4), 50, 1);
}

// Four slots that answer 40 requests a second spend 100 ms on each.
TEST_F(ServerSpeedsTest, RequestsWaitForSlots_WaitIsNotServiceTime)
{
  Report(seconds(20), 4, milliseconds(700));
  EXPECT_NEAR(ServiceMilliseconds(4), 100, 5);
}

TEST_F(ServerSpeedsTest, BecomesSlow_EstimateFollowsWithinTwoHalfLives)
{
  Report(seconds(10), 2, milliseconds(50));
  Report(seconds(4), 1, milliseconds(400));
  EXPECT_GT(ServiceMilliseconds(4), 150);
}

TEST_F(ServerSpeedsTest, StatesARateLimit_IsKeptUntilItStatesNoneOrSendsNoAnswers)
{
  EXPECT_EQ(speeds_.RateLimitOf(now_, "s1"), kNoRateLimit);
  speeds_.Add(now_, "s1", { 1, milliseconds(50), 8.7 });
  EXPECT_EQ(speeds_.RateLimitOf(now_ + seconds(14), "s1"), 8.7);
  EXPECT_EQ(speeds_.RateLimitOf(now_ + seconds(16), "s1"), kNoRateLimit);
  speeds_.Add(now_ + seconds(1), "s1", { 1, milliseconds(50) });
  EXPECT_EQ(speeds_.RateLimitOf(now_ + seconds(1), "s1"), kNoRateLimit);
}

TEST_F(ServerSpeedsTest, IsNoLongerListed_IsRemoved)
{
  Report(seconds(10), 2, milliseconds(50));
  speeds_.Keep([](const std::string& aServer) { return aServer != "s1"; });
  EXPECT_FALSE(speeds_.ServiceTimeOf("s1", 4));
}

} // namespace

} // namespace latchslip
