// Soak test: runs real gateway instances under faults drawn from a seed, and checks the guarantees
// given to clients and servers. See docs/SOAK.md.

#include "CrashingClient.h"
#include "FaultInjector.h"
#include "LibNet/MonotonicClock.h"
#include "RecoveryChecks.h"

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
ABSL_FLAG(bool, returns, false, "Whether the store comes back from older copies as well.");
ABSL_FLAG(bool, tells, false, "Whether servers say in their answers that they leave or want rest.");
ABSL_FLAG(bool, limits, false, "Whether servers name limits of requests a second as well.");
ABSL_FLAG(bool,
          crashes,
          false,
          "Whether clients repeat requests that crash their servers as well.");
ABSL_FLAG(bool,
          repeats,
          false,
          "Whether servers send second copies of answers beside shedding as well.");
ABSL_FLAG(bool, sheds, false, "Whether servers shed requests as well, without second copies.");
ABSL_FLAG(bool,
          keyed_bookings,
          false,
          "Whether bookings go to the keyed service first, and at times later on.");
ABSL_FLAG(bool, endless, false, "Whether servers send bytes without end as well.");
ABSL_FLAG(int, interval_us, 6000, "Time between requests, in microseconds.");
ABSL_FLAG(int, service_ms, 20, "Time for which a server works on a request, in milliseconds.");
ABSL_FLAG(int, port, 25000, "The first of some thousand ports; below those that the system draws.");
ABSL_FLAG(std::string, logs, "", "Folder for the logs of the instances; none if empty.");

namespace latchslip::platform {

namespace {

constexpr int kExitUsage = 2;
// Time after the last fault until all guarantees with a time limit hold again.
constexpr Duration kSettleTime = seconds(4);

// Injects faults, beside a client that crashes servers if aCrashing is not null, removes them all,
// and checks the guarantees.
void
RunFaults(SoakEnvironment& aEnvironment,
          FaultInjector& aInjector,
          CrashingClient* aCrashing,
          Duration aTime)
{
  const auto begin = MonotonicNow();
  if (aCrashing != nullptr) {
    aCrashing->Start();
  }
  aInjector.Run(aTime);
  if (aCrashing != nullptr) {
    aCrashing->Stop();
  }
  aInjector.HealAll();
  aEnvironment.Run(kSettleTime);
  RecoveryChecks(aEnvironment).Run();
  aEnvironment.Quiesce();
  aEnvironment.Guarantees().CheckRetries(ToSeconds(MonotonicNow() - begin));
}

// Returns whether all guarantees held.
bool
RunSeed(const SoakSettings& aSettings, unsigned aSeed, Duration aTime)
{
  SoakEnvironment environment(aSettings);
  const auto started = environment.Start();
  if (!started) {
    std::cout << "seed " << aSeed << " cannot start: " << started.error().Describe() << '\n';
    return false;
  }
  FaultInjector injector(environment,
                         aSeed,
                         { absl::GetFlag(FLAGS_returns),
                           absl::GetFlag(FLAGS_tells),
                           absl::GetFlag(FLAGS_limits),
                           absl::GetFlag(FLAGS_repeats) || absl::GetFlag(FLAGS_sheds),
                           absl::GetFlag(FLAGS_repeats),
                           absl::GetFlag(FLAGS_endless) });
  CrashingClient crashing(environment, aSeed);
  RunFaults(environment, injector, absl::GetFlag(FLAGS_crashes) ? &crashing : nullptr, aTime);
  const auto violations = environment.Guarantees().Violations().size();
  std::cout << "seed " << aSeed << ": " << environment.SentCount() << " requests, "
            << environment.AnsweredCount() << " answered, " << violations << " violations"
            << std::endl;
  if (violations > 0) {
    std::cout << injector.FaultLog();
  }
  return violations == 0;
}

SoakSettings
SettingsFromFlags()
{
  SoakSettings settings;
  settings.program_ = absl::GetFlag(FLAGS_program);
  settings.logs_ = absl::GetFlag(FLAGS_logs);
  settings.firstPort_ = absl::GetFlag(FLAGS_port);
  settings.instances_ = absl::GetFlag(FLAGS_instances);
  settings.servers_ = absl::GetFlag(FLAGS_servers);
  settings.serviceTime_ = milliseconds(absl::GetFlag(FLAGS_service_ms));
  settings.requestInterval_ = microseconds(absl::GetFlag(FLAGS_interval_us));
  settings.routesBookingsToKeys_ = absl::GetFlag(FLAGS_keyed_bookings);
  return settings;
}

int
RunAll()
{
  const auto settings = SettingsFromFlags();
  if (settings.program_.empty() || settings.instances_ < 1 || settings.servers_ < 1) {
    std::cerr << "latchslip-soak: --program must be set, --instances and --servers positive\n";
    return kExitUsage;
  }
  unsigned failed = 0;
  for (unsigned number = 0; number < absl::GetFlag(FLAGS_seeds); ++number) {
    const auto seed = absl::GetFlag(FLAGS_seed) + number;
    failed += RunSeed(settings, seed, seconds(absl::GetFlag(FLAGS_seconds))) ? 0 : 1;
  }
  std::cout << absl::GetFlag(FLAGS_seeds) - failed << " seeds passed, " << failed << " failed\n";
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
