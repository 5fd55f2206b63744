#include "LibNet/CarriedRequests.h"

#include <gtest/gtest.h>
#include <string>

namespace latchslip {

namespace {

class RequestsOfAConnection : public testing::Test
{
protected:
  Instant now_ = seconds(100);
  CarriedRequests requests_;
};

TEST_F(RequestsOfAConnection, RequestWasCarried_IsContainedUntilItsTimeIsOver)
{
  requests_.Add(now_, "q1", now_ + milliseconds(500));
  EXPECT_TRUE(requests_.Contains(now_ + milliseconds(499), "q1"));
  EXPECT_FALSE(requests_.Contains(now_ + milliseconds(500), "q1"));
}

TEST_F(RequestsOfAConnection, OtherRequest_IsNotContained)
{
  requests_.Add(now_, "q1", now_ + seconds(1));
  EXPECT_FALSE(requests_.Contains(now_, "q2"));
  EXPECT_FALSE(requests_.Contains(now_, ""));
}

// Guards against a connection whose memory grows with the number of requests that it carries.
TEST_F(RequestsOfAConnection, CarriesManyRequests_RemembersOnlyThoseWithTimeLeft)
{
  constexpr Duration kInterval = milliseconds(20);
  constexpr Duration kTimeLimit = seconds(2);
  for (int number = 0; number < 10000; ++number) {
    now_ += kInterval;
    requests_.Add(now_, std::to_string(number), now_ + kTimeLimit);
  }
  EXPECT_LE(requests_.Size(), static_cast<std::size_t>(kTimeLimit / kInterval));
  EXPECT_TRUE(requests_.Contains(now_, "9999"));
  EXPECT_FALSE(requests_.Contains(now_, "0"));
}

} // namespace

} // namespace latchslip
