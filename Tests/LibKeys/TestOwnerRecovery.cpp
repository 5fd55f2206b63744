#include "PlacerWorld.h"

namespace latchslip {

namespace {

// Keys of four servers whose placer is replaced in a deployment with or without load management.
class OwnerRecovery : public testing::Test
{
protected:
  OwnerRecovery()
  {
    for (const auto* id : { "s1", "s2", "s3", "s4" }) {
      world_.AddServer(id, std::string(id) + ":80");
    }
  }

  void Begin(bool aUsesLoadManagement)
  {
    world_.usesLoadManagement_ = aUsesLoadManagement;
    placer_ = &world_.TakeOver();
    // Until the row may state that no earlier placer still runs.
    world_.Pass(seconds(7));
    ASSERT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
  }

  void ReplacePlacer()
  {
    world_.Stop(*placer_);
    world_.Pass(seconds(2));
    lastFormerFence_ = world_.stored_->lastFence_;
    world_.grantsByFence_.clear();
    placer_ = &world_.TakeOver();
  }

  void LoseServerWithThePlacer()
  {
    world_.writeTime_ = milliseconds(100);
    ReplacePlacer();
    auto& lost = world_.servers_.at("s1");
    lost.respondsLate_ = true;
    world_.Pass(milliseconds(50));
    lost.isListed_ = false;
    lost.isPartitioned_ = true;
    world_.ReportStopOfFormer();
    // Until the keys have a new owner in the row.
    world_.Pass(milliseconds(500));
    ASSERT_LT(world_.ServedKeys(), PlacerWorld::kBlocks);
  }

  // Number of grants that the new placer has sent under the fences of the former one.
  std::size_t GrantsUnderFormerFences() const
  {
    std::size_t count = 0;
    for (const auto& [fence, grants] : world_.grantsByFence_) {
      count += fence <= lastFormerFence_ ? grants : 0;
    }
    return count;
  }

  // Time until all keys are served again, one minute at most.
  Duration TimeUntilServed()
  {
    const auto begin = world_.now_;
    while (world_.ServedKeys() < PlacerWorld::kBlocks && world_.now_ - begin < seconds(60) &&
           !HasFailure()) {
      world_.Pass(milliseconds(10));
    }
    return world_.now_ - begin;
  }

  PlacerWorld world_;
  PlacerWorld::Placer* placer_ = nullptr;
  FenceNumber lastFormerFence_ = 0;
};

// Guards against a fence that the former placer sent to a server reaching a later incarnation of
// it, and against grants under such fences to servers that are lost in that moment: each of those
// blocks its range for 17 s.
TEST_F(OwnerRecovery, PlacerIsReplaced_GrantsWaitForItsOwnFences)
{
  Begin(true);
  world_.writeTime_ = milliseconds(100);
  ReplacePlacer();
  world_.Pass(milliseconds(500));
  EXPECT_EQ(GrantsUnderFormerFences(), 0U);
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

TEST_F(OwnerRecovery, PlacerIsReplacedWithoutLoadManagement_GrantsWaitForItsOwnFences)
{
  Begin(false);
  world_.writeTime_ = milliseconds(100);
  ReplacePlacer();
  world_.Pass(milliseconds(500));
  EXPECT_EQ(GrantsUnderFormerFences(), 0U);
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

// Guards against leases that run out because the store is slow: fifty times as slow as usual.
TEST_F(OwnerRecovery, StoreIsSlowAndPlacerIsReplaced_NoLeaseRunsOut)
{
  Begin(true);
  world_.writeTime_ = milliseconds(400);
  ReplacePlacer();
  for (int step = 0; step < 100; ++step) {
    world_.Pass(milliseconds(100));
    EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
  }
  EXPECT_EQ(GrantsUnderFormerFences(), 0U);
}

TEST_F(OwnerRecovery, StoreIsDownAndPlacerIsReplaced_KeysAreServedSoonAfterItsReturn)
{
  Begin(true);
  ReplacePlacer();
  world_.isStoreDown_ = true;
  world_.Pass(seconds(10));
  EXPECT_EQ(GrantsUnderFormerFences(), 0U);
  world_.isStoreDown_ = false;
  world_.Pass(milliseconds(200));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

// A server is lost at the same time as the placer and answers no command.
TEST_F(OwnerRecovery, ServerIsLostWithThePlacer_ItsKeysWaitForNoUncertainGrant)
{
  Begin(true);
  LoseServerWithThePlacer();
  EXPECT_LT(TimeUntilServed(), seconds(6));
}

TEST_F(OwnerRecovery, ServerIsLostWithThePlacerWithoutLoadManagement_ItsKeysWaitForNoUncertainGrant)
{
  Begin(false);
  LoseServerWithThePlacer();
  EXPECT_LT(TimeUntilServed(), seconds(6));
}

// A placer that is cut off from all but one server, s1, and renews its grants for as long as it
// may. The successor does not reach s1 and does not know that the former placer has stopped.
class IsolatedFormerPlacer : public OwnerRecovery
{
protected:
  void Isolate() { placer_->isolatedAt_ = world_.now_; }

  // Lets another placer take over at the same time, and s1 be unlisted.
  void TakeOverBesideIt()
  {
    former_ = placer_;
    auto& lost = world_.servers_.at("s1");
    lost.isWithIsolatedPlacer_ = true;
    lost.isListed_ = false;
    placer_ = &world_.TakeOver();
    world_.Pass(milliseconds(500));
    ASSERT_LT(world_.ServedKeys(), PlacerWorld::kBlocks);
  }

  Duration IsolationOfFormer() const
  {
    return former_->stoppedAt_.value_or(Instant::max()) - *former_->isolatedAt_;
  }

  PlacerWorld::Placer* former_ = nullptr;
};

// PlacerWorld checks in each step that no key has two holders.
TEST_F(IsolatedFormerPlacer, RowHasTheField_FormerStopsAfter3SAndKeysWaitForThatAndALease)
{
  Begin(true);
  ASSERT_TRUE(world_.stored_->hasShortIsolation_);
  Isolate();
  TakeOverBesideIt();
  const auto time = TimeUntilServed();
  EXPECT_GT(time, milliseconds(7500));
  EXPECT_LT(time, milliseconds(8000));
  EXPECT_EQ(IsolationOfFormer(), seconds(3));
}

TEST_F(IsolatedFormerPlacer, RowHasNoField_FormerGoesOnFor6SAndKeysWaitForThatAndALease)
{
  Begin(false);
  ASSERT_FALSE(world_.stored_->hasShortIsolation_);
  Isolate();
  TakeOverBesideIt();
  const auto time = TimeUntilServed();
  EXPECT_GT(time, milliseconds(10500));
  EXPECT_LT(time, milliseconds(11000));
  EXPECT_EQ(IsolationOfFormer(), seconds(6));
}

// Guards against a successor that goes by its own configuration: the former placer did not learn
// that load management was turned on.
TEST_F(IsolatedFormerPlacer, SwitchIsTurnedOnAfterItsIsolation_SuccessorCountsOn6S)
{
  Begin(false);
  Isolate();
  world_.usesLoadManagement_ = true;
  TakeOverBesideIt();
  EXPECT_GT(TimeUntilServed(), milliseconds(10500));
  EXPECT_EQ(IsolationOfFormer(), seconds(6));
  EXPECT_TRUE(world_.stored_->hasShortIsolation_);
}

// The former placer did not learn that load management was turned off.
TEST_F(IsolatedFormerPlacer, SwitchIsTurnedOffAfterItsIsolation_SuccessorCountsOn3S)
{
  Begin(true);
  Isolate();
  world_.usesLoadManagement_ = false;
  TakeOverBesideIt();
  EXPECT_LT(TimeUntilServed(), milliseconds(8000));
  EXPECT_EQ(IsolationOfFormer(), seconds(3));
  EXPECT_FALSE(world_.stored_->hasShortIsolation_);
}

// Guards against a former placer that goes on for 6 s because the answer to its write is lost,
// while its successor reads the field in the row.
TEST_F(IsolatedFormerPlacer, WriteWithTheFieldIsUnanswered_FormerStopsAfter3S)
{
  Begin(false);
  world_.writeTime_ = seconds(20);
  world_.usesLoadManagement_ = true;
  world_.Pass(milliseconds(500));
  ASSERT_TRUE(placer_->written_);
  world_.stored_ = placer_->written_;
  world_.writeTime_ = milliseconds(0);
  Isolate();
  TakeOverBesideIt();
  EXPECT_LT(TimeUntilServed(), milliseconds(8000));
  EXPECT_EQ(IsolationOfFormer(), seconds(3));
}

// Guards against a former placer that goes back to 6 s before the field is out of the row.
TEST_F(IsolatedFormerPlacer, WriteWithoutTheFieldFails_FormerStopsAfter3S)
{
  Begin(true);
  world_.writeTime_ = seconds(20);
  world_.usesLoadManagement_ = false;
  world_.Pass(milliseconds(500));
  ASSERT_TRUE(placer_->written_);
  world_.writeTime_ = milliseconds(0);
  Isolate();
  TakeOverBesideIt();
  EXPECT_LT(TimeUntilServed(), milliseconds(8000));
  EXPECT_EQ(IsolationOfFormer(), seconds(3));
}

// Guards against counting on a field of an earlier epoch of the store: the write that took it out
// may be lost.
TEST_F(IsolatedFormerPlacer, FieldReturnsWithACopyOfTheStore_SuccessorCountsOn6S)
{
  Begin(true);
  world_.TakeCopy();
  world_.usesLoadManagement_ = false;
  world_.Pass(milliseconds(500));
  ASSERT_FALSE(world_.stored_->hasShortIsolation_);
  Isolate();
  world_.ReturnFromCopy();
  ASSERT_TRUE(world_.stored_->hasShortIsolation_);
  former_ = placer_;
  world_.servers_.at("s1").isWithIsolatedPlacer_ = true;
  world_.servers_.at("s1").isListed_ = false;
  placer_ = &world_.TakeOver();
  world_.Pass(milliseconds(11000));
  EXPECT_LT(world_.stored_->epoch_, world_.epoch_);
  EXPECT_EQ(IsolationOfFormer(), seconds(6));
  world_.Pass(seconds(1));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

// A successor that knew the row from before the copy is not blocked as one that knows only the
// copy.
TEST_F(IsolatedFormerPlacer, SuccessorKnowsARowOfAnEarlierEpoch_CountsOn6S)
{
  Begin(true);
  Isolate();
  ++world_.epoch_;
  former_ = placer_;
  auto& lost = world_.servers_.at("s1");
  lost.isWithIsolatedPlacer_ = true;
  lost.isListed_ = false;
  placer_ = &world_.TakeOverRemembering();
  world_.Pass(milliseconds(500));
  EXPECT_GT(TimeUntilServed(), milliseconds(10000));
}

// Guards against a field that is written while a former placer with the long bound still runs: the
// second successor would count on 3 s for both.
TEST_F(IsolatedFormerPlacer, FirstSuccessorIsLostSoon_SecondOneCountsOn6SForTheFormerPlacer)
{
  Begin(false);
  Isolate();
  world_.usesLoadManagement_ = true;
  TakeOverBesideIt();
  world_.Pass(milliseconds(1500));
  EXPECT_FALSE(world_.stored_->hasShortIsolation_);
  world_.Stop(*placer_);
  placer_ = &world_.TakeOver();
  EXPECT_GT(TimeUntilServed(), seconds(9));
  EXPECT_EQ(IsolationOfFormer(), seconds(6));
}

TEST_F(OwnerRecovery, SwitchIsTurnedOnAndOff_OneWriteEachAndNoNewFences)
{
  Begin(false);
  const auto changes = world_.changes_;
  const auto lastFence = world_.stored_->lastFence_;
  world_.usesLoadManagement_ = true;
  world_.Pass(seconds(1));
  EXPECT_TRUE(world_.stored_->hasShortIsolation_);
  EXPECT_EQ(world_.changes_, changes + 1);
  world_.usesLoadManagement_ = false;
  world_.Pass(seconds(1));
  EXPECT_FALSE(world_.stored_->hasShortIsolation_);
  EXPECT_EQ(world_.changes_, changes + 2);
  EXPECT_EQ(world_.stored_->lastFence_, lastFence);
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

// Isolates placers one after the other, each with a server that only it reaches, while load
// management is turned on and off and writes take a while.
class WalkOfIsolatedPlacers : public testing::TestWithParam<std::uint32_t>
{
protected:
  PlacerWorld::Server& AnyServer()
  {
    auto server = world_.servers_.begin();
    std::advance(server, world_.random_() % world_.servers_.size());
    return server->second;
  }

  Duration AnyTime(unsigned aMaxMs) { return milliseconds(world_.random_() % aMaxMs); }

  PlacerWorld world_{ GetParam() };
};

TEST_P(WalkOfIsolatedPlacers, SwitchChangesMeanwhile_NoKeyHasTwoHolders)
{
  for (const auto* id : { "s1", "s2", "s3", "s4", "s5" }) {
    world_.AddServer(id, std::string(id) + ":80");
  }
  auto* placer = &world_.TakeOver();
  world_.Pass(seconds(4));
  for (int step = 0; step < 20 && !HasFailure(); ++step) {
    world_.usesLoadManagement_ = world_.random_() % 2 == 0;
    world_.writeTime_ = AnyTime(400);
    world_.Pass(AnyTime(5000));
    placer->isolatedAt_ = world_.now_;
    auto& server = AnyServer();
    server.isWithIsolatedPlacer_ = true;
    server.isListed_ = false;
    world_.Pass(AnyTime(100));
    placer = &world_.TakeOver();
    world_.Pass(AnyTime(12000));
    server.isWithIsolatedPlacer_ = false;
    server.isListed_ = true;
  }
  world_.Pass(seconds(30));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

INSTANTIATE_TEST_SUITE_P(Seeds, WalkOfIsolatedPlacers, testing::Range(1U, 13U));

// Guards against two owners of a key: an isolated placer still renews a grant when the placers that
// replaced it have been replaced, too, and report that they have stopped.
class PlacersLostInARow : public OwnerRecovery
{
protected:
  // Isolates the placer with s1, and replaces its successor aTimes times, each after aTenure.
  void LosePlacers(int aTimes, Duration aTenure)
  {
    placer_->isolatedAt_ = world_.now_;
    auto& lost = world_.servers_.at("s1");
    lost.isWithIsolatedPlacer_ = true;
    lost.isListed_ = false;
    auto* successor = &world_.TakeOver();
    for (int count = 0; count < aTimes; ++count) {
      world_.Pass(aTenure);
      world_.Stop(*successor);
      successor = &world_.TakeOver();
      world_.ReportStopOfFormer();
    }
  }
};

// PlacerWorld fails a test when a key has two owners.
TEST_F(PlacersLostInARow, SecondIsReplacedWhileTheFirstIsIsolated_KeysWaitForTheFirst)
{
  Begin(true);
  LosePlacers(1, seconds(1));
  world_.Pass(seconds(12));
}

TEST_F(PlacersLostInARow, SecondIsReplacedWithoutLoadManagement_KeysWaitForTheFirst)
{
  Begin(false);
  LosePlacers(1, seconds(1));
  world_.Pass(seconds(12));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

TEST_F(PlacersLostInARow, ThreeAreReplacedWithoutLoadManagement_KeysWaitForTheFirst)
{
  Begin(false);
  LosePlacers(3, milliseconds(1200));
  world_.Pass(seconds(14));
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

// Guards against a longer wait than the first placer needs: it has stopped 6 s after its isolation.
TEST_F(PlacersLostInARow, SecondIsReplacedAfterTheFirstHasStopped_KeysWaitOneLease)
{
  Begin(false);
  LosePlacers(1, milliseconds(6500));
  EXPECT_LT(TimeUntilServed(), milliseconds(5500));
}

} // namespace

} // namespace latchslip
