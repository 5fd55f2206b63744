#include "LibPermit/PermitShard.h"

#include "LibBase/KeyHash.h"

#include <algorithm>

namespace latchslip {

namespace {

// Slots whose permits one dispatcher issues. With 3 slots a server and 200 ms of work, 256 slots
// need about 1,280 permits a second.
constexpr std::size_t kSlotsPerDispatcher = 256;

} // namespace

ShardNumber
ShardOfServer(std::string_view aServer, ShardNumber aShards)
{
  return static_cast<ShardNumber>(HashKey(aServer) % aShards);
}

std::size_t
DispatchersForSlots(std::size_t aSlots)
{
  return std::max<std::size_t>(1, (aSlots + kSlotsPerDispatcher - 1) / kSlotsPerDispatcher);
}

DispatcherCounts
CountDispatchers(const RouteTable& aRoutes, const ServerDirectory& aDirectory)
{
  DispatcherCounts counts;
  if (!aRoutes.UsesLoadManagement()) {
    return counts;
  }
  std::map<std::string, std::size_t, std::less<>> slots;
  for (const auto& [id, record] : aDirectory.All()) {
    slots[record.service_] += record.slots_;
  }
  for (const auto& service : aRoutes.Configuration().services_) {
    if (service.isKeyed_) {
      counts[service.name_] = DispatchersForSlots(slots[service.name_]);
    }
  }
  return counts;
}

} // namespace latchslip
