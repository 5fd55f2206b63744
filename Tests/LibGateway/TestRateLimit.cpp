#include "LibGateway/RateLimit.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

constexpr Instant kNow = seconds(100);

TEST(RateLimit, AnswersNameIt_HoldsUntilALaterRequestIsAnsweredWithoutIt)
{
  RateLimit limit;
  EXPECT_FALSE(limit.OnTold(kNow, kNow, kNoRateLimit));
  EXPECT_TRUE(limit.OnTold(kNow, kNow - milliseconds(90), 8.7));
  EXPECT_FALSE(limit.OnTold(kNow + milliseconds(50), kNow, 4));
  EXPECT_EQ(limit.Rate(), 4);
  EXPECT_TRUE(limit.OnTold(kNow + milliseconds(200), kNow + milliseconds(60), kNoRateLimit));
  EXPECT_FALSE(limit.IsNamed());
}

// Guards against an answer on a slower way that was written before the limit began.
TEST(RateLimit, AnswerToAnEarlierRequestNamesNone_TheLimitStays)
{
  RateLimit limit;
  limit.OnTold(kNow, kNow - milliseconds(90), 8.7);
  EXPECT_FALSE(limit.OnTold(kNow + milliseconds(5), kNow - milliseconds(80), kNoRateLimit));
  EXPECT_EQ(limit.Rate(), 8.7);
}

} // namespace

} // namespace latchslip
