#include "FleetMemberFixture.h"

#include <set>

namespace latchslip {

namespace {

// An instance of a large fleet in two halls. The two strongest instances of each hall are its
// readers.
class MemberOfALargeFleet : public MemberOfAFleet
{
protected:
  static constexpr int kOthers = 24;

  static std::string AddressOf(int aNumber) { return "10.0.1." + std::to_string(aNumber) + ":9"; }

  static FleetPeer PeerOf(int aNumber)
  {
    return { AddressOf(aNumber), aNumber % 2 == 0 ? "hall" : "other", aNumber < 4 ? 2.0 : 0.5 };
  }

  // Instances 0 and 2 are the readers of this instance's hall, unless aOwnShare makes this instance
  // a reader.
  explicit MemberOfALargeFleet(double aOwnShare = 1)
  {
    roster_.isWhole_ = true;
    roster_.joined_.push_back({ kSelf, "hall", aOwnShare });
    for (int number = 0; number < kOthers; ++number) {
      roster_.joined_.push_back(PeerOf(number));
    }
    ShowTables();
    Show(FleetTable::Fleet, 7, { { "placer", 7, Placer("i2", AddressOf(5)) } });
    Pass(milliseconds(50));
    Answer({ 5, 6, 7 });
    Pass(milliseconds(50));
    fleet_.hasFollowedAlone_ = false;
  }

  void Answer(const TableVersions& aVersions)
  {
    member_.OnReportAnswered(now_, ReportAnswer{ true, roster_, aVersions });
  }

  // Answers every fetch within aTime with that reachability of the store.
  void AnswerFetches(Duration aTime, StoreReachability aSight)
  {
    FleetUpdate news;
    news.storeReachability_ = aSight;
    const auto end = now_ + aTime;
    while (now_ < end) {
      const auto asked = fleet_.fetches_.size();
      Pass(milliseconds(50));
      if (fleet_.fetches_.size() > asked) {
        member_.OnUpdateFetched(now_, news);
      }
    }
  }

  RosterChange roster_;
};

class ReaderOfALargeFleet : public MemberOfALargeFleet
{
protected:
  ReaderOfALargeFleet()
    : MemberOfALargeFleet(4)
  {
  }
};

TEST_F(MemberOfALargeFleet, PlacerTellsWhatChanges_StoreIsAskedForNothing)
{
  EXPECT_EQ(fleet_.following_, StorePollMode::Off);
}

TEST_F(MemberOfALargeFleet, PlacerAnswersSlowly_ReadersSeeToTheStore)
{
  for (int round = 0; round < 20; ++round) {
    Pass(milliseconds(500));
    member_.OnReportAnswered(now_, ReportAnswer{ true, {}, { 5, 6, 7 } }, milliseconds(250));
  }
  EXPECT_EQ(fleet_.following_, StorePollMode::Off);
}

TEST_F(MemberOfALargeFleet, PlacerFallsSilentAndReadersAnswer_StoreIsAskedForNothing)
{
  member_.OnReportAnswered(now_, std::nullopt);
  AnswerFetches(milliseconds(1500), StoreReachability::Reachable);
  EXPECT_EQ(fleet_.following_, StorePollMode::Off);
  ASSERT_GE(fleet_.fetches_.size(), 3U);
  for (const auto& address : fleet_.fetches_) {
    EXPECT_TRUE(address == AddressOf(0) || address == AddressOf(2)) << address;
  }
}

TEST_F(MemberOfALargeFleet, PlacerAndReadersFallSilent_StoreIsFollowed)
{
  member_.OnReportAnswered(now_, std::nullopt);
  Pass(milliseconds(600));
  EXPECT_EQ(fleet_.following_, StorePollMode::Off);
  Pass(milliseconds(200));
  EXPECT_EQ(fleet_.following_, StorePollMode::LongWaits);
  EXPECT_EQ(fleet_.followFrom_, (TableVersions{ 5, 6, 7 }));
}

TEST_F(MemberOfALargeFleet, StoreIsAwayFromAll_NobodyButReadersAsksIt)
{
  FleetUpdate news;
  news.pausesUpdates_ = true;
  member_.OnUpdate(now_, news);
  AnswerFetches(seconds(5), StoreReachability::Unreachable);
  EXPECT_EQ(fleet_.following_, StorePollMode::Off);
  EXPECT_TRUE(fleet_.transactions_.empty());
  EXPECT_TRUE(fleet_.isStale_);
  AnswerFetches(milliseconds(600), StoreReachability::Reachable);
  EXPECT_FALSE(fleet_.isStale_);
}

TEST_F(MemberOfALargeFleet, AskedOneIsToldByOthersItself_ItsWordIsNotRelied)
{
  member_.OnReportAnswered(now_, std::nullopt);
  AnswerFetches(milliseconds(800), StoreReachability::NotPolling);
  EXPECT_EQ(fleet_.following_, StorePollMode::LongWaits);
}

TEST_F(MemberOfALargeFleet, IsAskedByAnother_SaysThatItDoesNotSeeTheStore)
{
  EXPECT_EQ(member_.UpdateSince(now_, { 5, 6, 7 }).storeReachability_,
            StoreReachability::NotPolling);
  EXPECT_TRUE(member_.UpdateSince(now_, { 5, 6, 7 }).views_.empty());
}

TEST_F(MemberOfALargeFleet, NewsWereMissed_ReadersTellThem)
{
  Answer({ 5, 9, 7 });
  Pass(milliseconds(500));
  ASSERT_FALSE(fleet_.fetches_.empty());
  FleetUpdate news;
  news.storeReachability_ = StoreReachability::Reachable;
  news.views_.push_back({ FleetTable::Servers, 9, false, 6, { { { "s3", 9, "ready" }, false } } });
  member_.OnUpdateFetched(now_, news);
  EXPECT_NE(member_.Directory().Find("s3"), nullptr);
  Pass(milliseconds(50));
  EXPECT_EQ(fleet_.following_, StorePollMode::Off);
  EXPECT_FALSE(fleet_.hasFollowedAlone_);
}

TEST_F(ReaderOfALargeFleet, PlacerTellsWhatChanges_ConfigurationIsFollowed)
{
  EXPECT_EQ(fleet_.following_, StorePollMode::ConfigurationOnly);
  EXPECT_EQ(member_.UpdateSince(now_, { 5, 6, 7 }).storeReachability_,
            StoreReachability::Reachable);
}

TEST_F(ReaderOfALargeFleet, ConfigurationChanges_ItsHallIsTold)
{
  Show(FleetTable::Configuration, 30, { { "config", 29, "2" } });
  std::set<std::string> told;
  for (const auto& [address, news] : fleet_.news_) {
    told.insert(address);
    EXPECT_EQ(news.views_.front().base_, 5U);
  }
  // Half of the others.
  EXPECT_EQ(told.size(), static_cast<std::size_t>(kOthers / 2));
  EXPECT_TRUE(told.contains(AddressOf(4)));
}

// The other instances of its hall rely on a reader: a poll that waits for seconds would hide that
// the store rejects it.
TEST_F(ReaderOfALargeFleet, PlacerAnswersSlowly_StoreIsFollowedClosely)
{
  member_.OnReportAnswered(now_, ReportAnswer{ true, {}, { 5, 6, 7 } }, milliseconds(250));
  Pass(milliseconds(50));
  EXPECT_EQ(fleet_.following_, StorePollMode::ShortWaits);
}

} // namespace

} // namespace latchslip
