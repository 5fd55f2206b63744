#include "ShardedFleet.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace latchslip {

namespace {

// Each request that was made since the last count has one end, and none ran twice.
void
ExpectAllEndedOnce(const ShardedFleetCounts& aCounts)
{
  EXPECT_EQ(aCounts.delivered_ + aCounts.refused_, aCounts.requests_);
  EXPECT_EQ(aCounts.repeated_, 0U);
}

double
Share(std::size_t aPart, std::size_t aWhole)
{
  return static_cast<double>(aPart) / static_cast<double>(aWhole);
}

// 100 servers with 300 slots, which need two dispatchers, at 80 % of their capacity.
ShardedFleetSettings
TwoDispatchers()
{
  ShardedFleetSettings settings;
  settings.servers_ = 100;
  settings.rate_ = 1200;
  return settings;
}

// Guards against permits that all come from one dispatcher, or from a weak instance.
TEST(ShardedFleet, ServersNeedTwoDispatchers_TwoStrongInstancesIssueThePermits)
{
  ShardedFleet fleet(TwoDispatchers());
  fleet.Run(seconds(2));
  const auto dispatchers = fleet.Dispatchers();
  EXPECT_EQ(dispatchers.size(), 2U);
  for (const auto dispatcher : dispatchers) {
    EXPECT_LT(dispatcher, 6U);
  }
  fleet.Drain();
  ExpectAllEndedOnce(fleet.TakeCounts());
}

// Guards against requests that wait for the permits of a dead dispatcher.
TEST(ShardedFleet, DispatcherDiesWithQueuedRequests_TheirInstancesAskTheNextAtOnce)
{
  auto settings = TwoDispatchers();
  settings.rate_ = 1800;
  ShardedFleet fleet(settings);
  fleet.Run(seconds(2));
  const auto dead = fleet.BusiestDispatcher();
  ASSERT_GT(fleet.QueuedAt(dead), 20U);
  fleet.End(dead);
  fleet.Run(milliseconds(20));
  std::size_t queued = 0;
  for (const auto dispatcher : fleet.Dispatchers()) {
    queued += fleet.QueuedAt(dispatcher);
  }
  EXPECT_GT(queued, 20U);
  fleet.Run(seconds(1));
  fleet.Drain();
  ExpectAllEndedOnce(fleet.TakeCounts());
}

// Guards against a server that gets the permits of two dispatchers without end: its answers that it
// is full must reduce what both give.
TEST(ShardedFleet, HalfOfTheInstancesHaveAnOlderRoster_NoRequestIsLostOrRunTwice)
{
  ShardedFleet fleet(TwoDispatchers());
  fleet.Run(seconds(1));
  std::set<std::size_t> older;
  for (std::size_t index = 0; index < fleet.Instances(); ++index) {
    older.insert(index);
  }
  older.erase(fleet.BusiestDispatcher());
  for (std::size_t index = 0; index < fleet.Instances(); index += 2) {
    fleet.SetRoster(index, older);
  }
  fleet.Run(seconds(1));
  EXPECT_GE(fleet.Dispatchers().size(), 3U);
  fleet.Run(seconds(2));
  fleet.Drain();
  const auto counts = fleet.TakeCounts();
  ExpectAllEndedOnce(counts);
  EXPECT_LT(Share(counts.rejections_, counts.arrivals_), 0.1);
  EXPECT_GT(Share(counts.delivered_, counts.requests_), 0.9);
}

// Guards against the loss of sends and requests when shards move between living dispatchers.
TEST(ShardedFleet, SecondDispatcherIsNeededUnderLoad_NoRequestIsLostOrRunTwice)
{
  ShardedFleetSettings settings;
  settings.servers_ = 80;
  settings.rate_ = 1000;
  ShardedFleet fleet(settings);
  fleet.Run(seconds(1));
  EXPECT_EQ(fleet.Dispatchers().size(), 1U);
  fleet.AddServers(20);
  fleet.Run(seconds(1));
  EXPECT_EQ(fleet.Dispatchers().size(), 2U);
  fleet.Run(seconds(1));
  fleet.Drain();
  const auto counts = fleet.TakeCounts();
  ExpectAllEndedOnce(counts);
  EXPECT_LT(Share(counts.rejections_, counts.arrivals_), 0.02);
}

// Guards against a dispatcher whose answers wait behind its link while its instances go on asking
// it.
TEST(ShardedFleet, DispatcherIsSlowButAlive_ResignsForTenSeconds)
{
  ShardedFleet fleet(TwoDispatchers());
  fleet.Run(seconds(1));
  const auto slow = fleet.BusiestDispatcher();
  fleet.SetAnswerDelay(slow, milliseconds(150));
  // The sends that it knows expire about 2 s after the moves.
  fleet.Run(seconds(6));
  EXPECT_FALSE(fleet.Dispatchers().contains(slow));
  fleet.SetAnswerDelay(slow, Duration(0));
  fleet.Run(seconds(3));
  EXPECT_FALSE(fleet.Dispatchers().contains(slow));
  fleet.Run(seconds(5));
  EXPECT_TRUE(fleet.Dispatchers().contains(slow));
  fleet.Drain();
  const auto counts = fleet.TakeCounts();
  EXPECT_EQ(counts.resignations_, 1U);
  ExpectAllEndedOnce(counts);
}

// Guards against permits that come too late, and so against servers that instances fill without
// them.
TEST(ShardedFleet, SeventyThreeInstancesAnd3000RequestsASecond_PermitsAreInTime)
{
  ShardedFleetSettings settings;
  settings.strong_ = 6;
  settings.weak_ = 67;
  settings.servers_ = 291;
  settings.rate_ = 3000;
  ShardedFleet fleet(settings);
  fleet.Run(seconds(2));
  fleet.TakeCounts();
  fleet.Run(seconds(4));
  auto counts = fleet.TakeCounts();
  auto& answers = counts.firstAnswers_;
  ASSERT_GT(answers.size(), 10'000U);
  const auto rank = answers.begin() + static_cast<std::ptrdiff_t>(answers.size() * 99 / 100);
  std::nth_element(answers.begin(), rank, answers.end());
  EXPECT_LE(*rank, milliseconds(10));
  EXPECT_LT(Share(counts.withoutPermit_, counts.requests_), 0.01);
  EXPECT_LT(Share(counts.rejections_, counts.arrivals_), 0.02);
  RecordProperty("first_answer_p99_us", static_cast<int>(rank->count()));
  RecordProperty("without_permit", static_cast<int>(counts.withoutPermit_));
  RecordProperty("rejections", static_cast<int>(counts.rejections_));
  RecordProperty("arrivals", static_cast<int>(counts.arrivals_));
  RecordProperty("delivered", static_cast<int>(counts.delivered_));
}

} // namespace

} // namespace latchslip
