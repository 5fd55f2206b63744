#include "LibGateway/RateLimit.h"

#include <gtest/gtest.h>
#include <random>
#include <vector>

namespace latchslip {

namespace {

constexpr Instant kNow = seconds(100);

TEST(RateLimit, LimitIsAdvertised_HoldsUntilALaterRequestIsAnsweredWithoutIt)
{
  RateLimit limit;
  EXPECT_FALSE(limit.OnAdvertised(kNow, kNow, kNoRateLimit, 1));
  EXPECT_TRUE(limit.OnAdvertised(kNow, kNow - milliseconds(90), 8.7, 1));
  EXPECT_FALSE(limit.OnAdvertised(kNow + milliseconds(50), kNow, 4, 1));
  EXPECT_EQ(limit.Rate(), 4);
  EXPECT_TRUE(
    limit.OnAdvertised(kNow + milliseconds(200), kNow + milliseconds(60), kNoRateLimit, 1));
  EXPECT_FALSE(limit.IsAdvertised());
}

// Guards against an answer on a slower connection that was written before the limit began.
TEST(RateLimit, AnswerToAnEarlierRequestHasNone_LimitStays)
{
  RateLimit limit;
  limit.OnAdvertised(kNow, kNow - milliseconds(90), 8.7, 1);
  EXPECT_FALSE(
    limit.OnAdvertised(kNow + milliseconds(5), kNow - milliseconds(80), kNoRateLimit, 1));
  EXPECT_EQ(limit.Rate(), 8.7);
}

TEST(RateLimit, NoneIsAdvertised_NothingIsLimited)
{
  RateLimit limit;
  limit.OnSent(kNow);
  EXPECT_TRUE(limit.HasCapacity(kNow));
  EXPECT_EQ(limit.RemainingWait(kNow, 1000), Duration(0));
}

TEST(RateLimit, ShareIsUsed_NextTokensAccrueOneAfterAnother)
{
  RateLimit limit;
  limit.OnAdvertised(kNow, kNow, 8, 0.25);
  EXPECT_FALSE(limit.HasCapacity(kNow));
  EXPECT_FALSE(limit.HasCapacity(kNow + milliseconds(490)));
  EXPECT_TRUE(limit.HasCapacity(kNow + milliseconds(510)));
  EXPECT_NEAR(ToSeconds(limit.RemainingWait(kNow, 0)), 0.5, 0.001);
  EXPECT_NEAR(ToSeconds(limit.RemainingWait(kNow, 3)), 2, 0.001);
}

// Guards against sends that other instances made without a permit and that are not counted.
TEST(RateLimit, MoreIsSentThanAllowed_LaterSendsAreDelayed)
{
  RateLimit limit;
  limit.OnAdvertised(kNow, kNow, 10, 1);
  for (int index = 0; index < 3; ++index) {
    limit.OnSent(kNow);
  }
  EXPECT_FALSE(limit.HasCapacity(kNow + milliseconds(390)));
  EXPECT_TRUE(limit.HasCapacity(kNow + milliseconds(410)));
}

// Guards against a limit whose end is never observed, because nothing is sent any more.
TEST(RateLimit, RateIsZero_OneRequestIsSentOccasionally)
{
  RateLimit limit;
  limit.OnAdvertised(kNow, kNow, 0, 1);
  EXPECT_FALSE(limit.HasCapacity(kNow + seconds(5)));
  EXPECT_TRUE(limit.HasCapacity(kNow + seconds(11)));
}

// Far more requests than a server accepts are sent by many instances, each of which has its share
// of the rate.
TEST(RateLimit, ManyInstancesUseTheirShares_ServerGetsItsRate)
{
  constexpr std::size_t kInstances = 74;
  constexpr double kRate = 8.7;
  constexpr Duration kTime = seconds(60);
  std::vector<RateLimit> limits(kInstances);
  std::minstd_rand random(1);
  std::uniform_int_distribution<int> draw(0, 5000);
  for (auto& limit : limits) {
    // Each instance reads the limit from an answer to one of its own requests.
    const auto advertisedAt = kNow + milliseconds(draw(random));
    limit.OnAdvertised(advertisedAt, advertisedAt, kRate, 1.0 / kInstances);
  }
  double sent = 0;
  for (auto now = kNow + seconds(10); now < kNow + seconds(10) + kTime; now += milliseconds(10)) {
    for (auto& limit : limits) {
      if (limit.HasCapacity(now)) {
        limit.OnSent(now);
        ++sent;
      }
    }
  }
  EXPECT_NEAR(sent / ToSeconds(kTime), kRate, kRate / 8);
}

} // namespace

} // namespace latchslip
