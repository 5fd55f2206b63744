#include "LibFleet/FleetRoster.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

FleetPeer
PeerOf(int aNumber)
{
  // Five halls; every seventh instance is strong.
  return { "10.0.0." + std::to_string(aNumber) + ":9",
           "hall-" + std::to_string(aNumber % 5),
           aNumber % 7 == 0 ? 0.5 : 0.1 };
}

// The roster of a placer of several hundred instances, and that of an instance that receives its
// changes.
class RosterOfALargeFleet : public testing::Test
{
protected:
  static constexpr int kInstances = 295;

  RosterOfALargeFleet()
  {
    for (int number = 0; number < kInstances; ++number) {
      placers_.Put(PeerOf(number));
    }
    others_.Apply(placers_.ChangesSince(others_.Digest()));
  }

  FleetRoster placers_;
  FleetRoster others_;
};

TEST_F(RosterOfALargeFleet, ReporterHasTheSameRoster_GetsNoChange)
{
  EXPECT_EQ(others_.Digest(), placers_.Digest());
  EXPECT_TRUE(placers_.ChangesSince(others_.Digest()).IsEmpty());
}

TEST_F(RosterOfALargeFleet, OneLeavesAndOneJoins_ReporterGetsTheseTwoChanges)
{
  placers_.Remove(PeerOf(3).address_);
  placers_.Put(PeerOf(kInstances));
  const auto change = placers_.ChangesSince(others_.Digest());
  EXPECT_EQ(change, (RosterChange{ false, { PeerOf(kInstances) }, { PeerOf(3).address_ } }));
  others_.Apply(change);
  EXPECT_EQ(others_.Peers(), placers_.Peers());
  EXPECT_EQ(others_.Digest(), placers_.Digest());
}

TEST_F(RosterOfALargeFleet, AnotherBecomesThePlacer_ItSendsOnlyTheDifference)
{
  auto nexts = others_;
  nexts.Remove(PeerOf(0).address_);
  EXPECT_EQ(nexts.ChangesSince(others_.Digest()),
            (RosterChange{ false, {}, { PeerOf(0).address_ } }));
}

TEST_F(RosterOfALargeFleet, DigestIsNotKnown_ReporterGetsTheWholeRoster)
{
  const auto change = placers_.ChangesSince(12345);
  EXPECT_TRUE(change.isWhole_);
  EXPECT_EQ(change.joined_.size(), static_cast<std::size_t>(kInstances));
  FleetRoster other;
  other.Put({ "10.9.9.9:9", "hall-1", 1 });
  other.Apply(change);
  EXPECT_EQ(other.Peers(), placers_.Peers());
}

TEST_F(RosterOfALargeFleet, InstanceLeavesAndReturns_NothingHasChanged)
{
  placers_.Remove(PeerOf(3).address_);
  placers_.Put(PeerOf(3));
  EXPECT_TRUE(placers_.ChangesSince(others_.Digest()).IsEmpty());
}

TEST_F(RosterOfALargeFleet, ReadersAreChosen_AllAgreeOnTwoStrongOnesAHall)
{
  const auto readers = placers_.ReadersByProximity("hall-2");
  ASSERT_EQ(readers.size(), 10U);
  EXPECT_EQ(readers, others_.ReadersByProximity("hall-2"));
  EXPECT_EQ(readers[0].hall_, "hall-2");
  EXPECT_EQ(readers[1].hall_, "hall-2");
  for (const auto& reader : readers) {
    EXPECT_EQ(reader.processorShare_, 0.5);
    EXPECT_TRUE(others_.IsReader(reader.address_));
  }
}

TEST_F(RosterOfALargeFleet, ReaderLeaves_AnotherOfItsHallTakesItsPlace)
{
  const auto reader = placers_.ReadersByProximity("hall-2").front();
  placers_.Remove(reader.address_);
  const auto readers = placers_.ReadersByProximity("hall-2");
  EXPECT_EQ(readers.size(), 10U);
  EXPECT_EQ(readers[1].hall_, "hall-2");
  EXPECT_FALSE(placers_.IsReader(reader.address_));
}

TEST(FleetRoster, FleetIsSmall_HasNoReaders)
{
  FleetRoster roster;
  for (int number = 0; number < 12; ++number) {
    roster.Put(PeerOf(number));
  }
  EXPECT_FALSE(roster.HasReaders());
  EXPECT_TRUE(roster.ReadersByProximity("hall-1").empty());
}

} // namespace

} // namespace latchslip
