#include "LibLimit/LimitCoordinator.h"
#include "LibLimit/LimitEnforcer.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <gtest/gtest.h>
#include <numeric>
#include <random>

namespace latchslip {

namespace {

// Requests and admissions of one group in a run of the model.
struct GroupTrace
{
  CallerGroup group_;
  // Requests per second of its callers.
  double callerRate_ = 0;
  // By tenths of a second.
  std::vector<int> requests_;
  std::vector<int> admitted_;
};

// A fleet whose balancer distributes callers unevenly, as hashing does: some instances get
// several times as many requests as others, with different weights for each group. Groups request
// five eighths of their limits, except for one that exceeds its limit.
class LimitsOfAFleet : public testing::Test
{
protected:
  static constexpr Duration kTick = milliseconds(10);
  static constexpr Duration kMessageDelay = milliseconds(5);
  static constexpr int kBinsPerSecond = 10;
  static constexpr double kTolerance = 0.1;
  static constexpr double kSlack = 20;
  static constexpr int kWindowS = 5;

  void Build(std::size_t aInstances, double aRequests, unsigned aSeed = 1)
  {
    random_.seed(aSeed);
    enforcers_ = std::vector<LimitEnforcer>(aInstances);
    isPartitioned_.assign(aInstances, false);
    for (auto& enforcer : enforcers_) {
      enforcer.SetInstances(aInstances);
    }
    constexpr std::size_t kGroups = 40;
    double whole = 0;
    for (std::size_t index = 0; index < kGroups; ++index) {
      whole += 1.0 / static_cast<double>(index + 1);
    }
    for (std::size_t index = 0; index < kGroups; ++index) {
      GroupTrace record;
      record.callerRate_ = aRequests / static_cast<double>(index + 1) / whole;
      record.group_ = {
        "g" + std::to_string(index), {}, 0, 1.6 * record.callerRate_, 1.6 * record.callerRate_
      };
      records_.push_back(std::move(record));
      std::lognormal_distribution<double> draw(0, 0.8);
      std::vector<double> weights;
      for (std::size_t instance = 0; instance < aInstances; ++instance) {
        weights.push_back(draw(random_));
      }
      instanceWeights_.emplace_back(weights.begin(), weights.end());
    }
    StartLimitCoordinator();
  }

  // Resets the state for another run.
  void Reset()
  {
    records_.clear();
    instanceWeights_.clear();
    usageMessages_.clear();
    shareMessages_.clear();
    messages_ = 0;
    now_ = kStart;
    nextReport_ = kStart;
  }

  void StartLimitCoordinator()
  {
    coordinator_ = LimitCoordinator(seconds(kWindowS));
    std::vector<CallerGroup> groups;
    for (const auto& record : records_) {
      groups.push_back(record.group_);
    }
    coordinator_.SetGroups(now_, groups);
    isCoordinatorUp_ = true;
  }

  // Runs the model while the group aBusyGroup sends aFactor as many requests as usual.
  void Run(Duration aTime, std::size_t aBusyGroup = 0, double aFactor = 1)
  {
    const auto end = now_ + aTime;
    while (now_ < end) {
      now_ += kTick;
      Deliver();
      for (std::size_t index = 0; index < records_.size(); ++index) {
        const auto rate = records_[index].callerRate_ * (index == aBusyGroup ? aFactor : 1);
        std::poisson_distribution<int> draw(rate * ToSeconds(kTick));
        SendRequests(index, draw(random_));
      }
      ExchangeMessages();
    }
  }

  void SendRequests(std::size_t aGroup, int aCount)
  {
    auto& record = records_[aGroup];
    const auto bin = static_cast<std::size_t>((now_ - kStart) / milliseconds(100));
    record.requests_.resize(bin + 1);
    record.admitted_.resize(bin + 1);
    for (int count = 0; count < aCount; ++count) {
      auto& enforcer = enforcers_[instanceWeights_[aGroup](random_)];
      ++record.requests_[bin];
      record.admitted_[bin] += enforcer.TryAdmit(now_, record.group_, false) ? 1 : 0;
    }
  }

  void ExchangeMessages()
  {
    for (std::size_t index = 0; index < enforcers_.size(); ++index) {
      if (enforcers_[index].IsReportDue(now_) && !isPartitioned_[index]) {
        ++messages_;
        usageMessages_.push_back(
          { now_ + kMessageDelay, index, enforcers_[index].TakeUsage(now_) });
      }
    }
    if (!isCoordinatorUp_) {
      return;
    }
    if (now_ >= nextReport_) {
      nextReport_ = now_ + milliseconds(800);
      for (std::size_t index = 0; index < enforcers_.size(); ++index) {
        if (!isPartitioned_[index]) {
          coordinator_.OnInstanceContact(now_, std::to_string(index));
          enforcers_[index].OnCoordinatorContact(now_);
        }
      }
    }
    const auto shares = coordinator_.TakeRestrictedShares(now_);
    for (std::size_t index = 0; index < enforcers_.size() && !shares.empty(); ++index) {
      // Delay of the update tree, which does not reach all instances at once.
      shareMessages_.push_back({ now_ + kMessageDelay * 4, index, shares });
      ++messages_;
    }
  }

  void Deliver()
  {
    while (!usageMessages_.empty() && usageMessages_.front().at_ <= now_) {
      const auto message = std::move(usageMessages_.front());
      usageMessages_.pop_front();
      if (isCoordinatorUp_) {
        coordinator_.OnUsage(now_, message.usages_);
        shareMessages_.push_back({ now_ + kMessageDelay,
                                   message.instance_,
                                   coordinator_.AdmittedSharesOf(now_, message.usages_) });
      }
    }
    for (std::size_t index = 0; index < shareMessages_.size();) {
      if (shareMessages_[index].at_ > now_) {
        ++index;
        continue;
      }
      const auto message = std::move(shareMessages_[index]);
      shareMessages_.erase(shareMessages_.begin() + static_cast<std::ptrdiff_t>(index));
      if (!isPartitioned_[message.instance_]) {
        enforcers_[message.instance_].OnCoordinatorContact(now_);
        enforcers_[message.instance_].OnAdmittedShares(now_, message.shares_);
      }
    }
  }

  // Admitted requests in the worst window, as a fraction of what the limit allows there.
  double WorstWindow(std::size_t aGroup) const
  {
    const auto& record = records_[aGroup];
    const auto most =
      (record.group_.rate_ * kWindowS + record.group_.burst_) * (1 + kTolerance) + kSlack;
    double worst = 0;
    const int bins = kWindowS * kBinsPerSecond;
    for (int first = 0; first + bins <= static_cast<int>(record.admitted_.size()); ++first) {
      const auto begin = record.admitted_.begin() + first;
      worst = std::max(worst, std::accumulate(begin, begin + bins, 0.0) / most);
    }
    return worst;
  }

  double WorstWindow() const
  {
    double worst = 0;
    for (std::size_t index = 0; index < records_.size(); ++index) {
      worst = std::max(worst, WorstWindow(index));
    }
    return worst;
  }

  // Refused requests that the limit allows, as a fraction of all requests of the group.
  double RefusedBelowLimit(std::size_t aGroup) const
  {
    const auto& record = records_[aGroup];
    double level = std::max(1.0, record.group_.burst_);
    double owed = 0;
    for (const auto requests : record.requests_) {
      level =
        std::min(std::max(1.0, record.group_.burst_), level + record.group_.rate_ / kBinsPerSecond);
      const auto taken = std::min(level, static_cast<double>(requests));
      level -= taken;
      owed += taken;
    }
    const auto passed = std::accumulate(record.admitted_.begin(), record.admitted_.end(), 0.0);
    const auto requests = std::accumulate(record.requests_.begin(), record.requests_.end(), 0.0);
    return requests == 0 ? 0 : std::max(0.0, owed - passed) / requests;
  }

  // The same over all groups together, except for one.
  double RefusedBelowLimitExcept(std::size_t aBusyGroup) const
  {
    double refused = 0;
    double requests = 0;
    for (std::size_t index = 0; index < records_.size(); ++index) {
      if (index != aBusyGroup) {
        const auto& all = records_[index].requests_;
        const auto count = std::accumulate(all.begin(), all.end(), 0.0);
        refused += RefusedBelowLimit(index) * count;
        requests += count;
      }
    }
    return refused / requests;
  }

  struct UsageMessage
  {
    Instant at_;
    std::size_t instance_;
    GroupUsages usages_;
  };
  struct ShareMessage
  {
    Instant at_;
    std::size_t instance_;
    AdmittedShares shares_;
  };

  static constexpr Instant kStart = seconds(100);
  Instant now_ = kStart;
  std::minstd_rand random_;
  std::vector<LimitEnforcer> enforcers_;
  std::vector<bool> isPartitioned_;
  std::vector<GroupTrace> records_;
  std::vector<std::discrete_distribution<std::size_t>> instanceWeights_;
  LimitCoordinator coordinator_{ seconds(kWindowS) };
  bool isCoordinatorUp_ = false;
  Instant nextReport_ = kStart;
  std::deque<UsageMessage> usageMessages_;
  std::deque<ShareMessage> shareMessages_;
  std::size_t messages_ = 0;
};

// Below 0.2 of a hundred, for fleets of any size.
constexpr double kMaxRefusedBelowLimit = 0.002;

TEST_F(LimitsOfAFleet, GroupsStayBelowTheirLimits_HardlyAnyRequestIsRefused)
{
  for (const std::size_t instances : { 8, 69, 300, 985 }) {
    Build(instances, 2000);
    Run(seconds(12));
    EXPECT_LT(RefusedBelowLimitExcept(records_.size()), kMaxRefusedBelowLimit) << instances;
    RecordProperty("messages_a_second_" + std::to_string(instances),
                   std::to_string(messages_ / 12));
    Reset();
  }
}

TEST_F(LimitsOfAFleet, OneGroupSendsEightTimesAsMuch_IsHeldToItsLimitAndNoOtherIsRefused)
{
  for (const std::size_t busyGroup : { 0U, 3U, 20U }) {
    for (const std::size_t instances : { 8, 69, 300, 985 }) {
      Reset();
      Build(instances, 2000);
      Run(seconds(4));
      Run(seconds(10), busyGroup, 8);
      Run(seconds(6));
      EXPECT_LE(WorstWindow(busyGroup), 1) << busyGroup << " of " << instances;
      EXPECT_LT(RefusedBelowLimitExcept(busyGroup), kMaxRefusedBelowLimit)
        << busyGroup << " of " << instances;
      EXPECT_LT(RefusedBelowLimit(busyGroup), 0.03) << busyGroup << " of " << instances;
    }
  }
}

TEST_F(LimitsOfAFleet, SomeInstancesArePartitioned_LimitHoldsForAllTogether)
{
  for (const std::size_t part : { 4, 2 }) {
    Build(69, 2000);
    Run(seconds(4), 0, 4);
    for (std::size_t index = 0; index < enforcers_.size() / part; ++index) {
      isPartitioned_[index] = true;
    }
    Run(seconds(12), 0, 4);
    EXPECT_LE(WorstWindow(), 1) << "one in " << part;
    Reset();
  }
}

TEST_F(LimitsOfAFleet, CoordinatorIsReplaced_LimitHolds)
{
  Build(69, 2000);
  Run(seconds(4), 0, 5);
  isCoordinatorUp_ = false;
  Run(seconds(2), 0, 5);
  StartLimitCoordinator();
  Run(seconds(8), 0, 5);
  EXPECT_LE(WorstWindow(), 1);
}

TEST_F(LimitsOfAFleet, AllStartAtOnceUnderLoad_LimitHolds)
{
  Build(69, 2000);
  Run(seconds(10), 0, 5);
  EXPECT_LE(WorstWindow(), 1);
}

class LimitCoordinatorOfOneGroup : public testing::Test
{
protected:
  static CallerGroup Group(double aRate) { return { "g", {}, 0, aRate, aRate }; }

  // Reports as one instance that admits all requests.
  double ShareAfter(Duration aTime, double aRate)
  {
    const auto end = now_ + aTime;
    while (now_ < end) {
      now_ += milliseconds(100);
      const auto count = static_cast<std::uint32_t>(aRate / 10);
      coordinator_.OnUsage(now_, { { "g", count, 0, count } });
    }
    return coordinator_.AdmittedSharesOf(now_, { { "g", 0, 0, 0 } }).front().share_;
  }

  Instant now_ = seconds(100);
  LimitCoordinator coordinator_{ seconds(5) };
};

TEST_F(LimitCoordinatorOfOneGroup, LimitIsLowered_TakesEffectAWindowLater)
{
  coordinator_.SetGroups(now_, { Group(100) });
  EXPECT_EQ(ShareAfter(seconds(2), 80), 1);
  coordinator_.SetGroups(now_, { Group(40) });
  EXPECT_EQ(ShareAfter(seconds(4), 80), 1);
  EXPECT_LT(ShareAfter(seconds(3), 80), 1);
}

TEST_F(LimitCoordinatorOfOneGroup, LimitIsRaised_TakesEffectAtOnce)
{
  coordinator_.SetGroups(now_, { Group(40) });
  EXPECT_LT(ShareAfter(seconds(4), 80), 1);
  coordinator_.SetGroups(now_, { Group(400) });
  EXPECT_EQ(ShareAfter(seconds(1), 80), 1);
}

// Refused callers retry, and would take the places of callers with a first attempt.
TEST_F(LimitCoordinatorOfOneGroup, LateRequestsArriveWithOthers_OthersTakePrecedence)
{
  coordinator_.SetGroups(now_, { Group(100) });
  for (int round = 0; round < 30; ++round) {
    now_ += milliseconds(100);
    coordinator_.OnUsage(now_, { { "g", 8, 10, 10 } });
  }
  const auto share = coordinator_.AdmittedSharesOf(now_, { { "g", 0, 0, 0 } }).front();
  EXPECT_EQ(share.share_, 1);
  EXPECT_LT(share.lateShare_, 0.4);
  for (int round = 0; round < 30; ++round) {
    now_ += milliseconds(100);
    coordinator_.OnUsage(now_, { { "g", 20, 10, 10 } });
  }
  const auto over = coordinator_.AdmittedSharesOf(now_, { { "g", 0, 0, 0 } }).front();
  EXPECT_LT(over.share_, 0.7);
  EXPECT_EQ(over.lateShare_, 0);
}

TEST_F(LimitCoordinatorOfOneGroup, GroupIsUnknown_HasNoAdmittedShare)
{
  EXPECT_TRUE(coordinator_.AdmittedSharesOf(now_, { { "other", 1, 0, 1 } }).empty());
  EXPECT_TRUE(coordinator_.TakeRestrictedShares(now_).empty());
}

TEST(GroupUsage, WrittenAndRead_IsTheSame)
{
  const UsageReport report{ "10.0.0.1:9", { { "g\"1", 3, 4, 2 }, { "g2", 1, 0, 0 } } };
  EXPECT_EQ(ParseUsageReport(SerializeUsageReport(report)).value(), report);
  const AdmittedShares shares{ { "g1", 0.25, 0 }, { "g2", 1, 0.5 } };
  EXPECT_EQ(ParseAdmittedShares(SerializeAdmittedShares(shares)).value(), shares);
}

TEST(GroupUsage, Malformed_IsRefused)
{
  EXPECT_FALSE(ParseUsageReport("{"));
  EXPECT_FALSE(ParseUsageReport(R"({"address":"a","uses":[{"group":"g","asked":-1}]})"));
  EXPECT_FALSE(ParseAdmittedShares(R"({"parts":[{"group":"g","part":2}]})"));
  EXPECT_FALSE(ParseAdmittedShares(R"({"parts":[7]})"));
}

} // namespace

} // namespace latchslip
