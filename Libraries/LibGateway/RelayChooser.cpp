#include "LibGateway/RelayChooser.h"

#include <algorithm>
#include <iterator>

namespace latchslip {

namespace {

// Number of instances that are compared for one send.
constexpr std::size_t kSample = 3;
// Traffic between halls is charged and takes longer.
constexpr double kOtherHallCostFactor = 1.5;
// An instance that could not relay is left out for this long, doubled with each further failure.
constexpr Duration kAvoidTime = milliseconds(500);
constexpr unsigned kMaxDoublings = 3;
// In processors; assumed for instances that do not state their capacity.
constexpr double kDefaultCapacity = 0.1;

} // namespace

RelayChooser::RelayChooser(std::string aHall, std::uint32_t aSeed)
  : hall_(std::move(aHall))
  , random_(aSeed)
{
}

void
RelayChooser::SetPeers(std::map<std::string, RelayPeer> aPeers)
{
  std::erase_if(peers_, [&](const auto& aEntry) { return !aPeers.contains(aEntry.first); });
  for (auto& [address, peer] : aPeers) {
    peers_[address].peer_ = std::move(peer);
  }
}

std::optional<std::string>
RelayChooser::Choose(Instant aNow, const std::vector<std::string>& aTried, bool aIsOwnHallInDoubt)
{
  std::vector<const std::string*> own;
  std::vector<const std::string*> others;
  for (const auto& [address, state] : peers_) {
    if (aNow < state.avoidUntil_ ||
        std::find(aTried.begin(), aTried.end(), address) != aTried.end()) {
      continue;
    }
    (state.peer_.hall_ == hall_ ? own : others).push_back(&address);
  }
  const bool prefersOthers = aIsOwnHallInDoubt || !aTried.empty() || aNow < ownHallAvoidedUntil_;
  auto& first = prefersOthers ? others : own;
  auto& candidates = first.empty() ? (prefersOthers ? own : others) : first;
  std::vector<const std::string*> sample;
  std::sample(candidates.begin(), candidates.end(), std::back_inserter(sample), kSample, random_);
  const auto best =
    std::min_element(sample.begin(), sample.end(), [this](const auto* aLeft, const auto* aRight) {
      return CostOf(peers_.at(*aLeft)) < CostOf(peers_.at(*aRight));
    });
  return best == sample.end() ? std::nullopt : std::optional(**best);
}

double
RelayChooser::CostOf(const PeerState& aState) const
{
  const double capacity = aState.peer_.capacity_ > 0 ? aState.peer_.capacity_ : kDefaultCapacity;
  const double distance = aState.peer_.hall_ == hall_ ? 1 : kOtherHallCostFactor;
  return static_cast<double>(aState.inFlight_ + 1) * distance / capacity;
}

bool
RelayChooser::HasChoice(Instant aNow) const
{
  return std::any_of(peers_.begin(), peers_.end(), [aNow](const auto& aEntry) {
    return aNow >= aEntry.second.avoidUntil_;
  });
}

void
RelayChooser::OnSent(const std::string& aPeer)
{
  if (const auto peer = peers_.find(aPeer); peer != peers_.end()) {
    ++peer->second.inFlight_;
  }
}

void
RelayChooser::OnEnded(Instant aNow, const std::string& aPeer, bool aCouldRelay)
{
  const auto peer = peers_.find(aPeer);
  if (peer == peers_.end()) {
    return;
  }
  auto& state = peer->second;
  state.inFlight_ -= std::min<std::size_t>(state.inFlight_, 1);
  if (aCouldRelay) {
    state.failures_ = 0;
    return;
  }
  state.avoidUntil_ = aNow + kAvoidTime * (1U << std::min(state.failures_, kMaxDoublings));
  ++state.failures_;
  if (state.peer_.hall_ == hall_) {
    ownHallAvoidedUntil_ = aNow + kAvoidTime;
  }
}

} // namespace latchslip
