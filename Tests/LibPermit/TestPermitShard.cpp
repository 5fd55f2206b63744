#include "LibPermit/PermitShard.h"

#include <gtest/gtest.h>
#include <vector>

namespace latchslip {

namespace {

RouteTable
MakeRoutes(bool aHasLargeBodies)
{
  RoutingConfiguration configuration;
  configuration.version_ = 1;
  configuration.services_ = { { "plain", 100, false }, { "keyed", 100, true } };
  Route route;
  route.host_ = "a.example";
  route.pathPrefix_ = "/";
  route.hasLargeBodies_ = aHasLargeBodies;
  route.targets_ = { { "plain", 1 } };
  configuration.routes_ = { route };
  return RouteTable::Create(configuration).value();
}

ServerDirectory
MakeDirectory(std::size_t aServers, unsigned aSlots)
{
  ServerDirectory directory;
  for (std::size_t number = 0; number < aServers; ++number) {
    const auto id = std::to_string(number);
    directory.Put(seconds(1), { "p" + id, "plain", "p" + id, "hall", aSlots, false, 1 });
    directory.Put(seconds(1), { "k" + id, "keyed", "k" + id, "hall", aSlots, false, 1 });
  }
  return directory;
}

// Guards against a service whose servers share few of the shards.
TEST(PermitShard, ManyServers_EachShardHasSome)
{
  constexpr std::size_t kServers = 291;
  std::vector<std::size_t> counts(kPermitShards);
  for (std::size_t number = 0; number < kServers; ++number) {
    ++counts.at(ShardOfServer("server-" + std::to_string(number), kPermitShards));
  }
  for (const auto count : counts) {
    EXPECT_GE(count, kServers / kPermitShards / 3);
    EXPECT_LE(count, kServers / kPermitShards * 2);
  }
}

TEST(PermitShard, ServiceHasOneShard_AllServersAreInIt)
{
  EXPECT_EQ(ShardOfServer("server-1", 1), 0U);
  EXPECT_EQ(ShardOfServer("server-2", 1), 0U);
}

TEST(PermitShard, SlotsGrow_OneMoreDispatcherForEach256)
{
  EXPECT_EQ(DispatchersForSlots(0), 1U);
  EXPECT_EQ(DispatchersForSlots(256), 1U);
  EXPECT_EQ(DispatchersForSlots(257), 2U);
  EXPECT_EQ(DispatchersForSlots(873), 4U);
}

TEST(PermitShard, LoadManagementIsOff_NoServiceHasShards)
{
  EXPECT_TRUE(CountDispatchers(MakeRoutes(false), MakeDirectory(291, 3)).empty());
}

TEST(PermitShard, LoadManagementIsOn_OnlyKeyedServicesHaveShards)
{
  const DispatcherCounts expected{ { "keyed", 4 } };
  EXPECT_EQ(CountDispatchers(MakeRoutes(true), MakeDirectory(291, 3)), expected);
}

// Guards against shards that move each time that a server announces its shutdown.
TEST(PermitShard, ServerLeaves_CountsUntilItIsGone)
{
  auto directory = MakeDirectory(86, 3);
  const DispatcherCounts expected{ { "keyed", 2 } };
  directory.RecordLeaving(seconds(2), "k0", 0);
  EXPECT_EQ(CountDispatchers(MakeRoutes(true), directory), expected);
}

} // namespace

} // namespace latchslip
