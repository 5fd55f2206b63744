#include "LibPermit/DispatcherComplaints.h"
#include "LibPermit/FirstAnswerMonitor.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

// A dispatcher that ten instances request permits from.
class ComplaintsOfInstances : public testing::Test
{
protected:
  static constexpr CallerId kInstances = 10;

  ComplaintsOfInstances()
  {
    for (CallerId caller = 0; caller < kInstances; ++caller) {
      complaints_.OnRequest(now_, caller);
    }
  }

  Instant now_ = seconds(100);
  DispatcherComplaints complaints_;
};

TEST_F(ComplaintsOfInstances, OneThirdComplain_Resigns)
{
  for (CallerId caller = 0; caller < 3; ++caller) {
    EXPECT_FALSE(complaints_.OnComplaint(now_, caller));
  }
  EXPECT_TRUE(complaints_.OnComplaint(now_, 3));
  EXPECT_EQ(complaints_.RemainingResignation(now_), seconds(10));
  EXPECT_EQ(complaints_.RemainingResignation(now_ + seconds(10)), Duration(0));
}

// Guards against an instance with a bad link of its own that makes a dispatcher resign.
TEST_F(ComplaintsOfInstances, OneInstanceComplainsAgainAndAgain_DoesNotResign)
{
  for (int count = 0; count < 20; ++count) {
    EXPECT_FALSE(complaints_.OnComplaint(now_, 1));
  }
}

TEST_F(ComplaintsOfInstances, ComplaintsAreOlderThanTwoSeconds_DoNotCount)
{
  for (CallerId caller = 0; caller < 3; ++caller) {
    complaints_.OnComplaint(now_, caller);
  }
  now_ += milliseconds(2100);
  for (CallerId caller = 0; caller < kInstances; ++caller) {
    complaints_.OnRequest(now_, caller);
  }
  EXPECT_FALSE(complaints_.OnComplaint(now_, 3));
}

TEST_F(ComplaintsOfInstances, TwoOfThreeInstancesComplain_AreTooFew)
{
  for (CallerId caller = 3; caller < kInstances; ++caller) {
    complaints_.OnCallerGone(caller);
  }
  EXPECT_FALSE(complaints_.OnComplaint(now_, 0));
  EXPECT_FALSE(complaints_.OnComplaint(now_, 1));
  EXPECT_TRUE(complaints_.OnComplaint(now_, 2));
}

TEST_F(ComplaintsOfInstances, HasResigned_DoesNotResignAgain)
{
  for (CallerId caller = 0; caller < 4; ++caller) {
    complaints_.OnComplaint(now_, caller);
  }
  EXPECT_FALSE(complaints_.OnComplaint(now_, 4));
}

// Requests that are sent 100 ms apart.
class RequestsToADispatcher : public testing::Test
{
protected:
  void Request(std::size_t aCount, std::optional<Duration> aAnswerAfter)
  {
    for (std::size_t count = 0; count < aCount; ++count) {
      monitor_.OnRequested(now_, ++lastNumber_, seconds(1));
      if (aAnswerAfter) {
        monitor_.OnAnswered(now_ + *aAnswerAfter, lastNumber_);
      }
      now_ += milliseconds(100);
    }
  }

  Instant now_ = seconds(100);
  AttemptNumber lastNumber_ = 0;
  FirstAnswerMonitor monitor_;
};

TEST_F(RequestsToADispatcher, AnswersAreInTime_IsNotSlow)
{
  Request(20, milliseconds(40));
  EXPECT_FALSE(monitor_.IsSlow(now_));
}

TEST_F(RequestsToADispatcher, AnswersAreLateOrMissing_IsSlowFromTheEighthRequest)
{
  Request(3, std::nullopt);
  Request(4, milliseconds(41));
  EXPECT_FALSE(monitor_.IsSlow(now_));
  Request(1, milliseconds(41));
  EXPECT_TRUE(monitor_.IsSlow(now_));
}

TEST_F(RequestsToADispatcher, HalfOfTheAnswersAreLate_IsNotSlow)
{
  Request(5, milliseconds(1));
  Request(5, milliseconds(100));
  EXPECT_FALSE(monitor_.IsSlow(now_));
  Request(1, milliseconds(100));
  EXPECT_TRUE(monitor_.IsSlow(now_));
}

TEST_F(RequestsToADispatcher, RequestsAreOlderThanTwoSeconds_DoNotCount)
{
  Request(10, std::nullopt);
  EXPECT_FALSE(monitor_.IsSlow(now_ + seconds(2)));
}

// Guards against complaints about requests that the instance itself gave up.
TEST_F(RequestsToADispatcher, RequestsAreGivenUpBeforeAnAnswerIsDue_DoNotCount)
{
  for (int count = 0; count < 10; ++count) {
    monitor_.OnRequested(now_, ++lastNumber_, seconds(1));
    monitor_.OnAbandoned(now_ + milliseconds(10), lastNumber_);
    monitor_.OnRequested(now_, ++lastNumber_, milliseconds(20));
  }
  EXPECT_FALSE(monitor_.IsSlow(now_ + milliseconds(100)));
}

} // namespace

} // namespace latchslip
