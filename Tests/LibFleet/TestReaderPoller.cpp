#include "LibFleet/ReaderPoller.h"
#include "LibFleet/StartupDeadline.h"

#include <gtest/gtest.h>
#include <map>

namespace latchslip {

namespace {

// An instance of a large fleet that lost its placer, with the readers of two halls.
class ReaderPollerWithFourReaders : public testing::Test
{
protected:
  // Sends all requests that become due within aTime. Readers answer at once, or not at all.
  void Advance(Duration aTime, bool aIsAnswered)
  {
    for (const auto end = now_ + aTime; now_ < end; now_ += milliseconds(50)) {
      if (const auto address = readerPoller_.NextReader(now_, readers_, random_)) {
        ++fetches_[*address];
        readerPoller_.OnAnswer(now_,
                               *address,
                               aIsAnswered ? StoreReachability::Reachable
                                           : StoreReachability::NotPolling);
      }
    }
  }

  Instant now_ = seconds(100);
  const std::vector<FleetPeer> readers_{ { "a:1", "own", 1 },
                                         { "b:1", "own", 1 },
                                         { "c:1", "other", 1 },
                                         { "d:1", "other", 1 } };
  std::minstd_rand random_{ 1 };
  ReaderPoller readerPoller_;
  std::map<std::string, int> fetches_;
};

TEST_F(ReaderPollerWithFourReaders, PlacerIsReliable_SendsNoRequest)
{
  EXPECT_FALSE(readerPoller_.NextReader(now_, readers_, random_));
  EXPECT_FALSE(readerPoller_.AreReadersReliable(now_));
}

TEST_F(ReaderPollerWithFourReaders, ReadersAnswer_AreReliableAndOnlyTheOwnHallIsAsked)
{
  readerPoller_.OnPlacerUnreliable(now_);
  Advance(seconds(10), true);
  EXPECT_TRUE(readerPoller_.AreReadersReliable(now_));
  EXPECT_EQ(fetches_["a:1"] + fetches_["b:1"], 20);
  EXPECT_EQ(fetches_["c:1"] + fetches_["d:1"], 0);
}

TEST_F(ReaderPollerWithFourReaders, NoReaderAnswers_AsksOtherHallsAndBecomesUnreliable)
{
  readerPoller_.OnPlacerUnreliable(now_);
  Advance(milliseconds(650), false);
  EXPECT_TRUE(readerPoller_.AreReadersReliable(now_));
  EXPECT_GE(fetches_["a:1"] + fetches_["b:1"] + fetches_["c:1"] + fetches_["d:1"], 3);
  Advance(milliseconds(100), false);
  EXPECT_FALSE(readerPoller_.AreReadersReliable(now_));
  Advance(seconds(10), false);
  EXPECT_GT(fetches_["c:1"] + fetches_["d:1"], 10);
  EXPECT_FALSE(readerPoller_.AreReadersReliable(now_));
}

TEST_F(ReaderPollerWithFourReaders, OneAnswersAgain_ReadersAreReliable)
{
  readerPoller_.OnPlacerUnreliable(now_);
  Advance(seconds(3), false);
  Advance(milliseconds(300), true);
  EXPECT_TRUE(readerPoller_.AreReadersReliable(now_));
}

// The store rejects calls of some instances, as it may for seconds, among them the readers of this
// hall.
TEST(ReaderPoller, StoreRejectsReadersOfTheOwnHall_FindsOthersWithinASecond)
{
  const std::vector<FleetPeer> readers{
    { "a:1", "own", 1 }, { "b:1", "own", 1 }, { "c:1", "other", 1 }, { "d:1", "other", 1 }
  };
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::minstd_rand random(seed);
    ReaderPoller poller;
    Instant now = seconds(100);
    Instant seenAt = now;
    poller.OnPlacerUnreliable(now);
    for (const auto end = now + seconds(8); now < end; now += milliseconds(50)) {
      if (const auto address = poller.NextReader(now, readers, random)) {
        const bool sees = *address >= "c";
        poller.OnAnswer(
          now, *address, sees ? StoreReachability::Reachable : StoreReachability::Unreachable);
        seenAt = sees ? now : seenAt;
      }
      ASSERT_LE(now - seenAt, seconds(1)) << "seed " << seed;
      EXPECT_TRUE(poller.AreReadersReliable(now));
    }
  }
}

TEST_F(ReaderPollerWithFourReaders, StoreIsDownForAll_RequestRateStaysAsUsual)
{
  readerPoller_.OnPlacerUnreliable(now_);
  int fetches = 0;
  for (const auto end = now_ + seconds(10); now_ < end; now_ += milliseconds(50)) {
    if (const auto address = readerPoller_.NextReader(now_, readers_, random_)) {
      ++fetches;
      readerPoller_.OnAnswer(now_, *address, StoreReachability::Unreachable);
    }
  }
  EXPECT_LE(fetches, 24);
  EXPECT_TRUE(readerPoller_.AreReadersReliable(now_));
}

TEST_F(ReaderPollerWithFourReaders, PlacerIsReliableAgain_RequestsEnd)
{
  readerPoller_.OnPlacerUnreliable(now_);
  readerPoller_.OnPlacerReliable();
  EXPECT_FALSE(readerPoller_.NextReader(now_, readers_, random_));
}

// An instance that starts at 100 s.
class StartupDeadlineTest : public testing::Test
{
protected:
  StartupDeadlineTest() { wait_.OnStart(now_); }

  Instant now_ = seconds(100);
  StartupDeadline wait_;
};

TEST_F(StartupDeadlineTest, StoreDoesNotAnswer_ExpiresAfterASecond)
{
  EXPECT_FALSE(wait_.HasExpired(now_ + milliseconds(900)));
  EXPECT_TRUE(wait_.HasExpired(now_ + milliseconds(1000)));
}

TEST_F(StartupDeadlineTest, NamedPlacerDoesNotAnswer_ExpiresSoon)
{
  wait_.OnFleetRead(now_, true);
  EXPECT_TRUE(wait_.HasExpired(now_ + milliseconds(400)));
}

TEST_F(StartupDeadlineTest, FleetNeverHadAPlacer_WaitsForTheFirstOne)
{
  wait_.OnFleetRead(now_, false);
  EXPECT_FALSE(wait_.HasExpired(now_ + milliseconds(2900)));
  wait_.OnFleetRead(now_ + milliseconds(500), true);
  EXPECT_FALSE(wait_.HasExpired(now_ + milliseconds(800)));
  EXPECT_TRUE(wait_.HasExpired(now_ + milliseconds(900)));
}

TEST_F(StartupDeadlineTest, PlacerAnswers_WaitsForItsTablesOnce)
{
  wait_.OnFleetRead(now_, true);
  wait_.OnPlacerAnswered(now_ + milliseconds(100));
  wait_.OnPlacerAnswered(now_ + milliseconds(900));
  EXPECT_FALSE(wait_.HasExpired(now_ + milliseconds(1500)));
  EXPECT_TRUE(wait_.HasExpired(now_ + milliseconds(1600)));
}

} // namespace

} // namespace latchslip
