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

} // namespace

} // namespace latchslip
