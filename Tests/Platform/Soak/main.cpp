// Runs real entry instances under faults that are drawn from a seed, and checks
// what clients and servers were promised. See docs/SOAK.md.

#include "FaultPlan.h"
#include "LibNet/MonotonicClock.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, program, "", "The entry instance's program.");
ABSL_FLAG(unsigned, seed, 1, "The first seed.");
ABSL_FLAG(unsigned, seeds, 1, "How many seeds to run, from the first on.");
ABSL_FLAG(int, seconds, 8, "How long faults are brought on for each seed.");
ABSL_FLAG(int, instances, 5, "Entry instances.");
ABSL_FLAG(int, servers, 5, "Servers of the keyed service, and as many for bookings.");
ABSL_FLAG(int, port, 25000, "The first of some thousand ports; below those that the system draws.");
ABSL_FLAG(std::string, logs, "", "Folder for the logs of the instances; none if empty.");

namespace latchslip::platform {

namespace {

constexpr int kExitUsage = 2;
// After the last fault, until everything that is bound in time holds again.
constexpr Duration kSettle = seconds(4);
// Until everything is served again after all faults; a grant that was taken late by
// a server that fell silent may hold for long.
constexpr Duration kRecovery = seconds(20);
// A change of the configuration, or of a server that leaves, holds everywhere then.
constexpr Duration kInForce = milliseconds(2500);
// A planned stop is over then, the grace included.
constexpr Duration kStopped = seconds(6);

std::size_t
ArrivalsAt(SoakWorld& aWorld, const std::string& aService)
{
  std::size_t arrivals = 0;
  for (auto& server : aWorld.Servers()) {
    if (server.backend_->Service() == aService) {
      arrivals += aWorld.Kept().ArrivalsOf(server.backend_->Id());
    }
  }
  return arrivals;
}

// With nothing wrong, a change of the configuration reaches all in time.
void
CheckConfiguration(SoakWorld& aWorld)
{
  const auto former = aWorld.BookingService();
  aWorld.SetBookingService(former == "bookings" ? "others" : "bookings");
  aWorld.Run(kInForce);
  const auto before = ArrivalsAt(aWorld, former);
  aWorld.Run(seconds(1));
  if (ArrivalsAt(aWorld, former) != before) {
    aWorld.Kept().Break("CONFIG the former service still gets requests");
  }
}

// With nothing wrong, a leaving server gets nothing new in time.
void
CheckDrain(SoakWorld& aWorld)
{
  auto& server = *aWorld.Servers().front().backend_;
  server.Leave();
  aWorld.Run(kInForce);
  const auto before = aWorld.Kept().ArrivalsOf(server.Id());
  aWorld.Run(seconds(1));
  if (aWorld.Kept().ArrivalsOf(server.Id()) != before) {
    aWorld.Kept().Break("DRAIN " + server.Id() + " still gets requests");
  }
  server.Relist();
}

// With nothing wrong, planned stops in series cut nothing, although clients use
// their open connections until the process is gone.
void
CheckStops(SoakWorld& aWorld)
{
  const auto before = aWorld.Broken();
  auto& instances = aWorld.Instances();
  for (std::size_t index = 0; index < std::min<std::size_t>(2, instances.size()); ++index) {
    instances[index].isExpected_ = false;
    instances[index].process_->Signal(SIGTERM);
    aWorld.Run(seconds(1));
  }
  for (std::size_t index = 0; index < std::min<std::size_t>(2, instances.size()); ++index) {
    auto& process = *instances[index].process_;
    if (!aWorld.RunUntil([&] { return process.HasEnded(); }, kStopped)) {
      aWorld.Kept().Break("STOP " + instances[index].name_ + " still runs after its grace");
      process.Signal(SIGKILL);
    } else if (process.Wait() != 0) {
      aWorld.Kept().Break("STOP " + instances[index].name_ + " ended with a failure");
    }
  }
  if (aWorld.Broken() != before) {
    aWorld.Kept().Break("LOST " + std::to_string(aWorld.Broken() - before) +
                        " requests were cut by planned stops");
  }
}

// Whether every promise held.
bool
RunSeed(const SoakSettings& aSettings, unsigned aSeed, Duration aTime)
{
  SoakWorld world(aSettings);
  const auto started = world.Start();
  if (!started) {
    std::cout << "seed " << aSeed << " cannot start: " << started.error().Describe() << '\n';
    return false;
  }
  const auto begin = MonotonicNow();
  FaultPlan plan(world, aSeed);
  plan.Run(aTime);
  plan.HealAll();
  world.Run(kSettle);
  if (!world.RunUntil([&] { return world.IsAllServed(); }, kRecovery)) {
    world.Kept().Break("RECOVER not everything is served after all faults");
  }
  CheckConfiguration(world);
  CheckDrain(world);
  CheckStops(world);
  world.Quiesce();
  world.Kept().CheckRetries(static_cast<double>((MonotonicNow() - begin).count()) * 1e-6);
  const auto broken = world.Kept().Broken().size();
  std::cout << "seed " << aSeed << ": " << world.Asked() << " requests, " << world.Answered()
            << " answered, " << broken << " promises broken" << std::endl;
  if (broken > 0) {
    std::cout << plan.Story();
  }
  return broken == 0;
}

int
RunAll()
{
  SoakSettings settings;
  settings.program_ = absl::GetFlag(FLAGS_program);
  settings.logs_ = absl::GetFlag(FLAGS_logs);
  settings.firstPort_ = absl::GetFlag(FLAGS_port);
  settings.instances_ = absl::GetFlag(FLAGS_instances);
  settings.servers_ = absl::GetFlag(FLAGS_servers);
  if (settings.program_.empty() || settings.instances_ < 1 || settings.servers_ < 1) {
    std::cerr << "latchslip-soak: --program must be set, --instances and --servers positive\n";
    return kExitUsage;
  }
  unsigned failed = 0;
  for (unsigned number = 0; number < absl::GetFlag(FLAGS_seeds); ++number) {
    const auto seed = absl::GetFlag(FLAGS_seed) + number;
    failed += RunSeed(settings, seed, seconds(absl::GetFlag(FLAGS_seconds))) ? 0 : 1;
  }
  std::cout << absl::GetFlag(FLAGS_seeds) - failed << " seeds held, " << failed << " did not\n";
  return failed == 0 ? 0 : 1;
}

} // namespace

} // namespace latchslip::platform

int
main(int aCount, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  absl::SetProgramUsageMessage("latchslip-soak --program=PATH [--seed=N --seeds=N --seconds=N]");
  absl::ParseCommandLine(aCount, aArguments);
  return latchslip::platform::RunAll();
}
