#include "PlacerWorld.h"

#include <algorithm>

namespace latchslip {

namespace {

class PlacedKeysOfThreeServers : public testing::Test
{
protected:
  PlacedKeysOfThreeServers()
  {
    for (const auto* id : { "s1", "s2", "s3" }) {
      world_.AddServer(id, std::string(id) + ":80");
    }
    placer_ = &world_.TakeOver();
    world_.Pass(seconds(4));
  }

  // Restores the store from a copy and replaces the placer.
  PlacerWorld::Placer& TakeOverFromCopy()
  {
    world_.TakeCopy();
    world_.ReturnFromCopy();
    auto& former = *world_.placers_.back();
    auto& next = world_.TakeOver();
    world_.Stop(former);
    return next;
  }

  void ExpectAllServed() const { EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks); }

  // Time until all keys are served again, one minute at most. The simulation stops after a failure.
  Duration TimeUntilServed()
  {
    const auto begin = world_.now_;
    while (world_.ServedKeys() < PlacerWorld::kBlocks && world_.now_ - begin < seconds(60) &&
           !HasFailure()) {
      world_.Pass(milliseconds(50));
    }
    return world_.now_ - begin;
  }

  PlacerWorld world_;
  PlacerWorld::Placer* placer_ = nullptr;
};

TEST_F(PlacedKeysOfThreeServers, Started_EveryKeyIsServed)
{
  ExpectAllServed();
}

TEST_F(PlacedKeysOfThreeServers, TimePasses_GrantsAreRenewedAndNothingIsWritten)
{
  const auto changes = world_.changes_;
  world_.Pass(seconds(30));
  ExpectAllServed();
  EXPECT_EQ(world_.changes_, changes);
}

TEST_F(PlacedKeysOfThreeServers, TimePasses_RenewalsOfOneServerAreSequential)
{
  world_.Pass(seconds(3));
  world_.maxOutstanding_ = 0;
  world_.Pass(seconds(10));
  EXPECT_EQ(world_.maxOutstanding_, 1U);
  ExpectAllServed();
}

// Guards against the first grant of a range counting as a renewal, whose answer decides less.
TEST_F(PlacedKeysOfThreeServers, TimePasses_OnlyAcknowledgedGrantsCountAsRenewals)
{
  EXPECT_GT(world_.firstGrants_, 0U);
  world_.firstGrants_ = 0;
  world_.Pass(seconds(10));
  EXPECT_EQ(world_.firstGrants_, 0U);
  world_.servers_.at("s1").isLeaving_ = true;
  world_.Pass(seconds(1));
  EXPECT_GT(world_.firstGrants_, 0U);
}

TEST_F(PlacedKeysOfThreeServers, StoreIsDown_GrantsAreRenewed)
{
  world_.isStoreDown_ = true;
  world_.Pass(seconds(20));
  ExpectAllServed();
}

TEST_F(PlacedKeysOfThreeServers, ServerLeaves_KeysMoveAtOnce)
{
  world_.servers_.at("s1").isLeaving_ = true;
  world_.Pass(milliseconds(100));
  EXPECT_LT(TimeUntilServed(), milliseconds(500));
}

TEST_F(PlacedKeysOfThreeServers, ServerIsSilentAndUnlisted_KeysMoveAfterItsGrantsExpire)
{
  auto& lost = world_.servers_.at("s1");
  lost.isPartitioned_ = true;
  lost.isListed_ = false;
  world_.Pass(milliseconds(100));
  const auto time = TimeUntilServed();
  EXPECT_GT(time, seconds(3));
  EXPECT_LT(time, seconds(6));
}

TEST_F(PlacedKeysOfThreeServers, KeysOfASilentServerWait_OthersAreRebalancedMeanwhile)
{
  auto& lost = world_.servers_.at("s1");
  lost.isPartitioned_ = true;
  lost.isListed_ = false;
  world_.Pass(milliseconds(200));
  std::vector<KeyCount> counts;
  for (const auto& range : world_.stored_->ranges_) {
    if (range.owner_ == "s2" && range.previous_.empty()) {
      counts.push_back({ range.first_, 100 });
    }
  }
  placer_->placer_.OnLoad(world_.now_, counts);
  world_.Pass(milliseconds(1500));
  std::size_t passedOn = 0;
  for (const auto& [key, count] : counts) {
    passedOn += world_.stored_->Find(key)->owner_ == "s3" ? 1 : 0;
  }
  EXPECT_GT(3 * passedOn, counts.size());
}

TEST_F(PlacedKeysOfThreeServers, PlacerTakesOver_LoadIsRebalancedOnlyAfterAllReports)
{
  world_.Stop(*placer_);
  placer_ = &world_.TakeOver();
  placer_->placer_.OnLoad(world_.now_, { { 5, 1000 }, { 300, 1000 }, { 10, 1000 } });
  const auto ownerOf = [&](KeyNumber aKey) { return world_.stored_->Find(aKey)->owner_; };
  const std::vector<std::string> owners{ ownerOf(5), ownerOf(300), ownerOf(10) };
  world_.Pass(milliseconds(900));
  EXPECT_EQ(owners, (std::vector{ ownerOf(5), ownerOf(300), ownerOf(10) }));
  world_.Pass(milliseconds(400));
  EXPECT_NE(owners, (std::vector{ ownerOf(5), ownerOf(300), ownerOf(10) }));
}

TEST_F(PlacedKeysOfThreeServers, NewIncarnationHasTheAddress_KeysMoveAtOnce)
{
  world_.servers_.at("s1").isUp_ = false;
  world_.servers_.at("s1").isListed_ = false;
  world_.AddServer("s4", "s1:80");
  world_.Pass(milliseconds(100));
  EXPECT_LT(TimeUntilServed(), milliseconds(500));
}

TEST_F(PlacedKeysOfThreeServers, ServerWithoutKeysHasTheAddress_KeysMoveAtOnce)
{
  world_.servers_.at("s1").isUp_ = false;
  world_.servers_.at("s1").isListed_ = false;
  world_.AddServer("s4", "s1:80").hasNoKeys_ = true;
  world_.Pass(milliseconds(100));
  EXPECT_LT(TimeUntilServed(), milliseconds(500));
}

// Guards against two holders of a key: a record of a former server that is written late is listed
// at the address of a living one, which holds its keys until it has released them.
TEST_F(PlacedKeysOfThreeServers, FormerServerIsListedLateAtAnAddress_LivingOneReleasesItsKeysFirst)
{
  world_.AddServer("s4", "s1:80").isUp_ = false;
  world_.Pass(seconds(3));
  EXPECT_TRUE(world_.servers_.at("s4").isProvenEnded_);
  EXPECT_FALSE(world_.servers_.at("s1").isProvenEnded_);
  world_.Pass(seconds(10));
  ExpectAllServed();
}

TEST_F(PlacedKeysOfThreeServers, ServerStartsAgainUnderItsId_HasItsKeysSoonUnderHigherFences)
{
  const auto before = world_.servers_;
  auto& server = world_.servers_.at("s1");
  server.isUp_ = false;
  world_.Pass(milliseconds(300));
  PlacerWorld::Restart(server);
  world_.Pass(milliseconds(700));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
  for (const auto& [id, former] : before) {
    for (const auto& [key, holding] : former.held_) {
      const auto fence = world_.servers_.at(id).held_.at(key).fence_;
      EXPECT_EQ(fence > holding.fence_, id == "s1");
    }
  }
}

// Guards against granting the keys to a restarted server under the fence of its earlier
// incarnation, and against keys that wait for the store without need.
TEST_F(PlacedKeysOfThreeServers, ServerStartsAgainWhileTheStoreIsDown_HasItsKeysSoon)
{
  world_.isStoreDown_ = true;
  PlacerWorld::Restart(world_.servers_.at("s1"));
  world_.Pass(milliseconds(500));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

TEST_F(PlacedKeysOfThreeServers, ServersStartAgainTwiceInARow_AllKeysAreServed)
{
  PlacerWorld::Restart(world_.servers_.at("s1"));
  PlacerWorld::Restart(world_.servers_.at("s2"));
  world_.Pass(milliseconds(30));
  PlacerWorld::Restart(world_.servers_.at("s1"));
  world_.Pass(seconds(1));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

// Servers that restart under their ids before their new records are listed. PlacerWorld checks that
// no incarnation gets a key under a fence with which another one had it.
class UnlistedRestarts : public PlacedKeysOfThreeServers
{
protected:
  // Lets the server be down for aTime and restart.
  void Restart(const std::string& aServer, Duration aTime)
  {
    auto& server = world_.servers_.at(aServer);
    server.isUp_ = false;
    world_.Pass(aTime);
    PlacerWorld::RestartUnlisted(server);
  }
};

// Guards against renewals that give a restarted server its keys under the fences of its earlier
// incarnation.
TEST_F(UnlistedRestarts, ServerRestartsAfterAnyTime_KeysAreServedSoonUnderHigherFences)
{
  for (const int downTime : { 10, 50, 250, 500, 1700 }) {
    Restart("s1", milliseconds(downTime));
    const auto time = TimeUntilServed();
    RecordProperty("unowned_ms_after_" + std::to_string(downTime),
                   std::to_string(duration_cast<milliseconds>(time).count()));
    EXPECT_LT(time, milliseconds(2000));
    world_.Pass(milliseconds(2000));
  }
}

TEST_F(UnlistedRestarts, AllServersRestartAtOnce_KeysAreServedSoonUnderHigherFences)
{
  for (auto& [id, server] : world_.servers_) {
    PlacerWorld::RestartUnlisted(server);
  }
  world_.Pass(milliseconds(2000));
  ExpectAllServed();
}

TEST_F(UnlistedRestarts, ServerRestartsTwiceBeforeItIsListed_KeysAreServedSoonUnderHigherFences)
{
  Restart("s1", milliseconds(50));
  world_.Pass(milliseconds(300));
  Restart("s1", milliseconds(50));
  world_.Pass(milliseconds(2000));
  ExpectAllServed();
}

// Guards against a new placer that takes over the fences together with the sessions in which they
// were sent.
TEST_F(UnlistedRestarts, PlacerIsReplacedMeanwhile_KeysAreServedSoonUnderHigherFences)
{
  world_.writeTime_ = milliseconds(100);
  Restart("s1", milliseconds(100));
  world_.Stop(*placer_);
  world_.Pass(milliseconds(200));
  world_.TakeOver();
  world_.Pass(milliseconds(1000));
  ExpectAllServed();
}

// Guards against keys of a restarted server that wait for the store's return.
TEST_F(UnlistedRestarts, StoreIsDown_KeysAreServedSoonUnderHigherFences)
{
  world_.isStoreDown_ = true;
  for (int restart = 0; restart < 3; ++restart) {
    Restart("s1", milliseconds(500));
    const auto time = TimeUntilServed();
    RecordProperty("unowned_ms_of_restart_" + std::to_string(restart),
                   std::to_string(duration_cast<milliseconds>(time).count()));
    EXPECT_LT(time, milliseconds(2000));
    world_.Pass(seconds(3));
    ExpectAllServed();
  }
}

// Guards against a restarted server that keeps its keys waiting when no fence is left for them that
// was written before.
TEST_F(UnlistedRestarts, FencesOfOneWriteAreUsedUp_NextWriteIssuesMore)
{
  const auto changes = world_.changes_;
  for (FenceNumber restart = 0; restart < kFencesPerIssue; ++restart) {
    Restart("s1", milliseconds(10));
    EXPECT_LT(TimeUntilServed(), milliseconds(2000));
  }
  EXPECT_GT(world_.changes_, changes);
  EXPECT_LE(world_.changes_, changes + 2);
}

// Guards against another placer's fences that this one sends to the next incarnation of a server.
TEST_F(UnlistedRestarts, WriteMeetsThatOfAnotherPlacer_KeysAreServedUnderHigherFences)
{
  world_.Stop(*placer_);
  auto& other = world_.TakeOver();
  world_.Pass(milliseconds(1000));
  world_.Stop(other);
  Restart("s1", milliseconds(10));
  placer_->isRunning_ = true;
  world_.Name(*placer_);
  placer_->placer_.OnWriteFailed(world_.now_, *world_.stored_);
  world_.Pass(milliseconds(2000));
  ExpectAllServed();
}

// Guards against a fence that was sent to one incarnation without an answer, and is sent again to
// the next one.
TEST_F(UnlistedRestarts, GrantWasNotAnsweredBeforeTheRestart_NextIncarnationGetsAHigherFence)
{
  auto& server = world_.servers_.at("s1");
  world_.Pass(milliseconds(1000));
  server.respondsLate_ = true;
  world_.Pass(milliseconds(1000));
  server.respondsLate_ = false;
  Restart("s1", milliseconds(50));
  world_.Pass(milliseconds(3000));
  ExpectAllServed();
}

// Guards against a restart that no connection shows, as the machine was without power.
TEST_F(UnlistedRestarts, MachineLosesPower_NextIncarnationGetsHigherFences)
{
  auto& server = world_.servers_.at("s1");
  for (int loss = 0; loss < 5; ++loss) {
    server.isPartitioned_ = true;
    world_.Pass(milliseconds(1500 + 130 * loss));
    server.isPartitioned_ = false;
    ++server.restartsWithoutPower_;
    PlacerWorld::RestartUnlisted(server);
    EXPECT_LT(TimeUntilServed(), milliseconds(2000));
    world_.Pass(milliseconds(2100));
  }
}

// Guards against renewals through another instance, whose connections show no session.
TEST_F(UnlistedRestarts, ServerIsReachedThroughAnotherInstance_NextIncarnationGetsAHigherFence)
{
  world_.servers_.at("s1").isRelayed_ = true;
  world_.Pass(seconds(5));
  ExpectAllServed();
  Restart("s1", milliseconds(50));
  world_.Pass(milliseconds(2000));
  ExpectAllServed();
}

// Guards against a write, or a moment without an owner, whenever a session has ended.
TEST_F(PlacedKeysOfThreeServers, ConnectionsToAServerAreLost_FencesRiseWithoutAWrite)
{
  const auto changes = world_.changes_;
  ++world_.servers_.at("s1").lostConnections_;
  for (int step = 0; step < 40; ++step) {
    world_.Pass(milliseconds(100));
    ExpectAllServed();
  }
  EXPECT_EQ(world_.changes_, changes);
}

TEST_F(PlacedKeysOfThreeServers, LeavingServerRefusesConnections_KeysMoveSoon)
{
  auto& left = world_.servers_.at("s1");
  left.isUp_ = false;
  left.isLeaving_ = true;
  left.isListed_ = false;
  world_.Pass(milliseconds(100));
  EXPECT_LT(TimeUntilServed(), milliseconds(1500));
}

TEST_F(PlacedKeysOfThreeServers, LeavingServerRefusesAndIsThenUnreachable_KeysMoveSoon)
{
  auto& left = world_.servers_.at("s1");
  left.isUp_ = false;
  left.isLeaving_ = true;
  world_.Pass(milliseconds(800));
  left.isPartitioned_ = true;
  world_.Pass(milliseconds(600));
  left.isListed_ = false;
  world_.Pass(milliseconds(100));
  EXPECT_LT(TimeUntilServed(), milliseconds(500));
}

TEST_F(PlacedKeysOfThreeServers, CommandsAreExecutedLate_LateGrantsMeetHigherFences)
{
  world_.servers_.at("s1").respondsLate_ = true;
  world_.Pass(seconds(3));
  world_.servers_.at("s1").respondsLate_ = false;
  world_.servers_.at("s1").isLeaving_ = true;
  world_.Pass(seconds(20));
  ExpectAllServed();
}

TEST_F(PlacedKeysOfThreeServers, SilentServerWithLateCommands_KeysWaitForThem)
{
  auto& server = world_.servers_.at("s1");
  server.respondsLate_ = true;
  world_.Pass(seconds(2));
  server.isPartitioned_ = true;
  server.isListed_ = false;
  world_.Pass(milliseconds(100));
  EXPECT_GT(TimeUntilServed(), seconds(10));
}

TEST_F(PlacedKeysOfThreeServers, OneGrantOfASilentServerIsUnacknowledged_OnlyItsKeysWait)
{
  auto& server = world_.servers_.at("s1");
  server.respondsLate_ = true;
  for (int step = 0; step < 500 && world_.lateCommands_ == 0; ++step) {
    world_.Pass(milliseconds(10));
  }
  const auto late = world_.lateCommands_;
  ASSERT_GT(late, 0U);
  server.respondsLate_ = false;
  server.isPartitioned_ = true;
  server.isListed_ = false;
  world_.Pass(seconds(6));
  // The initial assignment has 64 ranges.
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks - late * PlacerWorld::kBlocks / 64);
  EXPECT_GT(TimeUntilServed(), seconds(6));
}

class PlacedKeysOfManyServers : public testing::Test
{
protected:
  static constexpr int kServers = 128;

  PlacedKeysOfManyServers()
  {
    for (int number = 0; number < kServers; ++number) {
      const auto id = IdOf(number);
      world_.AddServer(id, id + ":80").workTime_ = milliseconds(700);
    }
    world_.TakeOver();
    world_.Pass(seconds(4));
  }

  static std::string IdOf(int aNumber) { return "s" + std::to_string(100 + aNumber); }

  PlacerWorld world_;
};

TEST_F(PlacedKeysOfManyServers, HalfLeaveWhileWorking_AllReleaseInParallel)
{
  for (int number = 0; number < kServers; number += 2) {
    world_.servers_.at(IdOf(number)).isLeaving_ = true;
  }
  // The work in progress, plus the steps before and after it.
  world_.Pass(milliseconds(1100));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

// Guards against servers with a single range whose session ends between two renewals, so that the
// owners are written all the time and no lease outlasts an outage of the store.
TEST_F(PlacedKeysOfManyServers, IdleConnectionsAreClosedSoonerThanGrantsAreRenewed_KeysAreKept)
{
  for (auto& [id, server] : world_.servers_) {
    server.idleTime_ = milliseconds(900);
  }
  world_.Pass(seconds(4));
  const auto changes = world_.changes_;
  world_.isStoreDown_ = true;
  world_.Pass(seconds(20));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
  world_.isStoreDown_ = false;
  world_.Pass(seconds(20));
  EXPECT_EQ(world_.changes_, changes);
}

TEST_F(PlacedKeysOfManyServers, SomeDoNotAnswer_GrantsOfOthersAreRenewed)
{
  for (int number = 0; number < 32; ++number) {
    world_.servers_.at(IdOf(number)).respondsLate_ = true;
  }
  std::size_t least = PlacerWorld::kBlocks;
  for (int step = 0; step < 100; ++step) {
    world_.Pass(milliseconds(100));
    least = std::min(least, world_.ServedKeys());
  }
  EXPECT_GE(least, PlacerWorld::kBlocks * (kServers - 32) / kServers);
}

TEST(OwnershipPlacer, ServerLeavesWhileItsFirstGrantsAreOutstanding_KeysWaitForThem)
{
  PlacerWorld world;
  world.AddServer("s1", "s1:80").respondsLate_ = true;
  // Enough servers that the commands to s1 do not use up the limit of the placer.
  for (const auto* id : { "s2", "s3", "s4", "s5", "s6", "s7", "s8" }) {
    world.AddServer(id, std::string(id) + ":80");
  }
  world.TakeOver();
  // Long enough for the initial assignment, too short for the first grants to time out.
  world.Pass(milliseconds(2200));
  world.servers_.at("s1").isLeaving_ = true;
  world.Pass(seconds(40));
}

TEST_F(PlacedKeysOfThreeServers, PlacerIsKilled_SuccessorRenewsAndMovesNothing)
{
  const auto before = *world_.stored_;
  world_.Stop(*placer_);
  world_.Pass(seconds(2));
  world_.TakeOver();
  world_.Pass(seconds(10));
  ExpectAllServed();
  for (const auto& range : before.ranges_) {
    EXPECT_EQ(world_.stored_->Find(range.first_)->owner_, range.owner_);
  }
}

TEST_F(PlacedKeysOfThreeServers, FormerPlacerContinues_ItsCommandsAreHarmless)
{
  world_.isStoreDown_ = true;
  world_.Pass(seconds(1));
  world_.isStoreDown_ = false;
  world_.TakeOver();
  world_.servers_.at("s2").isLeaving_ = true;
  world_.Pass(seconds(10));
  ExpectAllServed();
}

TEST_F(PlacedKeysOfThreeServers, PlacerIsKilledDuringAMove_SuccessorCompletesIt)
{
  world_.servers_.at("s1").isLeaving_ = true;
  world_.Pass(milliseconds(20));
  world_.Stop(*placer_);
  world_.TakeOver();
  world_.Pass(seconds(2));
  ExpectAllServed();
}

// Guards against dropping the bounds of a former placer's grants too early: a server acknowledges
// the ranges that it still owns while those that it must release wait for their first command,
// because a takeover has more commands due than may be outstanding.
TEST_F(PlacedKeysOfThreeServers, PlacerIsLostWithinAMoveAndReleasesMustWait_KeysWaitForThem)
{
  auto ownership = *world_.stored_;
  for (auto& range : ownership.ranges_) {
    if (range.owner_ == "s1" && range.first_ % 2048 == 0) {
      range.previous_ = std::exchange(range.owner_, "s2");
      range.fence_ = ++ownership.lastFence_;
    }
  }
  world_.Stop(*placer_);
  world_.stored_ = ownership;
  // The first releases are not sent; by the time of the next ones, the grants of s1 are
  // acknowledged.
  world_.releasesUnsentUntil_ = world_.now_ + milliseconds(100);
  world_.TakeOver();
  world_.Pass(seconds(2));
  ExpectAllServed();
}

TEST_F(PlacedKeysOfThreeServers, NewOwnerIsLostDuringAMove_KeysMoveToAnother)
{
  world_.servers_.at("s1").isLeaving_ = true;
  world_.Pass(milliseconds(20));
  world_.servers_.at("s2").isUp_ = false;
  world_.servers_.at("s2").isListed_ = false;
  world_.Pass(seconds(12));
  ExpectAllServed();
}

TEST_F(PlacedKeysOfThreeServers, FormerPlacerHasStopped_KeysOfSilentServerWaitOneLease)
{
  auto& lost = world_.servers_.at("s1");
  lost.isPartitioned_ = true;
  world_.Stop(*placer_);
  world_.Pass(seconds(2));
  world_.TakeOver();
  world_.ReportStopOfFormer();
  lost.isListed_ = false;
  world_.Pass(milliseconds(100));
  EXPECT_LT(TimeUntilServed(), seconds(6));
}

TEST_F(PlacedKeysOfThreeServers, AllServersStopAtOnce_NewOnesServeAllKeys)
{
  for (auto& [id, server] : world_.servers_) {
    server.isUp_ = false;
    server.isListed_ = false;
  }
  world_.Pass(seconds(1));
  world_.AddServer("t1", "s1:80");
  world_.AddServer("t2", "s2:80");
  world_.AddServer("t3", "s3:80");
  world_.Pass(seconds(3));
  ExpectAllServed();
}

// Injects faults in random order; PlacerWorld checks the holders at each step.
class WalkOfFaults : public testing::TestWithParam<std::uint32_t>
{
protected:
  PlacerWorld::Server& AnyServer()
  {
    auto server = world_.servers_.begin();
    std::advance(server, world_.random_() % world_.servers_.size());
    return server->second;
  }

  void InjectFault()
  {
    auto& server = AnyServer();
    switch (world_.random_() % 9) {
      case 0:
        server.isLeaving_ = true;
        break;
      case 1:
        server.isPartitioned_ = !server.isPartitioned_;
        break;
      case 2:
        server.respondsLate_ = !server.respondsLate_;
        break;
      case 3:
        server.isListed_ = !server.isListed_ && server.isUp_;
        break;
      case 4:
        server.isUp_ = false;
        server.held_.clear();
        server.isListed_ = world_.random_() % 2 == 0;
        break;
      case 5:
        EndAllAt(server.address_);
        Join(server.address_);
        break;
      case 6:
        world_.isStoreDown_ = !world_.isStoreDown_;
        break;
      case 7:
        KillPlacer();
        break;
      default:
        Join("n" + std::to_string(joined_) + ":80");
        break;
    }
  }

  void EndAllAt(const std::string& aAddress)
  {
    for (auto& [id, server] : world_.servers_) {
      if (server.address_ == aAddress) {
        server.isUp_ = false;
        server.isListed_ = false;
      }
    }
  }

  void Join(const std::string& aAddress)
  {
    // Ids increase, which identifies the later of two incarnations at one address.
    world_.AddServer("t" + std::to_string(1000 + ++joined_), aAddress);
  }

  void KillPlacer()
  {
    if (world_.isStoreDown_) {
      return;
    }
    world_.Stop(*world_.placers_.back());
    world_.Pass(seconds(2));
    world_.TakeOver();
    world_.ReportStopOfFormer();
  }

  PlacerWorld world_{ GetParam() };
  int joined_ = 0;
};

TEST_P(WalkOfFaults, AnyOrderOfFaults_NoKeyHasTwoHolders)
{
  for (const auto* id : { "s1", "s2", "s3", "s4" }) {
    world_.AddServer(id, std::string(id) + ":80");
  }
  world_.TakeOver();
  world_.Pass(seconds(4));
  for (int step = 0; step < 60 && !HasFailure(); ++step) {
    InjectFault();
    world_.Pass(milliseconds(50 + world_.random_() % 1500));
  }
  // All keys are served again after the faults end.
  world_.isStoreDown_ = false;
  for (auto& [id, server] : world_.servers_) {
    server.isPartitioned_ = false;
    server.respondsLate_ = false;
    // Records of stopped servers expire.
    server.isListed_ = server.isListed_ && server.isUp_;
  }
  Join("last:80");
  world_.Pass(seconds(40));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

TEST_F(PlacedKeysOfThreeServers, StoreIsRestoredFromACopy_OwnersAreWrittenAgainUnderHigherFences)
{
  const auto before = *world_.stored_;
  world_.TakeCopy();
  world_.Pass(seconds(1));
  world_.ReturnFromCopy();
  world_.Pass(seconds(1));
  EXPECT_EQ(world_.stored_->epoch_, world_.epoch_);
  for (const auto& range : world_.stored_->ranges_) {
    EXPECT_GT(range.fence_, before.lastFence_ + 1000000);
    EXPECT_EQ(range.owner_, before.Find(range.first_)->owner_);
  }
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

TEST_F(PlacedKeysOfThreeServers, NewPlacerKnowsOnlyTheCopy_WaitsUntilLostGrantsExpire)
{
  auto& next = TakeOverFromCopy();
  world_.Pass(seconds(10));
  EXPECT_EQ(world_.ServedKeys(), 0U);
  world_.Pass(seconds(2));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
  EXPECT_TRUE(next.isRunning_);
}

TEST_F(PlacedKeysOfThreeServers, FormerPlacerHasStopped_CopyIsUsedAfterOneLease)
{
  // Until no placer before the former one can still renew grants.
  world_.Pass(seconds(2));
  TakeOverFromCopy();
  world_.ReportStopOfFormer();
  world_.Pass(milliseconds(6000));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

// Guards against a second return of the store that loses the write which followed the first, so
// that a placer that knows only the copy issues the same fences again, or lower ones.
TEST_F(PlacedKeysOfThreeServers, StoreIsRestoredTwiceFromOneCopy_FencesAreAboveThoseOfTheLostWrites)
{
  world_.TakeCopy();
  world_.ReturnFromCopy();
  world_.Pass(seconds(1));
  // More fences are issued in the lost seconds than by one takeover.
  world_.Stop(*placer_);
  world_.TakeOverRemembering();
  world_.Pass(seconds(1));
  const auto lost = world_.stored_->lastFence_;
  world_.Stop(*world_.placers_.back());
  world_.ReturnFromCopy();
  world_.TakeOver();
  world_.Pass(seconds(13));
  ExpectAllServed();
  EXPECT_GT(world_.stored_->ranges_.front().fence_, lost);
}

// Replaces placers one after the other while moves are in progress, which each successor has to
// finish. Hot key ranges that change cause the moves, adjacent ranges are merged, and servers take
// a while to release keys.
class WalkOfLostPlacers : public testing::TestWithParam<std::uint32_t>
{
protected:
  static constexpr int kServers = 48;

  WalkOfLostPlacers()
  {
    for (int number = 0; number < kServers; ++number) {
      const auto id = "s" + std::to_string(100 + number);
      auto& server = world_.AddServer(id, id + ":80");
      server.workTime_ = milliseconds(world_.random_() % 400);
    }
    placer_ = &world_.TakeOver();
    world_.Pass(seconds(4));
  }

  // Gives most of the load to a range of neighbouring keys.
  void AddHotRange()
  {
    std::vector<KeyCount> counts;
    const auto first = static_cast<KeyNumber>(world_.random_() % (kLastKey - 4096));
    for (KeyNumber key = 0; key <= kLastKey; key += 64) {
      const bool isHot = key >= first && key < first + 4096;
      counts.push_back({ key, isHot ? 400U : 4U });
    }
    placer_->placer_.OnLoad(world_.now_, counts);
  }

  void LosePlacer()
  {
    world_.Stop(*placer_);
    placer_ = &world_.TakeOver();
  }

  PlacerWorld world_{ GetParam() };
  PlacerWorld::Placer* placer_ = nullptr;
};

TEST_P(WalkOfLostPlacers, MovesOverlap_NoKeyHasTwoHolders)
{
  for (int step = 0; step < 40 && !HasFailure(); ++step) {
    AddHotRange();
    world_.Pass(milliseconds(10 * (1 + world_.random_() % 60)));
    if (world_.random_() % 3 == 0) {
      world_.releasesUnsentUntil_ = world_.now_ + milliseconds(world_.random_() % 300);
      LosePlacer();
    }
  }
  world_.Pass(seconds(20));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

INSTANTIATE_TEST_SUITE_P(Seeds, WalkOfLostPlacers, testing::Range(1U, 13U));

using WalkOfStoreReturns = WalkOfLostPlacers;

// The store is restored from copies that lack the last moves, and placers are lost with it. The
// successor has either received all writes or has just started, and a lost placer still renews
// grants for as long as it may without the store.
TEST_P(WalkOfStoreReturns, WritesAreLost_NoKeyHasTwoHoldersAndFencesRise)
{
  for (int step = 0; step < 12 && !HasFailure(); ++step) {
    AddHotRange();
    world_.TakeCopy();
    world_.Pass(milliseconds(10 * (1 + world_.random_() % 300)));
    world_.ReturnFromCopy();
    const auto course = world_.random_() % 3;
    auto* former = placer_;
    if (course == 1) {
      placer_ = &world_.TakeOverRemembering();
      world_.Stop(*former);
    } else if (course == 2) {
      placer_ = &world_.TakeOver();
      world_.Pass(milliseconds(world_.random_() % 6000));
      world_.Stop(*former);
    }
    AddHotRange();
    world_.Pass(milliseconds(10 * (1 + world_.random_() % 200)));
  }
  world_.Pass(seconds(20));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

INSTANTIATE_TEST_SUITE_P(Seeds, WalkOfStoreReturns, testing::Range(1U, 13U));

INSTANTIATE_TEST_SUITE_P(Seeds, WalkOfFaults, testing::Range(1U, 41U));

} // namespace

} // namespace latchslip
