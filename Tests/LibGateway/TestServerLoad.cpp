#include "LibGateway/ServerLoad.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

class LoadOfAServer : public testing::Test
{
protected:
  // One request after the other, each with the same latency.
  void Answer(int aCount, Duration aLatency, SendResult aResult = SendResult::Answered)
  {
    for (int index = 0; index < aCount; ++index) {
      load_.OnSent(now_, ++attempt_);
      now_ += aLatency;
      load_.OnEnded(now_, attempt_, aResult);
      now_ += milliseconds(1);
    }
  }

  // Keeps the limit full all the time.
  void AnswerWhileFull(int aCount, Duration aLatency)
  {
    for (int index = 0; index < aCount; ++index) {
      while (load_.HasRoom(now_)) {
        load_.OnSent(now_, ++attempt_);
      }
      now_ += aLatency;
      load_.OnEnded(now_, attempt_ - load_.UnderWay() + 1, SendResult::Answered);
    }
  }

  Instant now_ = seconds(100);
  AttemptNumber attempt_ = 0;
  ServerLoad load_{ 2, 8 };
};

TEST_F(LoadOfAServer, LimitIsReached_HasNoRoom)
{
  load_.OnSent(now_, 1);
  EXPECT_TRUE(load_.HasRoom(now_));
  load_.OnSent(now_, 2);
  EXPECT_FALSE(load_.HasRoom(now_));
}

TEST_F(LoadOfAServer, FullAndFast_LimitGrowsUpToItsBound)
{
  AnswerWhileFull(200, milliseconds(5));
  EXPECT_EQ(load_.Limit(), 8U);
}

TEST_F(LoadOfAServer, LatencyRisesManifold_LimitShrinks)
{
  AnswerWhileFull(100, milliseconds(5));
  const auto before = load_.Limit();
  AnswerWhileFull(40, milliseconds(400));
  EXPECT_LT(load_.Limit(), before);
}

TEST_F(LoadOfAServer, Sheds_LimitShrinksAndServerIsLeftAloneForAMoment)
{
  AnswerWhileFull(200, milliseconds(5));
  Answer(1, milliseconds(1), SendResult::Shed);
  EXPECT_EQ(load_.Limit(), 4U);
  EXPECT_FALSE(load_.HasRoom(now_));
}

TEST_F(LoadOfAServer, CannotBeReached_PauseDoublesAndEnds)
{
  Answer(1, milliseconds(1), SendResult::NotReached);
  EXPECT_FALSE(load_.HasRoom(now_ + milliseconds(100)));
  EXPECT_TRUE(load_.HasRoom(now_ + milliseconds(300)));
  Answer(1, milliseconds(1), SendResult::NotReached);
  EXPECT_FALSE(load_.HasRoom(now_ + milliseconds(300)));
  EXPECT_TRUE(load_.HasRoom(now_ + milliseconds(600)));
}

TEST_F(LoadOfAServer, NoAnswerForManyTimesTheMean_NothingMoreIsSent)
{
  Answer(20, milliseconds(20));
  load_.OnSent(now_, ++attempt_);
  EXPECT_TRUE(load_.HasRoom(now_ + milliseconds(100)));
  EXPECT_FALSE(load_.HasRoom(now_ + milliseconds(400)));
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
  load_.OnSent(now_, ++attempt_);
  EXPECT_EQ(load_.ExpectedLatency(now_ + seconds(1), Duration(0)), seconds(1));
}

} // namespace

} // namespace latchslip
