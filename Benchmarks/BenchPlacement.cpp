#include "LibPlacement/Placer.h"
#include "Samples.h"

#include <benchmark/benchmark.h>
#include <random>

namespace latchslip {

namespace {

constexpr std::size_t kSlicesPerServer = 16;
// Allowed load of the busiest server after a shift, as a multiple of the mean.
constexpr double kMaxImbalance = 1.15;

// A service all of whose servers have grants and load reports.
class PlacedFleet
{
public:
  explicit PlacedFleet(std::size_t aServers, std::size_t aSlicesPerServer = kSlicesPerServer)
    : members_("instance-0#0123abcd", "hall-a", MembershipTiming{})
    , declaration_(MakeDeclaration(aServers))
    , placement_(MakePlacement(aServers, aSlicesPerServer))
    , placer_("rates", PlacerTiming{})
  {
    members_.OnList(now_, MakeInstanceList(8));
    for (int index = 1; index < 8; ++index) {
      members_.OnContact(now_,
                         "instance-" + std::to_string(index) + "#0123abcd",
                         index % 2 ? "hall-b" : "hall-a",
                         false);
    }
    ReportAll([](std::size_t) { return 1.0; });
  }

  template<typename LoadOfSlice>
  void ReportAll(LoadOfSlice aLoadOfSlice)
  {
    std::vector<ServerReport> reports(placement_.servers_.size());
    for (std::size_t index = 0; index < placement_.slices_.size(); ++index) {
      const auto& slice = placement_.slices_[index];
      const double load = aLoadOfSlice(index) / kSlicesPerServer;
      reports[slice.owner_].slices_.push_back({ slice.start_, load });
      reports[slice.owner_].load_ += load;
    }
    for (std::size_t index = 0; index < reports.size(); ++index) {
      const auto& server = placement_.servers_[index];
      auto& report = reports[index];
      report.server_ = server.name_;
      report.holder_ = server.holder_;
      report.fence_ = server.fence_;
      report.sequence_ = ++sequence_;
      report.isReachable_ = true;
      report.hasLoad_ = true;
      report.releasedVersion_ = version_;
      placer_.OnReport(now_, report);
    }
  }

  std::optional<PlacementProposal> Propose()
  {
    now_ += seconds(1);
    return placer_.Propose(now_,
                           declaration_.services_[0],
                           PlacementProfile::UnavailabilityFirst,
                           placement_,
                           version_,
                           members_);
  }

  void Commit(PlacementProposal aProposal)
  {
    placement_ = std::move(aProposal.placement_);
    ++version_;
  }

  Instant now_ = seconds(10);
  Membership members_;
  Declaration declaration_;
  Placement placement_;
  RowVersion version_ = 1;
  std::uint64_t sequence_ = 0;
  Placer placer_;
};

// A placement round without changes. Argument: number of servers.
void
BM_PlacerIdleRound(benchmark::State& aState)
{
  PlacedFleet fleet(static_cast<std::size_t>(aState.range(0)));
  for (auto _ : aState) {
    benchmark::DoNotOptimize(fleet.Propose());
  }
}
BENCHMARK(BM_PlacerIdleRound)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

// The placement round after the loss of one server, and the number of slices that it moves.
// Arguments: number of servers; slices per server.
void
BM_PlacerServerLoss(benchmark::State& aState)
{
  double moved = 0;
  double writes = 0;
  for (auto _ : aState) {
    aState.PauseTiming();
    PlacedFleet fleet(static_cast<std::size_t>(aState.range(0)),
                      static_cast<std::size_t>(aState.range(1)));
    ServerReport report;
    const auto& server = fleet.placement_.servers_[1];
    report.server_ = server.name_;
    report.holder_ = server.holder_;
    report.fence_ = server.fence_;
    report.sequence_ = 1000000;
    report.isWithheld_ = true;
    fleet.placer_.OnReport(fleet.now_, report);
    const auto before = fleet.placement_;
    aState.ResumeTiming();
    auto proposal = fleet.Propose();
    aState.PauseTiming();
    moved = 0;
    for (std::size_t index = 0; index < before.slices_.size(); ++index) {
      moved += before.slices_[index].owner_ != proposal->placement_.slices_[index].owner_ ? 1 : 0;
    }
    writes = 1;
    aState.ResumeTiming();
  }
  aState.counters["slices_moved"] = moved;
  aState.counters["store_writes"] = writes;
}
BENCHMARK(BM_PlacerServerLoss)
  ->Args({ 10, 16 })
  ->Args({ 100, 16 })
  ->Args({ 1000, 16 })
  ->Args({ 10, 64 })
  ->Args({ 10, 256 })
  ->Unit(benchmark::kMicrosecond);

// Rebalancing after some slices become hot: rounds of moves until no further move is useful.
// Reports the final imbalance, the share of the load that was moved, and the share that had to
// move. Argument: number of servers.
void
BM_HotKeyShift(benchmark::State& aState)
{
  double imbalance = 0;
  double moves = 0;
  double loadMoved = 0;
  double loadNeeded = 0;
  double writes = 0;
  for (auto _ : aState) {
    std::mt19937_64 random(7);
    PlacedFleet fleet(static_cast<std::size_t>(aState.range(0)));
    // One slice in 8, chosen at random, gets three times its former load.
    std::map<KeyHash, double> loads;
    for (const auto& slice : fleet.placement_.slices_) {
      loads[slice.start_] = random() % 8 == 0 ? 3.0 : 1.0;
    }
    const auto loadOf = [&](std::size_t aIndex) {
      return loads[fleet.placement_.slices_[aIndex].start_];
    };
    std::vector<double> servers(fleet.placement_.servers_.size(), 0);
    double total = 0;
    for (std::size_t index = 0; index < fleet.placement_.slices_.size(); ++index) {
      servers[fleet.placement_.slices_[index].owner_] += loadOf(index);
      total += loadOf(index);
    }
    const double mean = total / static_cast<double>(servers.size());
    loadNeeded = 0;
    for (const double load : servers) {
      loadNeeded += std::max(0.0, load - mean * kMaxImbalance) / total;
    }
    moves = writes = loadMoved = 0;
    for (int round = 0; round < 400; ++round) {
      const auto sizeBefore = fleet.placement_.slices_.size();
      fleet.ReportAll(loadOf);
      auto proposal = fleet.Propose();
      if (!proposal) {
        if (round > 20) {
          break;
        }
        continue;
      }
      ++writes;
      const auto before = fleet.placement_;
      fleet.Commit(std::move(*proposal));
      if (fleet.placement_.slices_.size() != sizeBefore) {
        // A slice that was split shares its load equally between the two parts.
        for (const auto& slice : fleet.placement_.slices_) {
          if (!loads.contains(slice.start_)) {
            auto whole = std::prev(loads.lower_bound(slice.start_));
            whole->second /= 2;
            loads[slice.start_] = whole->second;
          }
        }
      }
      for (std::size_t index = 0; index < fleet.placement_.slices_.size(); ++index) {
        const auto& slice = fleet.placement_.slices_[index];
        if (slice.IsMoving()) {
          ++moves;
          loadMoved += loadOf(index) / total;
        }
      }
    }
    std::fill(servers.begin(), servers.end(), 0);
    for (std::size_t index = 0; index < fleet.placement_.slices_.size(); ++index) {
      servers[fleet.placement_.slices_[index].owner_] += loadOf(index);
    }
    imbalance = *std::max_element(servers.begin(), servers.end()) / mean;
  }
  aState.counters["imbalance"] = imbalance;
  aState.counters["slices_moved"] = moves;
  aState.counters["share_needed"] = loadNeeded;
  aState.counters["share_moved"] = loadMoved;
  aState.counters["share_beyond_needed"] = loadMoved - loadNeeded;
  aState.counters["store_writes"] = writes;
}
BENCHMARK(BM_HotKeyShift)->Arg(10)->Arg(40)->Arg(100)->Unit(benchmark::kMillisecond)->Iterations(1);

} // namespace

} // namespace latchslip
