#include "LibGateway/SlowStartLimiter.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace latchslip {

namespace {

constexpr Instant kNow = seconds(100);

TEST(SlowStartLimiter, ServerIsNotInSlowStart_NothingIsLimited)
{
  SlowStartLimiter share;
  EXPECT_TRUE(share.HasCapacity(kNow));
  share.OnSent(kNow);
  EXPECT_TRUE(share.HasCapacity(kNow));
}

TEST(SlowStartLimiter, TokenIsUsed_NextOneMustAccrue)
{
  SlowStartLimiter share;
  share.Begin(kNow, kNow + seconds(10), 0.5, 1);
  EXPECT_TRUE(share.HasCapacity(kNow));
  share.OnSent(kNow);
  EXPECT_FALSE(share.HasCapacity(kNow + milliseconds(1900)));
  EXPECT_TRUE(share.HasCapacity(kNow + milliseconds(2100)));
  EXPECT_TRUE(share.HasCapacity(kNow + seconds(10))) << "the slow start is over";
}

TEST(SlowStartLimiter, RestartedWhileActive_NoTokenIsAddedTwice)
{
  SlowStartLimiter share;
  share.Begin(kNow, kNow + seconds(10), 0.5, 1);
  share.OnSent(kNow);
  share.Begin(kNow + milliseconds(100), kNow + seconds(10), 0.5, 1);
  EXPECT_FALSE(share.HasCapacity(kNow + milliseconds(200)));
}

// Many instances without coordination send to a server in slow start, each with more requests
// than it may send. 74 instances, 5.8 requests per second and three seconds are those of a
// deployment of medium size; the server crashes at 16 requests in a second.
class LimitersOfManyInstances : public testing::TestWithParam<unsigned>
{};

TEST_P(LimitersOfManyInstances, AllUseTheirShares_NoSecondExceedsTheLimit)
{
  constexpr std::size_t kInstances = 74;
  constexpr double kRate = 5.8;
  constexpr std::size_t kMaxPerSecond = 16;
  std::minstd_rand random(GetParam());
  std::uniform_real_distribution<double> draw(0, 1);
  std::vector<SlowStartLimiter> shares(kInstances);
  for (auto& share : shares) {
    share.Begin(kNow, kNow + seconds(3), kRate / kInstances, draw(random));
  }
  std::vector<Instant> sends;
  for (auto now = kNow; now < kNow + seconds(3); now += milliseconds(1)) {
    for (auto& share : shares) {
      if (share.HasCapacity(now)) {
        share.OnSent(now);
        sends.push_back(now);
      }
    }
  }
  for (std::size_t first = 0; first + kMaxPerSecond < sends.size(); ++first) {
    EXPECT_GT(sends[first + kMaxPerSecond] - sends[first], seconds(1));
  }
  EXPECT_GT(sends.size(), 5U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LimitersOfManyInstances, testing::Range(1U, 21U));

} // namespace

} // namespace latchslip
