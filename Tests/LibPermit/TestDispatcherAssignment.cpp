#include "LibPermit/DispatcherAssignment.h"

#include <gtest/gtest.h>
#include <set>

namespace latchslip {

namespace {

std::map<std::string, FleetPeer>
MakePeers(int aStrong, int aWeak)
{
  std::map<std::string, FleetPeer> peers;
  for (int index = 0; index < aStrong + aWeak; ++index) {
    const auto address = "10.0.0." + std::to_string(index) + ":9";
    peers[address] = { address, "hall", index < aStrong ? 0.5 : 0.1 };
  }
  return peers;
}

const std::vector<std::string> kServices{ "a", "b", "c", "d" };

TEST(DispatcherAssignment, NoInstanceIsKnown_ThereIsNoDispatcher)
{
  DispatcherAssignment assignment;
  assignment.Assign({}, kServices);
  EXPECT_TRUE(assignment.CandidatesFor("a").empty());
  EXPECT_TRUE(assignment.CandidatesFor("unknown").empty());
}

TEST(DispatcherAssignment, SomeInstancesAreStrong_OnlyTheyAreDispatchersOfOneServiceEach)
{
  DispatcherAssignment assignment;
  assignment.Assign(MakePeers(6, 40), kServices);
  std::set<std::string> dispatchers;
  const auto peers = MakePeers(6, 40);
  for (const auto& service : kServices) {
    for (const auto& candidate : assignment.CandidatesFor(service)) {
      EXPECT_EQ(peers.at(candidate).processorShare_, 0.5);
    }
    dispatchers.insert(assignment.CandidatesFor(service).front());
  }
  EXPECT_EQ(dispatchers.size(), kServices.size());
}

// Guards against a dispatcher whose event loop is idle while its answers wait behind its link.
TEST(DispatcherAssignment, StrongInstancesHaveNarrowLinks_AreNotDispatchersWhileWideOnesExist)
{
  std::map<std::string, FleetPeer> peers;
  for (const auto& [address, peer] : MakePeers(23, 50)) {
    const bool isWide = peers.size() < 6;
    peers[address] = peer;
    peers[address].linkMbps_ = isWide ? 200 : 10;
    peers[address].processorShare_ = isWide ? 0.5 : 0.25;
  }
  DispatcherAssignment assignment;
  assignment.Assign(peers, kServices);
  for (const auto& service : kServices) {
    for (const auto& candidate : assignment.CandidatesFor(service)) {
      EXPECT_EQ(peers.at(candidate).linkMbps_, 200);
    }
  }
}

TEST(DispatcherAssignment, AllLinksAreWideEnough_AssignmentIsByProcessorAlone)
{
  auto peers = MakePeers(6, 40);
  DispatcherAssignment without;
  without.Assign(peers, kServices);
  for (auto& [address, peer] : peers) {
    peer.linkMbps_ = peer.processorShare_ == 0.5 ? 200 : 10;
  }
  DispatcherAssignment with;
  with.Assign(peers, kServices);
  for (const auto& service : kServices) {
    EXPECT_EQ(with.CandidatesFor(service), without.CandidatesFor(service));
  }
}

TEST(DispatcherAssignment, FewerInstancesThanServices_EachServiceHasADispatcher)
{
  DispatcherAssignment assignment;
  assignment.Assign(MakePeers(1, 0), kServices);
  for (const auto& service : kServices) {
    EXPECT_EQ(assignment.CandidatesFor(service), std::vector<std::string>{ "10.0.0.0:9" });
  }
}

TEST(DispatcherAssignment, OneInstanceLeaves_ServicesOfOthersAreNotMoved)
{
  DispatcherAssignment before;
  before.Assign(MakePeers(12, 0), { "a" });
  auto peers = MakePeers(12, 0);
  const auto dispatcher = before.CandidatesFor("a").front();
  const auto second = before.CandidatesFor("a").at(1);
  peers.erase(dispatcher == "10.0.0.3:9" ? "10.0.0.4:9" : "10.0.0.3:9");
  DispatcherAssignment after;
  after.Assign(peers, { "a" });
  EXPECT_EQ(after.CandidatesFor("a").front(), dispatcher);
  peers.erase(dispatcher);
  after.Assign(peers, { "a" });
  EXPECT_EQ(after.CandidatesFor("a").front(),
            peers.contains(second) ? second : after.CandidatesFor("a").front());
}

// Six eligible instances, four of which share the shards of "keyed".
class AssignmentOfShards : public testing::Test
{
protected:
  static constexpr std::size_t kDispatchers = 4;

  using ByShard = std::vector<std::string>;

  // The dispatcher of each shard of "keyed".
  static ByShard Dispatchers(const std::map<std::string, FleetPeer>& aPeers,
                             std::size_t aDispatchers = kDispatchers)
  {
    DispatcherAssignment assignment;
    assignment.Assign(aPeers, { "keyed", "plain" }, { { "keyed", aDispatchers } });
    ByShard dispatchers;
    for (ShardNumber shard = 0; shard < kPermitShards; ++shard) {
      dispatchers.push_back(assignment.CandidatesFor("keyed", shard).at(0));
    }
    return dispatchers;
  }

  static std::set<std::string> Instances(const ByShard& aDispatchers)
  {
    return { aDispatchers.begin(), aDispatchers.end() };
  }
};

// Guards against instances that ask different dispatchers although they have the same roster.
TEST_F(AssignmentOfShards, ServicesInAnotherOrder_AssignmentIsTheSame)
{
  DispatcherAssignment other;
  other.Assign(MakePeers(6, 40), { "plain", "keyed" }, { { "keyed", kDispatchers } });
  const auto dispatchers = Dispatchers(MakePeers(6, 40));
  for (ShardNumber shard = 0; shard < kPermitShards; ++shard) {
    EXPECT_EQ(other.CandidatesFor("keyed", shard).at(0), dispatchers[shard]);
  }
  EXPECT_TRUE(other.CandidatesFor("keyed", kPermitShards).empty());
}

// Guards against all permits of a service going over one link.
TEST_F(AssignmentOfShards, ServiceNeedsFourDispatchers_ShardsAreSharedByFourStrongInstances)
{
  const auto peers = MakePeers(6, 40);
  const auto instances = Instances(Dispatchers(peers));
  EXPECT_EQ(instances.size(), kDispatchers);
  for (const auto& instance : instances) {
    EXPECT_EQ(peers.at(instance).processorShare_, 0.5);
  }
}

TEST_F(AssignmentOfShards, FewerEligibleInstancesThanDispatchers_AllOfThemShareTheShards)
{
  EXPECT_EQ(Instances(Dispatchers(MakePeers(2, 40))).size(), 2U);
  EXPECT_EQ(Instances(Dispatchers(MakePeers(1, 0))).size(), 1U);
}

TEST_F(AssignmentOfShards, ServiceWithoutShards_GetsAnInstanceWithoutThem)
{
  DispatcherAssignment assignment;
  assignment.Assign(MakePeers(6, 40), { "a", "keyed" }, { { "keyed", kDispatchers } });
  EXPECT_FALSE(
    Instances(Dispatchers(MakePeers(6, 40))).contains(assignment.CandidatesFor("a").at(0)));
}

TEST_F(AssignmentOfShards, OneDispatcherIsNeeded_EachShardHasFourDistinctCandidates)
{
  DispatcherAssignment assignment;
  assignment.Assign(MakePeers(6, 40), { "keyed" }, { { "keyed", 1 } });
  for (ShardNumber shard = 0; shard < kPermitShards; ++shard) {
    const auto& candidates = assignment.CandidatesFor("keyed", shard);
    EXPECT_EQ(Instances(candidates).size(), 4U);
    EXPECT_EQ(candidates.front(), assignment.CandidatesFor("keyed", 0).front());
  }
}

// Guards against a loss that moves the queues of dispatchers that are not lost.
TEST_F(AssignmentOfShards, DispatcherLeavesTheRoster_NoShardMovesBetweenTheOthers)
{
  const auto before = Dispatchers(MakePeers(6, 40));
  for (const auto& lost : Instances(before)) {
    auto peers = MakePeers(6, 40);
    peers.erase(lost);
    const auto after = Dispatchers(peers);
    for (ShardNumber shard = 0; shard < kPermitShards; ++shard) {
      const bool hasEntered = !Instances(before).contains(after[shard]);
      EXPECT_TRUE(before[shard] == lost || before[shard] == after[shard] || hasEntered) << lost;
    }
  }
}

TEST_F(AssignmentOfShards, DispatcherLeavesAndNoOtherIsEligible_OnlyItsShardsMove)
{
  const auto before = Dispatchers(MakePeers(4, 40));
  for (const auto& lost : Instances(before)) {
    auto peers = MakePeers(4, 40);
    peers.erase(lost);
    const auto after = Dispatchers(peers);
    for (ShardNumber shard = 0; shard < kPermitShards; ++shard) {
      EXPECT_TRUE(before[shard] == lost || before[shard] == after[shard]) << lost;
    }
  }
}

TEST_F(AssignmentOfShards, OneMoreDispatcherIsNeeded_ShardsMoveOnlyToIt)
{
  for (std::size_t count = 1; count < 6; ++count) {
    const auto before = Dispatchers(MakePeers(6, 40), count);
    const auto after = Dispatchers(MakePeers(6, 40), count + 1);
    std::set<std::string> movedTo;
    for (ShardNumber shard = 0; shard < kPermitShards; ++shard) {
      if (before[shard] != after[shard]) {
        movedTo.insert(after[shard]);
      }
    }
    EXPECT_LE(movedTo.size(), 1U);
    for (const auto& instance : movedTo) {
      EXPECT_FALSE(Instances(before).contains(instance));
    }
  }
}

} // namespace

} // namespace latchslip
