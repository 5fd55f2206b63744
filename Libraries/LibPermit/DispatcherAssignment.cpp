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

} // namespace

void
DispatcherAssignment::Assign(const std::map<std::string, FleetPeer>& aPeers,
                             const std::vector<std::string>& aServices)
{
  candidates_.clear();
  const auto eligible = EligibleInstances(aPeers);
  const std::set<std::string> services(aServices.begin(), aServices.end());
  std::set<std::string> assigned;
  for (const auto& service : services) {
    // Each pair of service and instance is hashed, so that an instance that joins or leaves moves
    // few services.
    std::vector<std::pair<std::uint64_t, std::string>> ranking;
    ranking.reserve(eligible.size());
    for (const auto& address : eligible) {
      ranking.emplace_back(HashPair(service, address), address);
    }
    std::sort(ranking.begin(), ranking.end());
    std::stable_partition(ranking.begin(), ranking.end(), [&](const auto& aEntry) {
      return !assigned.contains(aEntry.second);
    });
    auto& candidates = candidates_[service];
    for (std::size_t index = 0; index < std::min(ranking.size(), kMaxCandidates); ++index) {
      candidates.push_back(ranking[index].second);
    }
    if (!candidates.empty()) {
      assigned.insert(candidates.front());
    }
  }
}

const std::vector<std::string>&
DispatcherAssignment::CandidatesFor(const std::string& aService) const
{
  static const std::vector<std::string> kNone;
  const auto found = candidates_.find(aService);
  return found == candidates_.end() ? kNone : found->second;
}

} // namespace latchslip
