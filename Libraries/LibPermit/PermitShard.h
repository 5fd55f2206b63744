#pragma once

#include "LibGateway/RoutingTable.h"
#include "LibGateway/ServerDirectory.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace latchslip {

// Number of a permit shard: a part of the servers of one service with a dispatcher of its own.
using ShardNumber = unsigned;

// Number of shards of a keyed service under load management.
inline constexpr ShardNumber kPermitShards = 16;

// Number of dispatchers by service. Contains the services with kPermitShards shards; all others
// have one shard and one dispatcher.
using DispatcherCounts = std::map<std::string, std::size_t, std::less<>>;

// The shard of a server among aShards, by a hash of its id that is the same in all processes.
ShardNumber
ShardOfServer(std::string_view aServer, ShardNumber aShards);

// Number of dispatchers for servers with aSlots slots in total; at least 1.
std::size_t
DispatchersForSlots(std::size_t aSlots);

// The dispatchers of each keyed service by the slots of its servers. Servers that are leaving
// count, so that a shutdown alone moves no shard. Empty without load management.
DispatcherCounts
CountDispatchers(const RouteTable& aRoutes, const ServerDirectory& aDirectory);

} // namespace latchslip
