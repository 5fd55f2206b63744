#include "LibPlacement/Rebalancer.h"

#include <algorithm>
#include <numeric>
#include <optional>

namespace latchslip {

namespace {

// Share of a server's slots that must be busy before balancing its load is worth a move.
constexpr double kMinBusyShare = 0.2;
// Weight of a new report in the moving average.
constexpr double kReportWeight = 0.4;
constexpr double kNegligibleLoad = 1e-4;

// Server loads, updated as moves are chosen.
struct Balance
{
  std::vector<ServerIndex> active_;
  std::vector<double> loads_;
  // Whether none of the remaining moves would improve the server's load.
  std::vector<bool> isExhausted_;

  double Mean() const
  {
    double sum = 0;
    for (const auto server : active_) {
      sum += loads_[server];
    }
    return active_.empty() ? 0 : sum / static_cast<double>(active_.size());
  }

  std::optional<ServerIndex> Busiest() const
  {
    std::optional<ServerIndex> busiest;
    for (const auto server : active_) {
      if (!isExhausted_[server] && (!busiest || loads_[server] > loads_[*busiest])) {
        busiest = server;
      }
    }
    return busiest;
  }

  ServerIndex LeastBusy() const
  {
    return *std::min_element(active_.begin(), active_.end(), [&](auto aLeft, auto aRight) {
      return loads_[aLeft] < loads_[aRight];
    });
  }
};

Balance
MakeBalance(const Placement& aPlacement, const LoadTable& aLoads)
{
  Balance balance;
  balance.loads_.resize(aPlacement.servers_.size(), 0);
  balance.isExhausted_.resize(aPlacement.servers_.size(), false);
  for (ServerIndex index = 0; index < aPlacement.servers_.size(); ++index) {
    const auto& server = aPlacement.servers_[index];
    if (server.state_ != PlacedState::Active) {
      continue;
    }
    balance.active_.push_back(index);
    const auto found = aLoads.find(server.name_);
    balance.loads_[index] = found == aLoads.end() ? 0 : found->second.load_;
  }
  return balance;
}

void
AddCandidateMoves(const Placement& aPlacement,
                  const ServerLoad& aLoad,
                  ServerIndex aFrom,
                  std::vector<SliceMove>& aCandidates)
{
  for (const auto& [start, load] : aLoad.slices_) {
    const auto index = aPlacement.SliceIndexOf(start);
    const auto& slice = aPlacement.slices_[index];
    if (slice.start_ != start || slice.owner_ != aFrom || slice.IsMoving()) {
      continue;
    }
    aCandidates.push_back({ start, false, false, aFrom, kNoServer, load });
    const bool isOneKey = aPlacement.LastHashOf(index) == start;
    const bool hasHotKey = aPlacement.SliceIndexOf(aLoad.hottestKey_) == index;
    // Halving a slice does not help if one key causes most of its load.
    if (!isOneKey && !(hasHotKey && aLoad.hottestLoad_ > load / 2)) {
      aCandidates.push_back({ start, false, true, aFrom, kNoServer, load / 2 });
    }
  }
  const auto hotIndex = aPlacement.SliceIndexOf(aLoad.hottestKey_);
  const auto& hotSlice = aPlacement.slices_[hotIndex];
  const bool isOwnSlice = aPlacement.LastHashOf(hotIndex) == hotSlice.start_;
  if (aLoad.hottestLoad_ > 0 && !isOwnSlice && hotSlice.owner_ == aFrom && !hotSlice.IsMoving()) {
    aCandidates.push_back({ aLoad.hottestKey_, true, false, aFrom, kNoServer, aLoad.hottestLoad_ });
  }
}

// Returns the move that leaves the two servers most even, preferring whole slices over
// splits.
std::optional<SliceMove>
BestMove(const std::vector<SliceMove>& aCandidates, double aSurplus, double aMinGain)
{
  std::optional<SliceMove> best;
  double bestGain = 0;
  for (const auto& candidate : aCandidates) {
    // Moving more than the surplus only makes the target the busier server.
    const double gain = std::min(candidate.load_, aSurplus * 2 - candidate.load_);
    const double cost = candidate.isHalf_ || candidate.isSingleKey_ ? aMinGain / 2 : 0;
    if (gain >= aMinGain && gain - cost > bestGain) {
      best = candidate;
      bestGain = gain - cost;
    }
  }
  return best;
}

} // namespace

void
ServerLoad::AddReport(const ServerReport& aReport)
{
  const bool isFirst = slices_.empty() && load_ == 0;
  const double gain = isFirst ? 1 : kReportWeight;
  const auto blend = [&](double& aKnown, double aNew) { aKnown += gain * (aNew - aKnown); };
  blend(load_, aReport.load_);
  // A slice that is not reported had no load or has been moved away.
  for (auto& [start, load] : slices_) {
    load *= 1 - gain;
  }
  for (const auto& slice : aReport.slices_) {
    slices_[slice.start_] += gain * slice.load_;
  }
  std::erase_if(slices_, [](const auto& aSlice) { return aSlice.second < kNegligibleLoad; });
  if (aReport.hottestKey_ != hottestKey_) {
    hottestKey_ = aReport.hottestKey_;
    hottestLoad_ = 0;
  }
  blend(hottestLoad_, aReport.hottestLoad_);
}

void
MoveLoad(LoadTable& aLoads, KeyHash aStart, const std::string& aFrom, const std::string& aTo)
{
  auto& from = aLoads[aFrom];
  const auto slice = from.slices_.find(aStart);
  if (slice == from.slices_.end()) {
    return;
  }
  const double load = slice->second;
  from.slices_.erase(slice);
  from.load_ = std::max(0.0, from.load_ - load);
  auto& to = aLoads[aTo];
  to.slices_[aStart] += load;
  to.load_ += load;
}

RebalancePolicy
RebalancePolicy::Of(PlacementProfile aProfile, unsigned aSlots)
{
  const double leastLoad = kMinBusyShare * aSlots;
  switch (aProfile) {
    case PlacementProfile::ChurnFirst:
      return { 0.14, 0.04, 2, leastLoad };
    case PlacementProfile::UnavailabilityFirst:
      break;
  }
  return { 0.10, 0.02, 6, leastLoad };
}

std::vector<SliceMove>
ChooseMoves(const Placement& aPlacement, const LoadTable& aLoads, const RebalancePolicy& aPolicy)
{
  auto balance = MakeBalance(aPlacement, aLoads);
  std::vector<SliceMove> moves;
  if (balance.active_.size() < 2) {
    return moves;
  }
  const double mean = balance.Mean();
  std::vector<KeyHash> taken;
  while (moves.size() < aPolicy.maxMoves_) {
    const auto from = balance.Busiest();
    if (!from || balance.loads_[*from] < aPolicy.minLoad_ ||
        balance.loads_[*from] <= mean * (1 + aPolicy.tolerance_)) {
      break;
    }
    const auto to = balance.LeastBusy();
    const double surplus =
      std::min(balance.loads_[*from] - mean, (balance.loads_[*from] - balance.loads_[to]) / 2);
    std::vector<SliceMove> candidates;
    const auto load = aLoads.find(aPlacement.servers_[*from].name_);
    AddCandidateMoves(aPlacement, load->second, *from, candidates);
    std::erase_if(candidates, [&](const SliceMove& aMove) {
      return std::any_of(taken.begin(), taken.end(), [&](KeyHash aHash) {
        return aPlacement.SliceIndexOf(aHash) == aPlacement.SliceIndexOf(aMove.start_);
      });
    });
    auto best = BestMove(candidates, surplus, mean * aPolicy.minGain_);
    if (!best) {
      balance.isExhausted_[*from] = true;
      continue;
    }
    best->to_ = to;
    balance.loads_[*from] -= best->load_;
    balance.loads_[to] += best->load_;
    taken.push_back(best->start_);
    moves.push_back(*best);
  }
  return moves;
}

double
ImbalanceOf(const Placement& aPlacement, const LoadTable& aLoads)
{
  const auto balance = MakeBalance(aPlacement, aLoads);
  const double mean = balance.Mean();
  if (mean <= 0) {
    return 1;
  }
  double most = 0;
  for (const auto server : balance.active_) {
    most = std::max(most, balance.loads_[server]);
  }
  return most / mean;
}

} // namespace latchslip
