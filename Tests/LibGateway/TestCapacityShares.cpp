#include "LibGateway/CapacityShares.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

// The share of one instance in a server with 4 slots and 100 ms of work.
class ShareOfAServer : public testing::Test
{
protected:
  static constexpr std::size_t kSlots = 4;

  // Number of sends within ten seconds, each as soon as it is allowed.
  std::size_t SendsInTenSeconds(std::size_t aInstances)
  {
    std::size_t sends = 0;
    for (const auto end = now_ + seconds(10); now_ < end; now_ += milliseconds(1)) {
      shares_.SetShare(now_, "s1", kSlots, milliseconds(100), aInstances);
      if (shares_.HasToken(now_, "s1")) {
        shares_.OnSent(now_, "s1");
        ++sends;
      }
    }
    return sends;
  }

  Instant now_ = seconds(100);
  CapacityShares shares_;
};

TEST_F(ShareOfAServer, NoShareIsSet_NothingIsLimited)
{
  EXPECT_TRUE(shares_.HasToken(now_, "s1"));
  EXPECT_EQ(shares_.RemainingWait(now_, "s1", 5), Duration(0));
}

// Guards against instances that send more together than the server can run.
TEST_F(ShareOfAServer, TenInstances_OneSendsATenthOfTheCapacity)
{
  // 40 requests a second for all, and the first token.
  EXPECT_NEAR(static_cast<double>(SendsInTenSeconds(10)), 41, 1);
}

TEST_F(ShareOfAServer, OneInstance_SendsAsMuchAsTheServerCanRun)
{
  EXPECT_NEAR(static_cast<double>(SendsInTenSeconds(1)), 404, 2);
}

TEST_F(ShareOfAServer, ThousandInstances_OneSendsOnceInTwoSeconds)
{
  EXPECT_EQ(SendsInTenSeconds(1000), 5U);
}

TEST_F(ShareOfAServer, TokenIsUsed_WaitEndsWithTheNextOne)
{
  shares_.SetShare(now_, "s1", kSlots, milliseconds(100), 10);
  shares_.OnSent(now_, "s1");
  const auto wait = shares_.RemainingWait(now_, "s1", 0);
  EXPECT_NEAR(ToSeconds(wait), 0.25, 0.001);
  EXPECT_FALSE(shares_.HasToken(now_, "s1"));
  EXPECT_TRUE(shares_.HasToken(now_ + wait, "s1"));
}

} // namespace

} // namespace latchslip
