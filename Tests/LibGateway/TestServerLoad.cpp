#include "LibGateway/ServerLoad.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

class LoadOfAServer : public testing::Test
{
protected:
  static constexpr Duration kTarget = milliseconds(200);

  void Send() { load_.OnSent(now_, ++attempt_, kTarget); }

  // Sends requests one after the other, each with the same latency.
  void Answer(int aCount, Duration aLatency, SendResult aResult = SendResult::Answered)
  {
    for (int index = 0; index < aCount; ++index) {
      Send();
      now_ += aLatency;
      load_.OnEnded(now_, attempt_, aResult);
      now_ += milliseconds(1);
    }
  }

  // Keeps the limit reached all the time.
  void AnswerWhileFull(int aCount, Duration aLatency)
  {
    for (int index = 0; index < aCount; ++index) {
      while (load_.HasCapacity(now_)) {
        Send();
      }
      now_ += aLatency;
      load_.OnEnded(now_, attempt_ - load_.InFlight() + 1, SendResult::Answered);
    }
  }

  Instant now_ = seconds(100);
  AttemptNumber attempt_ = 0;
  ServerLoad load_{ 2, 8 };
};

TEST_F(LoadOfAServer, LimitIsReached_HasNoCapacity)
{
  load_.OnSent(now_, 1, kTarget);
  EXPECT_TRUE(load_.HasCapacity(now_));
  load_.OnSent(now_, 2, kTarget);
  EXPECT_FALSE(load_.HasCapacity(now_));
}

TEST_F(LoadOfAServer, ServerRestartsUnderItsId_StateIsReset)
{
  load_.SetIncarnation(100);
  AnswerWhileFull(100, milliseconds(5));
  Answer(20, milliseconds(5), SendResult::Failed);
  load_.SetIncarnation(100);
  ASSERT_EQ(load_.Limit(), 8U);
  ASSERT_GT(load_.FailureShare(), 0.5);
  load_.SetIncarnation(200);
  EXPECT_EQ(load_.Limit(), 2U);
  EXPECT_EQ(load_.FailureShare(), 0);
  EXPECT_EQ(load_.MeanLatency(), Duration(0));
}

TEST_F(LoadOfAServer, LimitIsReachedAndAnswersAreFast_LimitGrowsToItsMaximum)
{
  AnswerWhileFull(200, milliseconds(5));
  EXPECT_EQ(load_.Limit(), 8U);
}

TEST_F(LoadOfAServer, AnswersBecomeLate_LimitShrinksToOne)
{
  AnswerWhileFull(100, milliseconds(5));
  ASSERT_EQ(load_.Limit(), 8U);
  AnswerWhileFull(40, milliseconds(400));
  EXPECT_EQ(load_.Limit(), 1U);
}

// Four times the former latency does not matter while answers are in time.
TEST_F(LoadOfAServer, LatencyRisesManifoldWithinTheTarget_LimitStays)
{
  AnswerWhileFull(100, milliseconds(5));
  const auto before = load_.Limit();
  AnswerWhileFull(40, milliseconds(20));
  EXPECT_EQ(load_.Limit(), before);
}

TEST_F(LoadOfAServer, AnswersWereLate_LimitGrowsSlowlyAndAfterACalmSecondFast)
{
  Answer(20, milliseconds(400));
  ASSERT_EQ(load_.Limit(), 1U);
  Answer(10, milliseconds(5));
  EXPECT_EQ(load_.Limit(), 1U);
  now_ += seconds(1);
  Answer(1, milliseconds(5));
  EXPECT_EQ(load_.Limit(), 2U);
}

TEST_F(LoadOfAServer, RequestsAreInFlight_QueueTimeEndsWithTheOldest)
{
  Send();
  Send();
  now_ += milliseconds(60);
  // Two places, each free again after 100 ms: the next is free 40 ms from now, and one more every
  // 50 ms.
  EXPECT_EQ(load_.ExpectedQueueTime(now_, 0, milliseconds(100)), milliseconds(40));
  EXPECT_EQ(load_.ExpectedQueueTime(now_, 2, milliseconds(100)), milliseconds(140));
  // An overdue request may end at any moment.
  EXPECT_EQ(load_.ExpectedQueueTime(now_ + seconds(1), 0, milliseconds(100)), milliseconds(25));
}

TEST_F(LoadOfAServer, ShedRecently_QueueTimeIncludesTheSuspension)
{
  Answer(1, milliseconds(1), SendResult::Shed);
  EXPECT_GE(load_.ExpectedQueueTime(now_, 0, milliseconds(1)), milliseconds(15));
}

TEST_F(LoadOfAServer, HalfOfTheLimitIsInFlight_HasNoSpareCapacity)
{
  EXPECT_TRUE(load_.HasSpareCapacity());
  Send();
  EXPECT_TRUE(load_.HasCapacity(now_));
  EXPECT_FALSE(load_.HasSpareCapacity());
}

TEST_F(LoadOfAServer, WorkIsTaken_CountsAnswersAndTimeOutsOnce)
{
  Answer(3, milliseconds(20));
  Answer(2, milliseconds(1), SendResult::Shed);
  Send();
  now_ += milliseconds(500);
  load_.OnTimeOut(now_, attempt_);
  EXPECT_EQ(load_.TakeWork(), (ServerWork{ 4, milliseconds(560) }));
  EXPECT_EQ(load_.TakeWork(), ServerWork());
}

TEST_F(LoadOfAServer, RequestIsShed_LimitShrinksAndServerIsSuspended)
{
  AnswerWhileFull(200, milliseconds(5));
  Answer(1, milliseconds(1), SendResult::Shed);
  EXPECT_EQ(load_.Limit(), 4U);
  EXPECT_FALSE(load_.HasCapacity(now_));
}

TEST_F(LoadOfAServer, Unreachable_SuspensionDoublesAndEnds)
{
  Answer(1, milliseconds(1), SendResult::NotReached);
  EXPECT_FALSE(load_.HasCapacity(now_ + milliseconds(100)));
  EXPECT_TRUE(load_.HasCapacity(now_ + milliseconds(300)));
  Answer(1, milliseconds(1), SendResult::NotReached);
  EXPECT_FALSE(load_.HasCapacity(now_ + milliseconds(300)));
  EXPECT_TRUE(load_.HasCapacity(now_ + milliseconds(600)));
}

TEST_F(LoadOfAServer, NoAnswerForManyTimesTheMean_NothingMoreIsSent)
{
  Answer(20, milliseconds(20));
  Send();
  EXPECT_TRUE(load_.HasCapacity(now_ + milliseconds(100)));
  EXPECT_FALSE(load_.HasCapacity(now_ + milliseconds(400)));
}

TEST_F(LoadOfAServer, SomeFail_FailureShareFollows)
{
  Answer(50, milliseconds(20));
  EXPECT_LT(load_.FailureShare(), 0.01);
  Answer(50, milliseconds(20), SendResult::Failed);
  EXPECT_GT(load_.FailureShare(), 0.9);
}

TEST_F(LoadOfAServer, AnswerIsOverdue_ExpectedLatencyGrowsWithIt)
{
  Answer(20, milliseconds(20));
  Send();
  EXPECT_EQ(load_.ExpectedLatency(now_ + seconds(1), Duration(0)), seconds(1));
}

} // namespace

} // namespace latchslip
