#include "LibDispatch/GrantManager.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

const std::vector<HashRange> kAll{ { 0, ~KeyHash{ 0 } } };
constexpr std::uint64_t kBoot = 5;

// A server whose clock has a fixed offset from that of the process that sends the commands.
class KeeperAndServer : public testing::Test
{
protected:
  KeeperAndServer()
    : keeper_("rates", "s1", true, GrantTiming{})
  {
    keeper_.SetDesiredRanges(3, 10, kAll, true);
  }

  GrantReply ReplyTo(const GrantCommand& aOrder) const
  {
    GrantReply reply;
    reply.accepted_ = true;
    reply.bootId_ = boot_;
    reply.clock_ = (now_ + kOffset).count();
    reply.fence_ = aOrder.fence_;
    reply.generation_ = aOrder.generation_;
    return reply;
  }

  // Advances time; the server answers each command after one millisecond.
  void Run(Duration aSpan, bool aAnswers)
  {
    const auto end = now_ + aSpan;
    while (now_ < end) {
      for (const auto& order : keeper_.Tick(now_)) {
        last_ = order;
        const auto sentAt = now_;
        now_ += milliseconds(1);
        if (aAnswers) {
          keeper_.OnReply(now_, sentAt, order, ReplyTo(order));
        }
      }
      now_ += milliseconds(5);
    }
  }

  static constexpr Duration kOffset = seconds(5000);
  Instant now_ = seconds(1);
  std::uint64_t boot_ = kBoot;
  GrantManager keeper_;
  GrantCommand last_;
};

TEST_F(KeeperAndServer, ServerAnswers_GrantIsKept)
{
  Run(seconds(3), true);
  EXPECT_EQ(keeper_.State(), GrantState::Granted);
  EXPECT_TRUE(keeper_.MayDispatch(now_, 42));
  EXPECT_EQ(keeper_.ReleasedVersion(), 10U);
}

TEST_F(KeeperAndServer, FirstContact_AsksForTheClockBeforeItGrants)
{
  const auto orders = keeper_.Tick(now_);
  ASSERT_EQ(orders.size(), 1U);
  EXPECT_EQ(orders[0].validUntil_, 0);
  EXPECT_FALSE(keeper_.MayDispatch(now_, 42));
}

TEST_F(KeeperAndServer, GrantComposed_EndsByTheClockTheServerEchoed)
{
  Run(seconds(1), true);
  const auto serverNow = (now_ + kOffset).count();
  EXPECT_GT(last_.validUntil_, serverNow);
  EXPECT_LE(last_.validUntil_, serverNow + GrantTiming{}.term_.count());
}

TEST_F(KeeperAndServer, ServerFallsSilent_StopsBeforeTheServerDoesAndWithholdsAfter)
{
  Run(seconds(1), true);
  Run(milliseconds(420), false);
  const auto lastValid = Instant(last_.validUntil_) - kOffset;
  EXPECT_EQ(keeper_.State(), GrantState::Granted);
  EXPECT_GE(keeper_.ExpiryBound(), lastValid);
  Run(milliseconds(400), false);
  EXPECT_EQ(keeper_.State(), GrantState::Withheld);
  EXPECT_GT(now_, lastValid);
  EXPECT_EQ(last_.validUntil_, 0);
}

TEST_F(KeeperAndServer, ServerReturnsWhileWithheld_NothingIsGrantedUntilResumed)
{
  Run(seconds(1), true);
  Run(seconds(1), false);
  Run(seconds(1), true);
  EXPECT_EQ(keeper_.State(), GrantState::Withheld);
  EXPECT_FALSE(keeper_.MayDispatch(now_, 42));
  keeper_.Resume();
  Run(milliseconds(300), true);
  EXPECT_EQ(keeper_.State(), GrantState::Granted);
  EXPECT_TRUE(keeper_.MayDispatch(now_, 42));
}

TEST_F(KeeperAndServer, ServerRestarts_OldGrantCountsForNothing)
{
  Run(seconds(1), true);
  boot_ = kBoot + 1;
  Run(milliseconds(160), true);
  Run(milliseconds(200), true);
  EXPECT_TRUE(keeper_.MayDispatch(now_, 42));
  EXPECT_EQ(last_.bootId_, kBoot + 1);
}

TEST_F(KeeperAndServer, RangeIsTakenBack_NoWorkAtOnceAndReleasedWhenAcknowledged)
{
  Run(seconds(1), true);
  keeper_.SetDesiredRanges(3, 11, { { 0, 100 } }, true);
  EXPECT_FALSE(keeper_.MayDispatch(now_, 5000));
  EXPECT_TRUE(keeper_.MayDispatch(now_, 50));
  EXPECT_LT(keeper_.ReleasedVersion(), 11U);
  Run(milliseconds(20), true);
  EXPECT_EQ(keeper_.ReleasedVersion(), 11U);
}

TEST_F(KeeperAndServer, HigherFenceIsSeen_OrderIsRefused)
{
  const auto orders = keeper_.Tick(now_);
  auto reply = ReplyTo(orders[0]);
  reply.accepted_ = false;
  reply.fence_ = 4;
  keeper_.OnReply(now_, now_, orders[0], reply);
  EXPECT_TRUE(keeper_.WasRefused());
  EXPECT_FALSE(keeper_.IsConfirmed());
}

TEST(GrantManager, ServerChecksNothingAndFormerHolderMayLive_StaysAway)
{
  GrantManager keeper("rates", "s1", false, GrantTiming{});
  keeper.SetDesiredRanges(3, 10, kAll, false);
  EXPECT_TRUE(keeper.Tick(seconds(5)).empty());
  keeper.SetDesiredRanges(3, 11, kAll, true);
  EXPECT_EQ(keeper.Tick(seconds(6)).size(), 1U);
}

} // namespace

} // namespace latchslip
