#include "LibDispatch/GrantManager.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

const std::vector<HashRange> kAll{ { 0, ~KeyHash{ 0 } } };
constexpr std::uint64_t kBoot = 5;

// A server whose clock has a fixed offset from that of the process that sends the commands.
class GrantManagerWithServer : public testing::Test
{
protected:
  GrantManagerWithServer()
    : manager_("rates", "s1", true, GrantTiming{})
  {
    manager_.SetDesiredRanges(3, 10, kAll, true);
  }

  GrantReply ReplyTo(const GrantCommand& aCommand) const
  {
    GrantReply reply;
    reply.accepted_ = true;
    reply.bootId_ = boot_;
    reply.clock_ = (now_ + kOffset).count();
    reply.fence_ = aCommand.fence_;
    reply.generation_ = aCommand.generation_;
    return reply;
  }

  // Advances time; the server answers each command after one millisecond.
  void Run(Duration aSpan, bool aAnswers)
  {
    const auto end = now_ + aSpan;
    while (now_ < end) {
      for (const auto& command : manager_.Tick(now_)) {
        last_ = command;
        const auto sentAt = now_;
        now_ += milliseconds(1);
        if (aAnswers) {
          manager_.OnReply(now_, sentAt, command, ReplyTo(command));
        }
      }
      now_ += milliseconds(5);
    }
  }

  static constexpr Duration kOffset = seconds(5000);
  Instant now_ = seconds(1);
  std::uint64_t boot_ = kBoot;
  GrantManager manager_;
  GrantCommand last_;
};

TEST_F(GrantManagerWithServer, ServerAnswers_GrantIsRenewed)
{
  Run(seconds(3), true);
  EXPECT_EQ(manager_.State(), GrantState::Granted);
  EXPECT_TRUE(manager_.MayDispatch(now_, 42));
  EXPECT_EQ(manager_.ReleasedVersion(), 10U);
}

TEST_F(GrantManagerWithServer, FirstContact_ReadsServerClockBeforeGranting)
{
  const auto commands = manager_.Tick(now_);
  ASSERT_EQ(commands.size(), 1U);
  EXPECT_EQ(commands[0].validUntil_, 0);
  EXPECT_FALSE(manager_.MayDispatch(now_, 42));
}

TEST_F(GrantManagerWithServer, GrantIsSent_ExpiryIsOnServerClock)
{
  Run(seconds(1), true);
  const auto serverNow = (now_ + kOffset).count();
  EXPECT_GT(last_.validUntil_, serverNow);
  EXPECT_LE(last_.validUntil_, serverNow + GrantTiming{}.term_.count());
}

TEST_F(GrantManagerWithServer, ServerStopsAnswering_GrantIsWithheldOnlyAfterItExpired)
{
  Run(seconds(1), true);
  Run(milliseconds(420), false);
  const auto lastValid = Instant(last_.validUntil_) - kOffset;
  EXPECT_EQ(manager_.State(), GrantState::Granted);
  EXPECT_GE(manager_.ExpiryBound(), lastValid);
  Run(milliseconds(400), false);
  EXPECT_EQ(manager_.State(), GrantState::Withheld);
  EXPECT_GT(now_, lastValid);
  EXPECT_EQ(last_.validUntil_, 0);
}

TEST_F(GrantManagerWithServer, ServerReturnsWhileWithheld_NothingIsGrantedUntilResumed)
{
  Run(seconds(1), true);
  Run(seconds(1), false);
  Run(seconds(1), true);
  EXPECT_EQ(manager_.State(), GrantState::Withheld);
  EXPECT_FALSE(manager_.MayDispatch(now_, 42));
  manager_.Resume();
  Run(milliseconds(300), true);
  EXPECT_EQ(manager_.State(), GrantState::Granted);
  EXPECT_TRUE(manager_.MayDispatch(now_, 42));
}

TEST_F(GrantManagerWithServer, ServerRestarts_GrantIsRenewedForNewIncarnation)
{
  Run(seconds(1), true);
  boot_ = kBoot + 1;
  Run(milliseconds(160), true);
  Run(milliseconds(200), true);
  EXPECT_TRUE(manager_.MayDispatch(now_, 42));
  EXPECT_EQ(last_.bootId_, kBoot + 1);
}

TEST_F(GrantManagerWithServer, RangeIsRemoved_NotDispatchedAtOnceAndReleasedOnAcknowledgement)
{
  Run(seconds(1), true);
  manager_.SetDesiredRanges(3, 11, { { 0, 100 } }, true);
  EXPECT_FALSE(manager_.MayDispatch(now_, 5000));
  EXPECT_TRUE(manager_.MayDispatch(now_, 50));
  EXPECT_LT(manager_.ReleasedVersion(), 11U);
  Run(milliseconds(20), true);
  EXPECT_EQ(manager_.ReleasedVersion(), 11U);
}

TEST_F(GrantManagerWithServer, ServerHasSeenHigherFence_CommandIsRefused)
{
  const auto commands = manager_.Tick(now_);
  auto reply = ReplyTo(commands[0]);
  reply.accepted_ = false;
  reply.fence_ = 4;
  manager_.OnReply(now_, now_, commands[0], reply);
  EXPECT_TRUE(manager_.WasRefused());
  EXPECT_FALSE(manager_.IsConfirmed());
}

TEST(GrantManager, ServerChecksNoGrants_NotContactedUntilFormerHoldersStopped)
{
  GrantManager manager("rates", "s1", false, GrantTiming{});
  manager.SetDesiredRanges(3, 10, kAll, false);
  EXPECT_TRUE(manager.Tick(seconds(5)).empty());
  manager.SetDesiredRanges(3, 11, kAll, true);
  EXPECT_EQ(manager.Tick(seconds(6)).size(), 1U);
}

} // namespace

} // namespace latchslip
