#include "LibGateway/RetryBudget.h"

#include <deque>
#include <gtest/gtest.h>

namespace latchslip {

namespace {

constexpr std::size_t kInstances = 20;

class BudgetOfAFifth : public testing::Test
{
protected:
  RetryBudget budget_{ { 0.2, 0, seconds(10) } };
};

TEST_F(BudgetOfAFifth, NoRequests_NothingIsAllowed)
{
  EXPECT_FALSE(budget_.TryTake(seconds(50), kInstances));
}

TEST_F(BudgetOfAFifth, EverythingFails_NoWindowHasMoreThanTheRatio)
{
  std::deque<Instant> requests;
  std::deque<Instant> retries;
  std::size_t taken = 0;
  for (Instant now = seconds(100); now < seconds(160); now += milliseconds(10)) {
    budget_.OnRequest(now);
    requests.push_back(now);
    if (budget_.TryTake(now, kInstances)) {
      retries.push_back(now);
      ++taken;
    }
    while (now - requests.front() >= seconds(10)) {
      requests.pop_front();
    }
    while (!retries.empty() && now - retries.front() >= seconds(10)) {
      retries.pop_front();
    }
    ASSERT_LE(static_cast<double>(retries.size()), 0.2 * static_cast<double>(requests.size()));
  }
  // Guards against a budget that allows too little.
  EXPECT_GT(taken, 6000 * 0.1);
}

TEST_F(BudgetOfAFifth, RequestsStop_OldOnesEarnNothing)
{
  for (int index = 0; index < 1000; ++index) {
    budget_.OnRequest(seconds(100));
  }
  EXPECT_TRUE(budget_.TryTake(seconds(101), kInstances));
  EXPECT_FALSE(budget_.TryTake(seconds(120), kInstances));
}

TEST(RetryBudget, ExtraIsShared_AllInstancesTogetherStayBelowIt)
{
  std::size_t taken = 0;
  for (std::size_t instance = 0; instance < kInstances; ++instance) {
    RetryBudget budget({ 0.2, 62, seconds(10) });
    while (budget.TryTake(seconds(100), kInstances)) {
      ++taken;
    }
  }
  EXPECT_LE(taken, 62U);
  EXPECT_GE(taken, kInstances);
}

} // namespace

} // namespace latchslip
