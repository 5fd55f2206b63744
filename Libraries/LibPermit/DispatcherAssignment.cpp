#include "LibPermit/DispatcherAssignment.h"

#include "LibBase/KeyHash.h"

#include <algorithm>
#include <set>

namespace latchslip {

namespace {

// An instance is eligible if its processor share is at least this share of the highest one.
constexpr double kStrongPart = 0.5;
// Maximum number of candidates. More would only be needed if this many were lost within one roster
// change.
constexpr std::size_t kMostCandidates = 4;

// The eligible instances; all of them when no instance reports its processor share.
std::vector<std::string>
StrongOf(const std::map<std::string, FleetPeer>& aPeers)
{
  double strongest = 0;
  for (const auto& [address, peer] : aPeers) {
    strongest = std::max(strongest, peer.processorShare_);
  }
  std::vector<std::string> strong;
  for (const auto& [address, peer] : aPeers) {
    if (peer.processorShare_ >= kStrongPart * strongest) {
      strong.push_back(address);
    }
  }
  return strong;
}

} // namespace

void
DispatcherAssignment::Assign(const std::map<std::string, FleetPeer>& aPeers,
                             const std::vector<std::string>& aServices)
{
  candidates_.clear();
  const auto strong = StrongOf(aPeers);
  const std::set<std::string> services(aServices.begin(), aServices.end());
  std::set<std::string> taken;
  for (const auto& service : services) {
    // Each pair of service and instance is hashed, so that an instance that joins or leaves moves
    // few services.
    std::vector<std::pair<std::uint64_t, std::string>> order;
    order.reserve(strong.size());
    for (const auto& address : strong) {
      order.emplace_back(HashPair(service, address), address);
    }
    std::sort(order.begin(), order.end());
    std::stable_partition(order.begin(), order.end(), [&](const auto& aEntry) {
      return !taken.contains(aEntry.second);
    });
    auto& candidates = candidates_[service];
    for (std::size_t index = 0; index < std::min(order.size(), kMostCandidates); ++index) {
      candidates.push_back(order[index].second);
    }
    if (!candidates.empty()) {
      taken.insert(candidates.front());
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
