#include "LibFleet/ReaderPoller.h"
#include "LibFleet/StartupDeadline.h"

#include <gtest/gtest.h>
#include <map>

namespace latchslip {

namespace {

// An instance of a large fleet that lost its placer, with the readers of two halls.
class GuideByFourReaders : public testing::Test
{
protected:
  // Sends all requests that become due within aTime. Readers answer at once, or not at all.
  void Pass(Duration aTime, bool aIsAnswered)
  {
    for (const auto end = now_ + aTime; now_ < end; now_ += milliseconds(50)) {
      if (const auto address = guide_.Next(now_, readers_, random_)) {
        ++asked_[*address];
        guide_.OnAnswer(now_,
                        *address,
                        aIsAnswered ? StoreReachability::Reachable : StoreReachability::NotPolling);
      }
    }
  }

  Instant now_ = seconds(100);
  const std::vector<FleetPeer> readers_{ { "a:1", "own", 1 },
                                         { "b:1", "own", 1 },
                                         { "c:1", "other", 1 },
                                         { "d:1", "other", 1 } };
  std::minstd_rand random_{ 1 };
  ReaderPoller guide_;
  std::map<std::string, int> asked_;
};

TEST_F(GuideByFourReaders, PlacerIsReliedOn_NobodyIsAsked)
{
  EXPECT_FALSE(guide_.Next(now_, readers_, random_));
  EXPECT_FALSE(guide_.IsGuided(now_));
}

TEST_F(GuideByFourReaders, ReadersAnswer_TheStoreIsNotNeededAndTheOwnHallIsAsked)
{
  guide_.OnRelayEnded(now_);
  Pass(seconds(10), true);
  EXPECT_TRUE(guide_.IsGuided(now_));
  EXPECT_EQ(asked_["a:1"] + asked_["b:1"], 20);
  EXPECT_EQ(asked_["c:1"] + asked_["d:1"], 0);
}

TEST_F(GuideByFourReaders, NobodyAnswers_OtherHallsAreAskedAndThenTheStore)
{
  guide_.OnRelayEnded(now_);
  Pass(milliseconds(650), false);
  EXPECT_TRUE(guide_.IsGuided(now_));
  EXPECT_GE(asked_["a:1"] + asked_["b:1"] + asked_["c:1"] + asked_["d:1"], 3);
  Pass(milliseconds(100), false);
  EXPECT_FALSE(guide_.IsGuided(now_));
  Pass(seconds(10), false);
  EXPECT_GT(asked_["c:1"] + asked_["d:1"], 10);
  EXPECT_FALSE(guide_.IsGuided(now_));
}

TEST_F(GuideByFourReaders, OneAnswersAgain_TheStoreIsNotNeeded)
{
  guide_.OnRelayEnded(now_);
  Pass(seconds(3), false);
  Pass(milliseconds(300), true);
  EXPECT_TRUE(guide_.IsGuided(now_));
}

// The store rejects calls of some instances, as it may for seconds, among them the readers of this
// hall.
TEST(ReaderPoller, ReadersOfTheOwnHallAreTurnedAwayByTheStore_OthersAreFoundWithinASecond)
{
  const std::vector<FleetPeer> readers{
    { "a:1", "own", 1 }, { "b:1", "own", 1 }, { "c:1", "other", 1 }, { "d:1", "other", 1 }
  };
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::minstd_rand random(seed);
    ReaderPoller guide;
    Instant now = seconds(100);
    Instant seenAt = now;
    guide.OnRelayEnded(now);
    for (const auto end = now + seconds(8); now < end; now += milliseconds(50)) {
      if (const auto address = guide.Next(now, readers, random)) {
        const bool sees = *address >= "c";
        guide.OnAnswer(
          now, *address, sees ? StoreReachability::Reachable : StoreReachability::Unreachable);
        seenAt = sees ? now : seenAt;
      }
      ASSERT_LE(now - seenAt, seconds(1)) << "seed " << seed;
      EXPECT_TRUE(guide.IsGuided(now));
    }
  }
}

TEST_F(GuideByFourReaders, StoreIsAwayFromAll_ReadersAreAskedNoMoreOftenThanUsual)
{
  guide_.OnRelayEnded(now_);
  int asked = 0;
  for (const auto end = now_ + seconds(10); now_ < end; now_ += milliseconds(50)) {
    if (const auto address = guide_.Next(now_, readers_, random_)) {
      ++asked;
      guide_.OnAnswer(now_, *address, StoreReachability::Unreachable);
    }
  }
  EXPECT_LE(asked, 24);
  EXPECT_TRUE(guide_.IsGuided(now_));
}

TEST_F(GuideByFourReaders, PlacerIsReliedOnAgain_AskingEnds)
{
  guide_.OnRelayEnded(now_);
  guide_.OnRelayed();
  EXPECT_FALSE(guide_.Next(now_, readers_, random_));
}

// An instance that starts at 100 s.
class WaitOfAStart : public testing::Test
{
protected:
  WaitOfAStart() { wait_.OnStart(now_); }

  Instant now_ = seconds(100);
  StartupDeadline wait_;
};

TEST_F(WaitOfAStart, StoreDoesNotAnswer_TablesAreReadAfterAWhile)
{
  EXPECT_FALSE(wait_.IsOver(now_ + milliseconds(900)));
  EXPECT_TRUE(wait_.IsOver(now_ + milliseconds(1000)));
}

TEST_F(WaitOfAStart, NamedPlacerDoesNotAnswer_TablesAreReadSoon)
{
  wait_.OnFleetRead(now_, true);
  EXPECT_TRUE(wait_.IsOver(now_ + milliseconds(400)));
}

TEST_F(WaitOfAStart, FleetNeverHadAPlacer_FirstOneIsWaitedFor)
{
  wait_.OnFleetRead(now_, false);
  EXPECT_FALSE(wait_.IsOver(now_ + milliseconds(2900)));
  wait_.OnFleetRead(now_ + milliseconds(500), true);
  EXPECT_FALSE(wait_.IsOver(now_ + milliseconds(800)));
  EXPECT_TRUE(wait_.IsOver(now_ + milliseconds(900)));
}

TEST_F(WaitOfAStart, PlacerAnswers_ItsTablesAreWaitedForOnce)
{
  wait_.OnFleetRead(now_, true);
  wait_.OnPlacerAnswered(now_ + milliseconds(100));
  wait_.OnPlacerAnswered(now_ + milliseconds(900));
  EXPECT_FALSE(wait_.IsOver(now_ + milliseconds(1500)));
  EXPECT_TRUE(wait_.IsOver(now_ + milliseconds(1600)));
}

} // namespace

} // namespace latchslip
