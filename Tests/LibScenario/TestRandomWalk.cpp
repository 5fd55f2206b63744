#include "LibScenario/SimulatedFleet.h"

#include <cstdlib>
#include <gtest/gtest.h>
#include <random>

namespace latchslip {

namespace {

constexpr int kSteps = 30;
// Everything is healed after this many faults: enough for two different faults at once, or the same
// one twice.
constexpr std::size_t kFaultsBeforeHealing = 3;

// Injects random faults of all kinds, from a seed. The invariants are checked after each step. At
// the end all faults are healed, and every key must be served again.
class FaultWalk : public testing::TestWithParam<std::uint64_t>
{
protected:
  FaultWalk()
    : random_(GetParam())
    , fleet_(GetParam(), { "a", "b", "c" })
  {
    for (int number = 1; number <= 5; ++number) {
      fleet_.AddInstance("i" + std::to_string(number));
    }
    const bool checks = GetParam() % 4 != 0;
    fleet_.AddService({ "rates", 4, 4, checks, milliseconds(2) });
    fleet_.AddService({ "bookings", 3, 4, true, milliseconds(8) });
    for (const auto* service : { "rates", "bookings" }) {
      SharingIntent intent;
      intent.group_ = "web";
      intent.service_ = service;
      intent.portion_ = 1;
      intent.maxWaiting_ = 256;
      fleet_.AddIntent(intent);
    }
  }

  std::size_t Pick(std::size_t aCount) { return random_() % aCount; }

  std::string PickInstance() { return "i" + std::to_string(Pick(5) + 1); }

  std::string PickServer()
  {
    return Pick(2) == 0 ? "rates-" + std::to_string(Pick(4) + 1)
                        : "bookings-" + std::to_string(Pick(3) + 1);
  }

  std::string PickPlace()
  {
    const auto kind = Pick(5);
    return kind < 2 ? PickInstance() : kind < 4 ? PickServer() : "store";
  }

  void AddFault()
  {
    switch (Pick(10)) {
      case 0: {
        const auto name = PickInstance();
        fleet_.KillInstance(name);
        down_.insert(name);
        if (Pick(2) == 0) {
          fleet_.RemoveFromList(name);
        }
        break;
      }
      case 1: {
        const auto name = PickServer();
        fleet_.KillServer(name, Pick(2) == 0);
        down_.insert(name);
        break;
      }
      case 2:
      case 3: {
        const auto name = Pick(2) == 0 ? PickInstance() : PickServer();
        fleet_.Freeze(name);
        frozen_.insert(name);
        break;
      }
      case 4:
      case 5: {
        const auto one = PickInstance();
        const auto other = PickPlace();
        if (one != other) {
          fleet_.Partition(one, other);
        }
        break;
      }
      case 6:
        fleet_.Store().isUnavailable_ = true;
        break;
      case 7:
        fleet_.BreakConnections(PickServer());
        break;
      case 8:
        fleet_.Store().delay_ = milliseconds(Pick(2500));
        break;
      default:
        fleet_.Store().answersToLose_ = static_cast<unsigned>(Pick(6));
        break;
    }
    ++faults_;
  }

  void ChangeConfiguration()
  {
    const auto first = PickInstance();
    const auto second = PickInstance();
    for (const auto& name : { first, second }) {
      if (!fleet_.IsUp(name) || frozen_.contains(name)) {
        return;
      }
    }
    const auto plan = "p" + std::to_string(random_());
    fleet_.DesiredDeclaration().intents_.front().portion_ = static_cast<double>(1 + Pick(5));
    fleet_.Plan(plan + "a", first, fleet_.DesiredDeclaration());
    fleet_.DesiredDeclaration().intents_.front().portion_ = static_cast<double>(1 + Pick(5));
    fleet_.Plan(plan + "b", second, fleet_.DesiredDeclaration());
    fleet_.Confirm(plan + "a", first);
    fleet_.Confirm(plan + "b", second);
  }

  void HealEverything()
  {
    fleet_.HealAll();
    fleet_.Store() = SimulatedFleet::StoreFaults{};
    for (const auto& name : frozen_) {
      fleet_.Thaw(name);
    }
    for (const auto& name : down_) {
      name.starts_with("i") ? fleet_.RestartInstance(name) : fleet_.RestartServer(name);
    }
    frozen_.clear();
    down_.clear();
    faults_ = 0;
  }

  void ExpectNoViolation()
  {
    ASSERT_TRUE(fleet_.Violations().empty())
      << "seed " << GetParam() << ": " << fleet_.Violations().front();
  }

  std::mt19937_64 random_;
  SimulatedFleet fleet_;
  std::set<std::string> down_;
  std::set<std::string> frozen_;
  std::size_t faults_ = 0;
};

TEST_P(FaultWalk, FaultsComeInAnyOrder_InvariantsHoldAndKeysAreServedAfterwards)
{
  ASSERT_TRUE(fleet_.Start()) << "seed " << GetParam();
  fleet_.StartLoad({ "web", "rates", 200, 20, true, milliseconds(1500), 0 });
  fleet_.StartLoad({ "web", "bookings", 60, 15, false, milliseconds(1500), 0 });
  fleet_.Advance(seconds(1));
  for (int step = 0; step < kSteps; ++step) {
    if (faults_ >= kFaultsBeforeHealing) {
      HealEverything();
      fleet_.Advance(milliseconds(Pick(3000)));
    } else {
      AddFault();
    }
    if (Pick(8) == 0) {
      ChangeConfiguration();
    }
    fleet_.Advance(milliseconds(Pick(1500)));
    ExpectNoViolation();
  }
  HealEverything();
  fleet_.Advance(seconds(10));
  fleet_.ResetMeasurements();
  fleet_.Advance(seconds(3));
  ExpectNoViolation();
  EXPECT_LT(fleet_.LongestGap("rates"), seconds(1)) << "seed " << GetParam();
  EXPECT_LT(fleet_.LongestGap("bookings"), seconds(2)) << "seed " << GetParam();
}

// CI runs the seeds 1 to 60. LATCHSLIP_WALK_FIRST sets another first seed, to search further.
std::uint64_t
FirstSeed()
{
  const char* text = std::getenv("LATCHSLIP_WALK_FIRST");
  return text == nullptr ? 1 : std::strtoull(text, nullptr, 10);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         FaultWalk,
                         testing::Range<std::uint64_t>(FirstSeed(), FirstSeed() + 60));

} // namespace

} // namespace latchslip
