#include "LibKeys/KeyBalancer.h"

#include "LibKeys/BalanceRound.h"
#include "LibKeys/LoadDistribution.h"

#include <algorithm>
#include <utility>

namespace latchslip {

namespace {

// Minimum number of ranges in the initial assignment. Busy keys tend to be neighbours, so each
// server gets several distant ranges.
constexpr std::size_t kInitialRanges = 64;
// No range is split further beyond this many ranges per server (but at least twice the number
// above): each range costs a command at every renewal.
constexpr std::size_t kMaxRangesPerServer = 8;
// Nor beyond this many ranges in all, which a placer with a fifth of a processor can renew with
// half of it; but a service with more servers may always split some.
constexpr std::size_t kMaxRenewedRanges = 1500;
constexpr std::size_t kServersPerSplit = 4;
// One round may move one range per this many servers. Keys that become hot are neighbours, most of
// them at one server, and their load exceeds what the other servers can absorb in a few moves.
constexpr std::size_t kServersPerMove = 2;

// The number of ranges beyond which the keys of a service with that many servers are not split.
std::size_t
MaxRanges(std::size_t aServers)
{
  const auto renewable = std::max(kMaxRenewedRanges, aServers + aServers / kServersPerSplit);
  return std::max(2 * kInitialRanges, std::min(kMaxRangesPerServer * aServers, renewable));
}

} // namespace

KeyBalancer::KeyBalancer(KeyBalancerSettings aSettings)
  : settings_(aSettings)
{
}

KeyOwnership
KeyBalancer::AssignAll(const std::string& aService,
                       FenceNumber aLastFence,
                       const KeyServers& aServers)
{
  KeyOwnership ownership;
  ownership.service_ = aService;
  ownership.lastFence_ = aLastFence;
  std::vector<const KeyServer*> usable;
  for (const auto& server : aServers.All()) {
    if (server.isUsable_) {
      usable.push_back(&server);
    }
  }
  if (usable.empty()) {
    return ownership;
  }
  const auto count = std::max(kInitialRanges, usable.size());
  constexpr auto kKeys = static_cast<std::size_t>(kLastKey) + 1;
  for (std::size_t index = 0; index < count; ++index) {
    const auto first = static_cast<KeyNumber>(kKeys * index / count);
    const auto last = static_cast<KeyNumber>(kKeys * (index + 1) / count - 1);
    const auto& owner = usable[index % usable.size()]->id_;
    ownership.ranges_.push_back({ first, last, owner, IssueFences(ownership.lastFence_), "" });
  }
  return ownership;
}

std::optional<KeyOwnership>
KeyBalancer::ReplaceOwners(const KeyOwnership& aOwnership,
                           const KeyServers& aServers,
                           const KeyLoad& aLoad)
{
  // A range whose former owner may still hold it is reassigned only once that owner is cleared.
  const auto isReplaced = [&](const KeyRange& aRange) {
    return aRange.previous_.empty() && aServers.FindUsable(aRange.owner_) == nullptr;
  };
  if (std::none_of(aOwnership.ranges_.begin(), aOwnership.ranges_.end(), isReplaced)) {
    return std::nullopt;
  }
  LoadDistribution distribution(aOwnership, aServers, aLoad);
  if (distribution.IsEmpty()) {
    return std::nullopt;
  }
  auto next = aOwnership;
  for (auto& range : next.ranges_) {
    if (!isReplaced(range)) {
      continue;
    }
    const auto to = distribution.LeastLoaded();
    distribution.Add(to, aLoad.Between(range.first_, range.last_));
    range.previous_ = range.owner_;
    range.owner_ = to;
    range.fence_ = IssueFences(next.lastFence_);
  }
  return next;
}

std::optional<KeyOwnership>
KeyBalancer::Rebalance(const KeyOwnership& aOwnership,
                       const KeyServers& aServers,
                       const KeyLoad& aLoad,
                       FenceNumber aMaxMovableFence) const
{
  LoadDistribution distribution(aOwnership, aServers, aLoad);
  if (distribution.IsEmpty()) {
    return std::nullopt;
  }
  BalanceLimits limits;
  limits.tolerance_ = settings_.tolerance_;
  limits.maxRanges_ = MaxRanges(aServers.All().size());
  limits.maxMoves_ = std::max(settings_.minMoves_, aServers.All().size() / kServersPerMove);
  limits.maxMovableFence_ = aMaxMovableFence;
  return BalanceRound(aOwnership, std::move(distribution), aLoad, limits).Run();
}

} // namespace latchslip
