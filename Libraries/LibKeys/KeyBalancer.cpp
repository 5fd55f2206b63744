#include "LibKeys/KeyBalancer.h"

#include "LibKeys/BalanceRound.h"
#include "LibKeys/ServerShares.h"

#include <algorithm>
#include <utility>

namespace latchslip {

namespace {

// Ranges that every service is cut into at the least when it is first dealt:
// busy keys lie close together, so each server gets several distant pieces.
constexpr std::size_t kFirstRanges = 64;
// Ranges beyond this multiple of the servers (and at least the number above)
// are not cut further: each costs an order at every renewal.
constexpr std::size_t kMostRangesPerServer = 8;
// One range may move in a round for this many servers: keys that get hot lie close
// together, most of them at one server, and are more than the others can take in a
// few moves.
constexpr std::size_t kServersAMove = 2;

} // namespace

KeyBalancer::KeyBalancer(KeyBalancerSettings aSettings)
  : settings_(aSettings)
{
}

KeyOwnership
KeyBalancer::DealAll(const std::string& aService,
                     FenceNumber aLastFence,
                     const std::vector<KeyServer>& aServers)
{
  KeyOwnership ownership;
  ownership.service_ = aService;
  ownership.lastFence_ = aLastFence;
  std::vector<const KeyServer*> usable;
  for (const auto& server : aServers) {
    if (server.isUsable_) {
      usable.push_back(&server);
    }
  }
  if (usable.empty()) {
    return ownership;
  }
  const auto count = std::max(kFirstRanges, usable.size());
  constexpr auto kKeys = static_cast<std::size_t>(kLastKey) + 1;
  for (std::size_t index = 0; index < count; ++index) {
    const auto first = static_cast<KeyNumber>(kKeys * index / count);
    const auto last = static_cast<KeyNumber>(kKeys * (index + 1) / count - 1);
    const auto& owner = usable[index % usable.size()]->id_;
    ownership.ranges_.push_back({ first, last, owner, ++ownership.lastFence_, "" });
  }
  return ownership;
}

std::optional<KeyOwnership>
KeyBalancer::Replace(const KeyOwnership& aOwnership,
                     const std::vector<KeyServer>& aServers,
                     const KeyLoad& aLoad)
{
  ServerShares shares(aOwnership, aServers, aLoad);
  if (shares.IsEmpty()) {
    return std::nullopt;
  }
  auto next = aOwnership;
  bool isChanged = false;
  for (auto& range : next.ranges_) {
    // A range whose former owner may still hold it waits for that first.
    if (FindUsable(aServers, range.owner_) != nullptr || !range.previous_.empty()) {
      continue;
    }
    const auto to = shares.Least();
    shares.Add(to, aLoad.Of(range.first_, range.last_));
    range.previous_ = range.owner_;
    range.owner_ = to;
    range.fence_ = ++next.lastFence_;
    isChanged = true;
  }
  return isChanged ? std::optional(std::move(next)) : std::nullopt;
}

std::optional<KeyOwnership>
KeyBalancer::EvenOut(const KeyOwnership& aOwnership,
                     const std::vector<KeyServer>& aServers,
                     const KeyLoad& aLoad,
                     FenceNumber aRestedFence) const
{
  ServerShares shares(aOwnership, aServers, aLoad);
  if (shares.IsEmpty()) {
    return std::nullopt;
  }
  BalanceLimits limits;
  limits.tolerance_ = settings_.tolerance_;
  limits.mostRanges_ = std::max(2 * kFirstRanges, kMostRangesPerServer * aServers.size());
  limits.mostMoves_ = std::max(settings_.leastMoves_, aServers.size() / kServersAMove);
  limits.restedFence_ = aRestedFence;
  return BalanceRound(aOwnership, std::move(shares), aLoad, limits).Run();
}

} // namespace latchslip
