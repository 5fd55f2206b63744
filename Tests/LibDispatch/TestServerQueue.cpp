#include "LibDispatch/ServerQueue.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

constexpr Instant kNow = seconds(100);
constexpr Instant kFar = kNow + seconds(60);

SharingIntent
MakeIntent(const std::string& aGroup, double aPortion, LatencyClass aClass)
{
  SharingIntent intent;
  intent.group_ = aGroup;
  intent.service_ = "rates";
  intent.portion_ = aPortion;
  intent.latencyClass_ = aClass;
  intent.maxWaiting_ = 1000;
  return intent;
}

class QueueOfTwoGroups : public testing::Test
{
protected:
  QueueOfTwoGroups()
    : queue_(4)
  {
    Configure(1, LatencyClass::Interactive);
  }

  void Configure(double aLightPortion, LatencyClass aLightClass)
  {
    queue_.Configure(4,
                     { MakeIntent("heavy", 3, LatencyClass::Interactive),
                       MakeIntent("light", aLightPortion, aLightClass) });
  }

  void Fill(const std::string& aGroup, std::size_t aCount)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      const auto id = ++last_;
      groupOf_[id] = aGroup;
      ASSERT_EQ(queue_.Admit(kNow, id, aGroup, kFar).verdict_, AdmissionVerdict::Admitted);
    }
  }

  // Starts and finishes requests one after the other, and counts those of a group.
  std::size_t ServeAndCount(std::size_t aCount, const std::string& aGroup)
  {
    std::size_t count = 0;
    for (std::size_t index = 0; index < aCount; ++index) {
      const auto id = queue_.StartNext();
      if (!id) {
        break;
      }
      count += groupOf_[*id] == aGroup ? 1 : 0;
      queue_.Finish(*id, milliseconds(2));
    }
    return count;
  }

  ServerQueue queue_;
  WorkId last_ = 0;
  std::map<WorkId, std::string> groupOf_;
};

TEST_F(QueueOfTwoGroups, BothGroupsAreBacklogged_EachGetsItsPortion)
{
  Fill("heavy", 900);
  Fill("light", 900);
  EXPECT_NEAR(static_cast<double>(ServeAndCount(400, "light")), 100, 2);
}

TEST_F(QueueOfTwoGroups, OneGroupIsIdle_OtherGetsAllSlots)
{
  Fill("light", 50);
  EXPECT_EQ(ServeAndCount(50, "light"), 50U);
}

TEST_F(QueueOfTwoGroups, IdleGroupBecomesBusy_RegainsItsPortionAtOnce)
{
  Fill("light", 500);
  ServeAndCount(300, "light");
  Fill("heavy", 500);
  EXPECT_NEAR(static_cast<double>(ServeAndCount(40, "heavy")), 30, 2);
}

TEST_F(QueueOfTwoGroups, LightGroupIsDeferrable_InteractiveStartsFirstAndPortionsHold)
{
  Configure(1, LatencyClass::Deferrable);
  Fill("light", 900);
  Fill("heavy", 900);
  EXPECT_EQ(ServeAndCount(30, "heavy"), 30U);
  EXPECT_NEAR(static_cast<double>(ServeAndCount(800, "light")), 200, 40);
}

TEST_F(QueueOfTwoGroups, AllSlotsAreOccupied_NothingStarts)
{
  Fill("heavy", 6);
  for (int slot = 0; slot < 4; ++slot) {
    EXPECT_TRUE(queue_.StartNext());
  }
  EXPECT_FALSE(queue_.StartNext());
}

TEST_F(QueueOfTwoGroups, FormerHolderHasRunningWork_ItsSlotsAreNotUsed)
{
  queue_.SetForeignSlots(3);
  Fill("heavy", 6);
  EXPECT_TRUE(queue_.StartNext());
  EXPECT_FALSE(queue_.StartNext());
}

TEST_F(QueueOfTwoGroups, DeadlineCannotBeMet_RefusedWithRetryAfter)
{
  Fill("heavy", 400);
  const auto admission = queue_.Admit(kNow, 9999, "heavy", kNow + milliseconds(20));
  EXPECT_EQ(admission.verdict_, AdmissionVerdict::DeadlineTooNear);
  EXPECT_GT(admission.retryAfter_, milliseconds(100));
}

TEST_F(QueueOfTwoGroups, QueueIsFull_RefusedAtOnce)
{
  Fill("heavy", 1000);
  EXPECT_EQ(queue_.Admit(kNow, 9999, "heavy", kFar).verdict_, AdmissionVerdict::QueueFull);
}

TEST_F(QueueOfTwoGroups, GroupIsUnknown_Refused)
{
  EXPECT_EQ(queue_.Admit(kNow, 1, "nobody", kFar).verdict_, AdmissionVerdict::UnknownGroup);
}

TEST_F(QueueOfTwoGroups, DeadlineIsNear_RemovedFromQueue)
{
  queue_.Admit(kNow, 1, "heavy", kNow + milliseconds(10));
  queue_.Admit(kNow, 2, "heavy", kFar);
  EXPECT_TRUE(queue_.TakeExpired(kNow).empty());
  EXPECT_EQ(queue_.TakeExpired(kNow + milliseconds(9)), std::vector<WorkId>{ 1 });
  EXPECT_EQ(queue_.Waiting(), 1U);
}

TEST_F(QueueOfTwoGroups, EarlierDeadlineArrivesLater_StartsFirst)
{
  queue_.Admit(kNow, 1, "heavy", kFar);
  queue_.Admit(kNow, 2, "heavy", kNow + seconds(1));
  EXPECT_EQ(queue_.StartNext(), WorkId{ 2 });
}

TEST_F(QueueOfTwoGroups, WaitingRequestIsRemoved_NeverStarts)
{
  Fill("heavy", 1);
  EXPECT_TRUE(queue_.Remove(last_));
  EXPECT_FALSE(queue_.Remove(last_));
  EXPECT_FALSE(queue_.StartNext());
}

} // namespace

} // namespace latchslip
