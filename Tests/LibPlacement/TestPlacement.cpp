#include "LibPlacement/Placement.h"
#include "LibPlacement/Rebalancer.h"

#include <gtest/gtest.h>
#include <limits>

namespace latchslip {

namespace {

constexpr KeyHash kMaxHash = std::numeric_limits<KeyHash>::max();

class PlacementOfTwoServers : public testing::Test
{
protected:
  PlacementOfTwoServers()
  {
    placement_.service_ = "rates";
    placement_.placer_ = "i1#a";
    placement_.token_ = "i1#a/1";
    for (const auto* name : { "s1", "s2" }) {
      PlacedServer server;
      server.name_ = name;
      server.hall_ = "a";
      server.holder_ = "i1#a";
      placement_.servers_.push_back(server);
    }
    for (ServerIndex index = 0; index < 8; ++index) {
      placement_.slices_.push_back({ index * (kMaxHash / 8 + 1), index % 2, kNoServer });
    }
  }

  Placement placement_;
};

TEST_F(PlacementOfTwoServers, EveryHashLookedUp_SliceCoversIt)
{
  for (const KeyHash hash :
       { KeyHash{ 0 }, kMaxHash / 3, kMaxHash / 2, kMaxHash / 2 + 1, kMaxHash }) {
    const auto index = placement_.SliceIndexOf(hash);
    EXPECT_LE(placement_.slices_[index].start_, hash);
    EXPECT_GE(placement_.LastHashOf(index), hash);
  }
}

TEST_F(PlacementOfTwoServers, SplitAroundOneKey_SliceCoversOnlyThatHash)
{
  const KeyHash key = kMaxHash / 3;
  placement_.SplitAt(key + 1);
  const auto index = placement_.SplitAt(key);
  EXPECT_EQ(placement_.slices_.size(), 10U);
  EXPECT_EQ(placement_.slices_[index].start_, key);
  EXPECT_EQ(placement_.LastHashOf(index), key);
}

TEST_F(PlacementOfTwoServers, SerializedAndParsed_IsEqual)
{
  placement_.slices_[3].next_ = 0;
  placement_.servers_[0].formerHolders_ = { "i2#b" };
  placement_.servers_[1].state_ = PlacedState::Lost;
  placement_.lastFence_ = 77;
  const auto parsed = ParsePlacement(SerializePlacement(placement_));
  ASSERT_TRUE(parsed) << parsed.error().Describe();
  EXPECT_EQ(parsed.value(), placement_);
}

TEST_F(PlacementOfTwoServers, OwnerOutOfRange_ParseFails)
{
  auto text = SerializePlacement(placement_);
  text.replace(text.find("\"o\":1"), 5, "\"o\":9");
  EXPECT_FALSE(ParsePlacement(text));
}

TEST_F(PlacementOfTwoServers, SlicesOutOfOrder_ParseFails)
{
  std::swap(placement_.slices_[2], placement_.slices_[3]);
  EXPECT_FALSE(ParsePlacement(SerializePlacement(placement_)));
}

// Loads of the two servers; initially each slice keeps half a slot busy.
class RebalancingOfTwoServers : public PlacementOfTwoServers
{
protected:
  RebalancingOfTwoServers()
  {
    for (const auto& slice : placement_.slices_) {
      SetLoad(slice.start_, 0.5);
    }
  }

  void SetLoad(KeyHash aStart, double aLoad)
  {
    const auto index = placement_.SliceIndexOf(aStart);
    auto& server = loads_[placement_.servers_[placement_.slices_[index].owner_].name_];
    server.load_ += aLoad - server.slices_[aStart];
    server.slices_[aStart] = aLoad;
  }

  LoadTable loads_;
  RebalancePolicy policy_ = RebalancePolicy::Of(PlacementProfile::UnavailabilityFirst, 4);
};

TEST_F(RebalancingOfTwoServers, LoadIsEven_NothingMoves)
{
  EXPECT_TRUE(ChooseMoves(placement_, loads_, policy_).empty());
  EXPECT_DOUBLE_EQ(ImbalanceOf(placement_, loads_), 1);
}

TEST_F(RebalancingOfTwoServers, OneServerIsBusier_OneSliceOfTheSurplusMoves)
{
  for (const auto& slice : placement_.slices_) {
    if (slice.owner_ == 0) {
      SetLoad(slice.start_, 1.0);
    }
  }
  const auto moves = ChooseMoves(placement_, loads_, policy_);
  ASSERT_EQ(moves.size(), 1U);
  EXPECT_EQ(moves[0].from_, 0U);
  EXPECT_EQ(moves[0].to_, 1U);
  EXPECT_DOUBLE_EQ(moves[0].load_, 1.0);
}

TEST_F(RebalancingOfTwoServers, OneKeyIsHot_ItsSliceIsNotHalved)
{
  const auto start = placement_.slices_[2].start_;
  SetLoad(start, 2.5);
  loads_["s1"].hottestKey_ = start + 5;
  loads_["s1"].hottestLoad_ = 2.4;
  for (const auto& move : ChooseMoves(placement_, loads_, policy_)) {
    EXPECT_FALSE(move.isHalf_ && move.start_ == start);
    EXPECT_LE(move.load_, 1.0);
  }
}

TEST_F(RebalancingOfTwoServers, LoadIsNegligible_NothingMoves)
{
  for (auto& [name, load] : loads_) {
    load.load_ *= 0.1;
    for (auto& [start, share] : load.slices_) {
      share *= 0.1;
    }
  }
  SetLoad(placement_.slices_[0].start_, 0.3);
  EXPECT_TRUE(ChooseMoves(placement_, loads_, policy_).empty());
}

TEST_F(RebalancingOfTwoServers, ProfileIsChurnFirst_SmallSurplusStays)
{
  for (const auto& slice : placement_.slices_) {
    if (slice.owner_ == 0) {
      SetLoad(slice.start_, 0.64);
    }
  }
  const auto churnFirst = RebalancePolicy::Of(PlacementProfile::ChurnFirst, 4);
  EXPECT_FALSE(ChooseMoves(placement_, loads_, policy_).empty());
  EXPECT_TRUE(ChooseMoves(placement_, loads_, churnFirst).empty());
}

} // namespace

} // namespace latchslip
