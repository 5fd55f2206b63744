// Instances that lose their links to all servers, while clients and other instances reach them.

#include "InstancesWorld.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

// How the links are cut, and how many of the eight instances lose theirs.
struct CutCase
{
  std::string name_;
  LinkCut cut_;
  std::vector<std::size_t> instances_;
};

void
PrintTo(const CutCase& aCase, std::ostream* aOut)
{
  *aOut << aCase.name_;
}

class EightInstances : public testing::TestWithParam<CutCase>
{
protected:
  EightInstances()
  {
    world_.Run(seconds(2));
    for (std::size_t index = 0; index < kInstances; ++index) {
      world_.TakeFirstTries(index);
    }
  }

  void Cut(LinkCut aCut)
  {
    for (const auto index : GetParam().instances_) {
      world_.SetCut(index, aCut);
    }
  }

  bool IsCutOff(std::size_t aInstance) const
  {
    const auto& cut = GetParam().instances_;
    return std::find(cut.begin(), cut.end(), aInstance) != cut.end();
  }

  // The first tries of the instances that are cut off, or of the others, since the last call.
  FirstTries Take(bool aOfThoseCutOff)
  {
    FirstTries sum;
    for (std::size_t index = 0; index < kInstances; ++index) {
      if (IsCutOff(index) == aOfThoseCutOff) {
        const auto tries = world_.TakeFirstTries(index);
        sum.sent_ += tries.sent_;
        sum.served_ += tries.served_;
      }
    }
    return sum;
  }

  static constexpr std::size_t kInstances = 8;
  // Time from which the rule counts after a cut.
  static constexpr Duration kContactTime = seconds(3);

  InstancesWorld world_{ kInstances, 1 };
};

// Guards against instances that serve nobody while they cannot reach any server themselves.
TEST_P(EightInstances, SomeLoseAllServers_TheirCallersAreServedAsWellAsOthers)
{
  Cut(GetParam().cut_);
  world_.Run(kContactTime);
  Take(true);
  Take(false);
  world_.Run(seconds(6));
  const auto cutOff = Take(true);
  const auto others = Take(false);
  EXPECT_GE(cutOff.Share(), 2.0 / 3 * others.Share());
  EXPECT_GE(others.Share(), 0.95);
  EXPECT_GE(cutOff.Share(), 0.95);
}

// Guards against servers that are given to nobody because one instance cannot reach them.
TEST_P(EightInstances, SomeLoseAllServers_OthersAreServedFromTheBeginning)
{
  Cut(GetParam().cut_);
  world_.Run(seconds(3));
  EXPECT_GE(Take(false).Share(), 0.95);
}

// Guards against requests that are held back as if they had crashed servers, because the links of
// an instance were cut.
TEST_P(EightInstances, SomeLoseAllServers_NoRequestIsQuarantined)
{
  Cut(GetParam().cut_);
  world_.Run(seconds(9));
  EXPECT_EQ(world_.Quarantined(), 0U);
}

TEST_P(EightInstances, LinksReturn_AllAreServedWithinASecond)
{
  Cut(GetParam().cut_);
  world_.Run(seconds(6));
  Cut(LinkCut::None);
  world_.Run(seconds(1));
  Take(true);
  Take(false);
  world_.Run(seconds(2));
  EXPECT_GE(Take(true).Share(), 0.98);
  EXPECT_GE(Take(false).Share(), 0.98);
}

INSTANTIATE_TEST_SUITE_P(
  Cuts,
  EightInstances,
  testing::Values(CutCase{ "OneRefused", LinkCut::Refused, { 1 } },
                  CutCase{ "TwoRefused", LinkCut::Refused, { 1, 4 } },
                  CutCase{ "HallRefused", LinkCut::Refused, { 0, 2, 4, 6 } },
                  CutCase{ "TwoSilent", LinkCut::Silent, { 1, 4 } },
                  CutCase{ "HallSilent", LinkCut::Silent, { 0, 2, 4, 6 } },
                  CutCase{ "TwoWithOpenConnections", LinkCut::OnlyNewOnes, { 1, 4 } }),
  [](const testing::TestParamInfo<CutCase>& aInfo) { return aInfo.param.name_; });

// A server that ends must be left alone by all within a moment, as before.
TEST(InstancesOfAServerThatEnds, RecordStaysListed_ServerIsLeftAloneByAll)
{
  InstancesWorld world(8, 1);
  world.Run(seconds(2));
  world.EndServer("p1");
  world.Run(milliseconds(300));
  world.TakeRefusedConnections("p1");
  world.Run(seconds(3));
  // Suspensions of up to 1.6 s, each ended by one attempt of one instance and one of a witness.
  EXPECT_LE(world.TakeRefusedConnections("p1"), 16U);
  EXPECT_GT(world.Suspensions(), 0U);
}

} // namespace

} // namespace latchslip
