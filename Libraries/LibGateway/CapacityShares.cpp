#include "LibGateway/CapacityShares.h"

#include <algorithm>

namespace latchslip {

namespace {

// Lowest rate in sends per second, so that an instance of a large fleet still finds out whether the
// server answers.
constexpr double kMinRate = 0.5;
constexpr Duration kMinWork = milliseconds(1);

} // namespace

void
CapacityShares::SetShare(Instant aNow,
                         const std::string& aServer,
                         std::size_t aSlots,
                         Duration aWork,
                         std::size_t aInstances)
{
  const auto [entry, isNew] = buckets_.try_emplace(aServer);
  const auto slots =
    static_cast<double>(aSlots) / static_cast<double>(std::max<std::size_t>(1, aInstances));
  const auto rate = std::max(kMinRate, slots / ToSeconds(std::max(kMinWork, aWork)));
  const auto capacity = std::max(1.0, slots);
  entry->second.SetParameters(aNow, { rate, capacity, 0 });
  if (isNew) {
    entry->second.SetTokens(aNow, capacity);
  }
}

bool
CapacityShares::HasToken(Instant aNow, const std::string& aServer) const
{
  const auto bucket = buckets_.find(aServer);
  return bucket == buckets_.end() || bucket->second.HasToken(aNow);
}

void
CapacityShares::OnSent(Instant aNow, const std::string& aServer)
{
  if (const auto bucket = buckets_.find(aServer); bucket != buckets_.end()) {
    bucket->second.Take(aNow);
  }
}

Duration
CapacityShares::RemainingWait(Instant aNow, const std::string& aServer, std::size_t aAhead) const
{
  const auto bucket = buckets_.find(aServer);
  return bucket == buckets_.end() ? Duration(0) : bucket->second.WaitFor(aNow, aAhead + 1);
}

void
CapacityShares::KeepServers(const std::function<bool(const std::string&)>& aExists)
{
  std::erase_if(buckets_, [&](const auto& aEntry) { return !aExists(aEntry.first); });
}

} // namespace latchslip
