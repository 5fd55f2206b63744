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
    world_.Pass(seconds(4));
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
    placer_->placer_.OnFormerPlacerStopped(world_.now_);
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

// Guards against grants under former fences to servers that are lost in that moment: each such
// grant blocks its range for 17 s.
TEST_F(OwnerRecovery, PlacerIsReplaced_GrantsWaitForItsOwnFences)
{
  Begin(true);
  world_.writeTime_ = milliseconds(100);
  ReplacePlacer();
  world_.Pass(milliseconds(500));
  EXPECT_EQ(GrantsUnderFormerFences(), 0U);
  EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
}

TEST_F(OwnerRecovery, PlacerIsReplacedWithoutLoadManagement_GrantsAreSentAtOnce)
{
  Begin(false);
  world_.writeTime_ = milliseconds(100);
  ReplacePlacer();
  world_.Pass(milliseconds(20));
  EXPECT_GT(GrantsUnderFormerFences(), 0U);
}

// Guards against leases that run out because the store is slow.
TEST_F(OwnerRecovery, StoreIsSlowAndPlacerIsReplaced_GrantsAreHeldBackNoLongerThan300Ms)
{
  Begin(true);
  world_.writeTime_ = seconds(20);
  ReplacePlacer();
  world_.Pass(milliseconds(290));
  EXPECT_EQ(GrantsUnderFormerFences(), 0U);
  world_.Pass(milliseconds(100));
  EXPECT_GT(GrantsUnderFormerFences(), 0U);
  for (int step = 0; step < 100; ++step) {
    world_.Pass(milliseconds(100));
    EXPECT_EQ(world_.ServedKeys(), PlacerWorld::kBlocks);
  }
}

TEST_F(OwnerRecovery, StoreIsDownAndPlacerIsReplaced_GrantsAreSentAtOnce)
{
  Begin(true);
  ReplacePlacer();
  world_.isStoreDown_ = true;
  world_.Pass(milliseconds(20));
  EXPECT_GT(GrantsUnderFormerFences(), 0U);
}

// A server is lost at the same time as the placer and answers no command.
TEST_F(OwnerRecovery, ServerIsLostWithThePlacer_ItsKeysWaitForNoUncertainGrant)
{
  Begin(true);
  LoseServerWithThePlacer();
  EXPECT_LT(TimeUntilServed(), seconds(6));
}

TEST_F(OwnerRecovery, ServerIsLostWithThePlacerWithoutLoadManagement_ItsKeysWaitForLateGrants)
{
  Begin(false);
  LoseServerWithThePlacer();
  EXPECT_GT(TimeUntilServed(), seconds(15));
}

} // namespace

} // namespace latchslip
