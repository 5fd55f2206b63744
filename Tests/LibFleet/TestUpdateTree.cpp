#include "LibFleet/UnresponsivePeers.h"
#include "LibFleet/UpdateTree.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <set>

namespace latchslip {

namespace {

// Simulates the distribution of a placer's update in a fleet of several hundred instances in five
// halls, some of which accept no messages.
class UpdateInALargeFleet : public testing::Test
{
protected:
  static constexpr int kInstances = 295;

  UpdateInALargeFleet()
  {
    for (int number = 0; number < kInstances; ++number) {
      peers_.push_back({ "10.0.0." + std::to_string(number) + ":9",
                         "hall-" + std::to_string(number % 5),
                         number % 7 == 0 ? 0.5 : 0.1 });
    }
  }

  // Delivers a message and those forwarded from it. A sender whose message is not accepted sends it
  // to the addresses in the receiver's branch itself.
  void Deliver(const std::string& aFrom, const UpdateBranch& aBranch, int aDepth)
  {
    ++sent_[aFrom];
    crossings_ += HallOf(aFrom) == HallOf(aBranch.to_) ? 0 : 1;
    const bool isAccepted = !silent_.contains(aBranch.to_);
    if (isAccepted) {
      ++reached_[aBranch.to_];
      depth_ = std::max(depth_, aDepth);
    }
    for (const auto& onward : SplitForwarding(aBranch.forwardTo_)) {
      Deliver(isAccepted ? aBranch.to_ : aFrom, onward, aDepth + 1);
    }
  }

  void Broadcast()
  {
    for (const auto& branch : PlanUpdateTree(peers_, peers_.front())) {
      Deliver(peers_.front().address_, branch, 1);
    }
  }

  std::string HallOf(const std::string& aAddress) const
  {
    const auto peer = std::find_if(peers_.begin(), peers_.end(), [&](const FleetPeer& aPeer) {
      return aPeer.address_ == aAddress;
    });
    return peer->hall_;
  }

  std::vector<FleetPeer> peers_;
  std::set<std::string> silent_;
  std::map<std::string, int> sent_;
  std::map<std::string, int> reached_;
  int crossings_ = 0;
  int depth_ = 0;
};

TEST_F(UpdateInALargeFleet, AllAcceptIt_EachGetsItOnceAndNoneSendsManyMessages)
{
  Broadcast();
  EXPECT_EQ(reached_.size(), static_cast<std::size_t>(kInstances - 1));
  for (const auto& [address, times] : reached_) {
    EXPECT_EQ(times, 1) << address;
  }
  for (const auto& [address, count] : sent_) {
    EXPECT_LE(count, 12) << address;
  }
  EXPECT_EQ(crossings_, 4);
  EXPECT_LE(depth_, 3);
}

TEST_F(UpdateInALargeFleet, SomeAreUnresponsive_AllOthersGetIt)
{
  for (int number = 7; number < kInstances; number += 3) {
    silent_.insert(peers_[static_cast<std::size_t>(number)].address_);
  }
  Broadcast();
  EXPECT_EQ(reached_.size(), kInstances - 1 - silent_.size());
  EXPECT_LE(depth_, 6);
}

TEST_F(UpdateInALargeFleet, SentToAPart_NoOtherInstanceGetsIt)
{
  const std::vector<FleetPeer> some(peers_.begin() + 100, peers_.begin() + 140);
  for (const auto& branch : PlanUpdateTree(some, peers_.front())) {
    Deliver(peers_.front().address_, branch, 1);
  }
  EXPECT_EQ(reached_.size(), some.size());
  for (const auto& peer : some) {
    EXPECT_EQ(reached_[peer.address_], 1);
  }
}

// Guards against duties of an instance whose link is full long before its processor is busy.
TEST(DutyCapacity, LinkIsNarrow_CountsForLessThanTheProcessor)
{
  EXPECT_EQ(DutyCapacity(0.5, 200), 0.5);
  EXPECT_EQ(DutyCapacity(0.25, 10), 0.1);
  EXPECT_EQ(DutyCapacity(0.1, 10), 0.1);
  EXPECT_EQ(DutyCapacity(0.25, 0), 0.25);
}

TEST(UpdateTree, StrongInstancesHaveNarrowLinks_WideOneForwardsInItsHall)
{
  std::vector<FleetPeer> peers;
  for (int number = 0; number < 20; ++number) {
    peers.push_back({ "10.0.0." + std::to_string(number) + ":9", "far", 0.25, 10 });
  }
  peers.push_back({ "10.0.1.1:9", "far", 0.2, 200 });
  const auto branches = PlanUpdateTree(peers, { "10.0.2.1:9", "near", 0.5, 200 });
  ASSERT_EQ(branches.size(), 1U);
  EXPECT_EQ(branches.front().to_, "10.0.1.1:9");
}

TEST(UpdateTree, FleetIsSmall_EachGetsItDirectly)
{
  const std::vector<FleetPeer> peers{ { "a:1", "x", 1 }, { "b:1", "y", 1 }, { "c:1", "y", 1 } };
  EXPECT_EQ(PlanUpdateTree(peers, peers[0]),
            (std::vector<UpdateBranch>{ { "b:1", {} }, { "c:1", {} } }));
}

TEST(UnresponsivePeers, MessageIsNotAccepted_InstanceIsAvoidedForAWhile)
{
  const Instant now = seconds(100);
  UnresponsivePeers peers;
  peers.OnSent(now, "a:1", false);
  EXPECT_TRUE(peers.IsUnresponsive(now + milliseconds(1900), "a:1"));
  EXPECT_FALSE(peers.IsUnresponsive(now, "b:1"));
  EXPECT_FALSE(peers.IsUnresponsive(now + milliseconds(2000), "a:1"));
}

TEST(UnresponsivePeers, MessageIsAcceptedAgain_InstanceIsUsedAtOnce)
{
  const Instant now = seconds(100);
  UnresponsivePeers peers;
  peers.OnSent(now, "a:1", false);
  peers.OnSent(now + milliseconds(700), "a:1", true);
  EXPECT_FALSE(peers.IsUnresponsive(now + milliseconds(700), "a:1"));
}

TEST(UpdateMessage, Serialized_RoundTrips)
{
  const auto read = DecodeUpdateMessage(EncodeUpdateMessage({ "a:1", "b:2" }, "{\n}")).value();
  EXPECT_EQ(read.forwardTo_, (std::vector<std::string>{ "a:1", "b:2" }));
  EXPECT_EQ(read.update_, "{\n}");
  EXPECT_TRUE(DecodeUpdateMessage(EncodeUpdateMessage({}, "{}")).value().forwardTo_.empty());
  EXPECT_FALSE(DecodeUpdateMessage("{}"));
}

} // namespace

} // namespace latchslip
