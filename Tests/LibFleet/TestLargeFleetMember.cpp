#include "FleetMemberFixture.h"

#include <set>

namespace latchslip {

namespace {

// An instance of a large fleet in two halls. The two strongest instances of each hall are its
// readers.
class MemberOfALargeFleet : public FleetMemberTest
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
    Advance(milliseconds(50));
    Answer({ 5, 6, 7 });
    Advance(milliseconds(50));
    fleet_.hasPolledWithLongWaits_ = false;
  }

  void Answer(const TableVersions& aVersions)
  {
    member_.OnReportAnswered(now_, ReportAnswer{ true, roster_, aVersions });
  }

  // Answers every fetch within aTime with that reachability of the store.
  void AnswerFetches(Duration aTime, StoreReachability aReachability)
  {
    FleetUpdate update;
    update.storeReachability_ = aReachability;
    const auto end = now_ + aTime;
    while (now_ < end) {
      const auto fetches = fleet_.fetches_.size();
      Advance(milliseconds(50));
      if (fleet_.fetches_.size() > fetches) {
        member_.OnUpdateFetched(now_, update);
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

TEST_F(MemberOfALargeFleet, PlacerSendsUpdates_DoesNotPollTheStore)
{
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::Off);
}

TEST_F(MemberOfALargeFleet, PlacerAnswersSlowly_DoesNotPollTheStore)
{
  for (int round = 0; round < 20; ++round) {
    Advance(milliseconds(500));
    member_.OnReportAnswered(now_, ReportAnswer{ true, {}, { 5, 6, 7 } }, milliseconds(250));
  }
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::Off);
}

TEST_F(MemberOfALargeFleet, PlacerFallsSilentAndReadersAnswer_DoesNotPollTheStore)
{
  member_.OnReportAnswered(now_, std::nullopt);
  AnswerFetches(milliseconds(1500), StoreReachability::Reachable);
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::Off);
  ASSERT_GE(fleet_.fetches_.size(), 3U);
  for (const auto& address : fleet_.fetches_) {
    EXPECT_TRUE(address == AddressOf(0) || address == AddressOf(2)) << address;
  }
}

TEST_F(MemberOfALargeFleet, PlacerAndReadersFallSilent_PollsTheStore)
{
  member_.OnReportAnswered(now_, std::nullopt);
  Advance(milliseconds(600));
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::Off);
  Advance(milliseconds(200));
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::LongWaits);
  EXPECT_EQ(fleet_.pollFrom_, (TableVersions{ 5, 6, 7 }));
}

TEST_F(MemberOfALargeFleet, StoreIsDownForAll_OnlyReadersPollIt)
{
  FleetUpdate update;
  update.pausesUpdates_ = true;
  member_.OnUpdate(now_, update);
  AnswerFetches(seconds(5), StoreReachability::Unreachable);
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::Off);
  EXPECT_TRUE(fleet_.transactions_.empty());
  EXPECT_TRUE(fleet_.isStale_);
  AnswerFetches(milliseconds(600), StoreReachability::Reachable);
  EXPECT_FALSE(fleet_.isStale_);
}

TEST_F(MemberOfALargeFleet, FetchedFromANonReader_PollsTheStore)
{
  member_.OnReportAnswered(now_, std::nullopt);
  AnswerFetches(milliseconds(800), StoreReachability::NotPolling);
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::LongWaits);
}

TEST_F(MemberOfALargeFleet, UpdateIsFetchedFromIt_StatesThatItDoesNotPollTheStore)
{
  EXPECT_EQ(member_.UpdateSince(now_, { 5, 6, 7 }).storeReachability_,
            StoreReachability::NotPolling);
  EXPECT_TRUE(member_.UpdateSince(now_, { 5, 6, 7 }).views_.empty());
}

TEST_F(MemberOfALargeFleet, UpdateWasMissed_FetchesItFromReaders)
{
  Answer({ 5, 9, 7 });
  Advance(milliseconds(500));
  ASSERT_FALSE(fleet_.fetches_.empty());
  FleetUpdate update;
  update.storeReachability_ = StoreReachability::Reachable;
  update.views_.push_back(
    { FleetTable::Servers, 9, false, 6, { { { "s3", 9, "ready" }, false } } });
  member_.OnUpdateFetched(now_, update);
  EXPECT_NE(member_.Directory().Find("s3"), nullptr);
  Advance(milliseconds(50));
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::Off);
  EXPECT_FALSE(fleet_.hasPolledWithLongWaits_);
}

TEST_F(ReaderOfALargeFleet, PlacerSendsUpdates_PollsOnlyTheConfiguration)
{
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::ConfigurationOnly);
  EXPECT_EQ(member_.UpdateSince(now_, { 5, 6, 7 }).storeReachability_,
            StoreReachability::Reachable);
}

TEST_F(ReaderOfALargeFleet, ConfigurationChanges_SendsItToItsHall)
{
  Show(FleetTable::Configuration, 30, { { "config", 29, "2" } });
  std::set<std::string> receivers;
  for (const auto& [address, update] : fleet_.updates_) {
    receivers.insert(address);
    EXPECT_EQ(update.views_.front().base_, 5U);
  }
  // Half of the others.
  EXPECT_EQ(receivers.size(), static_cast<std::size_t>(kOthers / 2));
  EXPECT_TRUE(receivers.contains(AddressOf(4)));
}

// The other instances of its hall rely on a reader: a poll that waits for seconds would hide that
// the store rejects it.
TEST_F(ReaderOfALargeFleet, PlacerAnswersSlowly_PollsWithShortWaits)
{
  member_.OnReportAnswered(now_, ReportAnswer{ true, {}, { 5, 6, 7 } }, milliseconds(250));
  Advance(milliseconds(50));
  EXPECT_EQ(fleet_.pollMode_, StorePollMode::ShortWaits);
}

} // namespace

} // namespace latchslip
