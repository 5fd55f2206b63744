#include "LibNet/ByteBudget.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

constexpr std::size_t kSmall = ByteBudget::kAlwaysGranted;
constexpr std::size_t kLimit = 4 * kSmall;

class BudgetOfFourSmallShares : public testing::Test
{
protected:
  std::shared_ptr<ByteBudget> budget_ = std::make_shared<ByteBudget>(kLimit);
  ByteBudget::Share first_{ budget_ };
  ByteBudget::Share second_{ budget_ };
};

TEST_F(BudgetOfFourSmallShares, SharesFillIt_GrantsAll)
{
  EXPECT_TRUE(first_.TryResize(2 * kSmall));
  EXPECT_TRUE(second_.TryResize(2 * kSmall));
  EXPECT_EQ(budget_->Used(), kLimit);
}

TEST_F(BudgetOfFourSmallShares, LargeShareExceedsIt_IsDeniedAndKeepsWhatItHad)
{
  EXPECT_TRUE(first_.TryResize(2 * kSmall));
  EXPECT_TRUE(second_.TryResize(2 * kSmall));
  EXPECT_FALSE(second_.TryResize(2 * kSmall + 1));
  EXPECT_EQ(budget_->Used(), kLimit);
}

TEST_F(BudgetOfFourSmallShares, SmallShareExceedsIt_IsGranted)
{
  EXPECT_TRUE(first_.TryResize(kLimit));
  EXPECT_TRUE(second_.TryResize(kSmall));
  EXPECT_FALSE(second_.TryResize(kSmall + 1));
}

TEST_F(BudgetOfFourSmallShares, LargeShareIsReleased_GrantsAnother)
{
  EXPECT_TRUE(first_.TryResize(kLimit));
  first_.Release();
  EXPECT_TRUE(second_.TryResize(kLimit));
}

TEST_F(BudgetOfFourSmallShares, ShareIsDestroyed_ReturnsItsBytes)
{
  {
    ByteBudget::Share third(budget_);
    EXPECT_TRUE(third.TryResize(kLimit));
  }
  EXPECT_EQ(budget_->Used(), 0U);
}

} // namespace

} // namespace latchslip
