#include "LibScenario/SimulatedFleet.h"

#include <benchmark/benchmark.h>

namespace latchslip {

namespace {

// A simulated fleet. Its counters are deterministic and therefore the same on every machine.
std::unique_ptr<SimulatedFleet>
MakeFleet(std::size_t aInstances, std::size_t aServers, bool aChecks)
{
  auto fleet = std::make_unique<SimulatedFleet>(9, std::vector<std::string>{ "a", "b", "c" });
  for (std::size_t number = 1; number <= aInstances; ++number) {
    fleet->AddInstance("i" + std::to_string(number));
  }
  fleet->AddService({ "rates", aServers, 4, aChecks, milliseconds(2) });
  SharingIntent intent;
  intent.group_ = "web";
  intent.service_ = "rates";
  intent.portion_ = 1;
  intent.maxWaiting_ = 256;
  fleet->AddIntent(intent);
  fleet->Start();
  return fleet;
}

// Store calls and peer messages of an idle fleet, per second and instance. Argument: number of
// instances.
void
BM_IdleFleet(benchmark::State& aState)
{
  const auto instances = static_cast<std::size_t>(aState.range(0));
  constexpr double kSpan = 10;
  double reads = 0;
  double writes = 0;
  double messages = 0;
  for (auto _ : aState) {
    auto fleet = MakeFleet(instances, 10, true);
    fleet->Advance(seconds(5));
    const auto readsBefore = fleet->Table().Reads();
    const auto writesBefore = fleet->Table().Writes();
    const auto messagesBefore = fleet->ControlMessages();
    fleet->Advance(seconds(10));
    const auto perInstance = kSpan * static_cast<double>(instances);
    reads = static_cast<double>(fleet->Table().Reads() - readsBefore) / perInstance;
    writes = static_cast<double>(fleet->Table().Writes() - writesBefore) / perInstance;
    messages = static_cast<double>(fleet->ControlMessages() - messagesBefore) / perInstance;
  }
  aState.counters["store_reads"] = reads;
  aState.counters["store_writes"] = writes;
  aState.counters["peer_messages"] = messages;
}
BENCHMARK(BM_IdleFleet)->Arg(4)->Arg(8)->Arg(16)->Unit(benchmark::kMillisecond)->Iterations(1);

// Recovery from a loss under load: longest time between two answers for a key. Arguments: number of
// servers; 0 kills a server, 1 kills an instance; 1 if the servers check grants.
void
BM_LossRecovery(benchmark::State& aState)
{
  double gap = 0;
  double writes = 0;
  double violations = 0;
  for (auto _ : aState) {
    auto fleet = MakeFleet(8, static_cast<std::size_t>(aState.range(0)), aState.range(2) != 0);
    fleet->StartLoad({ "web", "rates", 2000, 200, true, seconds(2), 0 });
    fleet->Advance(seconds(3));
    fleet->ResetMeasurements();
    const auto before = fleet->Table().Writes();
    if (aState.range(1) == 0) {
      fleet->KillServer("rates-2", false);
    } else {
      fleet->KillInstance("i3");
      fleet->RemoveFromList("i3");
    }
    fleet->Advance(seconds(5));
    gap = static_cast<double>(fleet->LongestGap("rates").count()) / 1000;
    writes = static_cast<double>(fleet->Table().Writes() - before);
    violations = static_cast<double>(fleet->Violations().size());
  }
  aState.counters["gap_ms"] = gap;
  aState.counters["store_writes"] = writes;
  aState.counters["violations"] = violations;
}
BENCHMARK(BM_LossRecovery)
  ->Args({ 10, 0, 1 })
  ->Args({ 20, 0, 1 })
  ->Args({ 40, 0, 1 })
  ->Args({ 10, 1, 1 })
  ->Args({ 40, 1, 1 })
  ->Args({ 10, 0, 0 })
  ->Args({ 10, 1, 0 })
  ->Unit(benchmark::kMillisecond)
  ->Iterations(1);

// Time of a confirmation until all instances have applied it. Argument: number of instances.
void
BM_Confirm(benchmark::State& aState)
{
  double span = 0;
  double writes = 0;
  for (auto _ : aState) {
    auto fleet = MakeFleet(static_cast<std::size_t>(aState.range(0)), 10, true);
    fleet->Advance(seconds(2));
    fleet->DesiredDeclaration().intents_[0].portion_ = 2;
    fleet->Plan("p", "i1", fleet->DesiredDeclaration());
    const auto before = fleet->Table().Writes();
    fleet->Confirm("p", "i1");
    fleet->Advance(seconds(6));
    span = static_cast<double>(fleet->ConfirmationTime("p").count()) / 1000;
    writes = static_cast<double>(fleet->Table().Writes() - before);
  }
  aState.counters["in_force_ms"] = span;
  aState.counters["store_writes"] = writes;
}
BENCHMARK(BM_Confirm)->Arg(4)->Arg(8)->Arg(16)->Unit(benchmark::kMillisecond)->Iterations(1);

} // namespace

} // namespace latchslip
