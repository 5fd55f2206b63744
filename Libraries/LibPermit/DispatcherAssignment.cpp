#include "LibPermit/DispatcherAssignment.h"

#include "LibBase/KeyHash.h"

#include <algorithm>
#include <set>

namespace latchslip {

namespace {

// An instance is eligible if its duty capacity is at least this share of the highest one.
constexpr double kMinCapacityShare = 0.5;
// Maximum number of candidates. More would only be needed if this many were lost within one roster
// change.
constexpr std::size_t kMaxCandidates = 4;

// The eligible instances; all of them when no instance states its capacity.
std::vector<std::string>
EligibleInstances(const std::map<std::string, FleetPeer>& aPeers)
{
  double highest = 0;
  for (const auto& [address, peer] : aPeers) {
    highest = std::max(highest, peer.DutyCapacity());
  }
  std::vector<std::string> eligible;
  for (const auto& [address, peer] : aPeers) {
    if (peer.DutyCapacity() >= kMinCapacityShare * highest) {
      eligible.push_back(address);
    }
  }
  return eligible;
}

// The instances in the order of their hashes with aName, so that an instance that joins or leaves
// moves few names.
std::vector<std::string>
Rank(const std::string& aName, const std::vector<std::string>& aInstances)
{
  std::vector<std::pair<std::uint64_t, std::string>> ranking;
  ranking.reserve(aInstances.size());
  for (const auto& address : aInstances) {
    ranking.emplace_back(HashPair(aName, address), address);
  }
  std::sort(ranking.begin(), ranking.end());
  std::vector<std::string> ranked;
  ranked.reserve(ranking.size());
  for (auto& [hash, address] : ranking) {
    ranked.push_back(std::move(address));
  }
  return ranked;
}

// The candidates for a shard: the dispatchers of its service, which are the first ones of
// aRanking, in the order of their hashes with the shard, then the next ones of aRanking.
std::vector<std::string>
ShardCandidates(const std::string& aService,
                ShardNumber aShard,
                const std::vector<std::string>& aRanking,
                std::size_t aDispatchers)
{
  const auto end = aRanking.begin() + static_cast<std::ptrdiff_t>(aDispatchers);
  auto candidates =
    Rank(aService + '#' + std::to_string(aShard), std::vector(aRanking.begin(), end));
  candidates.insert(candidates.end(), end, aRanking.end());
  candidates.resize(std::min(candidates.size(), kMaxCandidates));
  return candidates;
}

} // namespace

void
DispatcherAssignment::Assign(const std::map<std::string, FleetPeer>& aPeers,
                             const std::vector<std::string>& aServices,
                             const DispatcherCounts& aCounts)
{
  candidates_.clear();
  const auto eligible = EligibleInstances(aPeers);
  const std::set<std::string> services(aServices.begin(), aServices.end());
  std::set<std::string> assigned;
  for (const auto& service : services) {
    const auto count = aCounts.find(service);
    if (count == aCounts.end()) {
      continue;
    }
    const auto ranking = Rank(service, eligible);
    const auto dispatchers = std::min(count->second, ranking.size());
    for (ShardNumber shard = 0; shard < kPermitShards; ++shard) {
      candidates_[{ service, shard }] = ShardCandidates(service, shard, ranking, dispatchers);
    }
    assigned.insert(ranking.begin(), ranking.begin() + static_cast<std::ptrdiff_t>(dispatchers));
  }
  for (const auto& service : services) {
    if (aCounts.contains(service)) {
      continue;
    }
    auto ranking = Rank(service, eligible);
    std::stable_partition(ranking.begin(), ranking.end(), [&](const auto& aAddress) {
      return !assigned.contains(aAddress);
    });
    ranking.resize(std::min(ranking.size(), kMaxCandidates));
    if (!ranking.empty()) {
      assigned.insert(ranking.front());
    }
    candidates_[{ service, 0 }] = std::move(ranking);
  }
}

const std::vector<std::string>&
DispatcherAssignment::CandidatesFor(const std::string& aService, ShardNumber aShard) const
{
  static const std::vector<std::string> kNone;
  const auto found = candidates_.find({ aService, aShard });
  return found == candidates_.end() ? kNone : found->second;
}

} // namespace latchslip
