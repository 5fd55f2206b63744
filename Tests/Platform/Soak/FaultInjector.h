#pragma once

#include "LibBase/NameTable.h"
#include "SoakEnvironment.h"

#include <random>
#include <string>

namespace latchslip::platform {

// The faults that the soak test injects. The first kDrawnFaults of them are drawn with equal
// probability.
enum class SoakFault
{
  KillInstance,
  StopInstance,
  PauseInstance,
  SettingsSignal,
  KillAll,
  StoreLink,
  ServerLink,
  StoreDown,
  StoreSlow,
  StoreLosesAnswers,
  StoreForgets,
  ServerCrash,
  ServerLeaves,
  ServerUnlisted,
  ConfigurationChange,
  // This and the following faults are injected only on request, and drawn from generators of their
  // own, so that a seed draws the same basic faults with and without them.
  StoreReturns,
  ServerTellsLeaving,
  ServerAsksForRest,
  ServerNamesRateLimit,
};

// Number of the basic faults.
inline constexpr std::size_t kDrawnFaults = static_cast<std::size_t>(SoakFault::StoreReturns);

inline constexpr NameTable<SoakFault, 19> kSoakFaultNames{ { "kill-instance",
                                                             "stop-instance",
                                                             "pause-instance",
                                                             "settings-signal",
                                                             "kill-all",
                                                             "store-link",
                                                             "server-link",
                                                             "store-down",
                                                             "store-slow",
                                                             "store-loses-answers",
                                                             "store-forgets",
                                                             "server-crash",
                                                             "server-leaves",
                                                             "server-unlisted",
                                                             "configuration-change",
                                                             "store-returns",
                                                             "server-tells-leaving",
                                                             "server-asks-for-rest",
                                                             "server-names-rate-limit" } };

// Fault injection: draws faults from a seed and injects them in succession, overlapping and on any
// part of the fleet. The same seed draws the same faults, but their timing relative to the
// processes varies from run to run.
class FaultInjector
{
public:
  // Faults that are injected only on request.
  struct Extras
  {
    // The store is restored from older copies.
    bool storeReturns_ = false;
    // Servers announce in their answers only that they shut down, while the store is down, or ask
    // for a backoff.
    bool serversTell_ = false;
    // Servers name rate limits in their answers.
    bool serversLimit_ = false;
  };

  FaultInjector(SoakEnvironment& aWorld, std::uint32_t aSeed, Extras aExtras);

  // Injects faults for aTime; some end later.
  void Run(Duration aTime);
  // Removes all faults and restarts whatever was stopped.
  void HealAll();
  // The injected faults, one per line.
  const std::string& Story() const { return story_; }

private:
  void Inject(SoakFault aFault);
  // Adds a line to the record of injected faults.
  void Note(SoakFault aFault, const std::string& aWhat, Duration aTime);
  // Draws a duration between the two, both included.
  Duration Draw(Duration aLeast, Duration aMost);
  std::size_t DrawIndex(std::size_t aCount);
  SoakEnvironment::Instance& DrawInstance();
  SoakEnvironment::Server& DrawServer();

  // One function for each fault. aTime is its duration; aDown is the time until whatever was
  // stopped is restarted.
  void KillInstance(SoakEnvironment::Instance& aInstance, Duration aDown);
  // Shuts down instances gracefully in succession, as an operator does.
  void StopSeries(Duration aGap);
  void PauseInstance(SoakEnvironment::Instance& aInstance, Duration aTime);
  void SignalSettings(const SoakEnvironment::Instance& aInstance);
  void KillAll(Duration aDown);
  // Applies a random link fault.
  void HarmLink(LoopbackProxy& aLink, SoakFault aFault, const std::string& aWhat);
  void TakeStoreDown(Duration aTime);
  void SlowStore(Duration aTime);
  void LoseStoreAnswers();
  void ForgetStoreHistory();
  void CrashServer(SoakEnvironment::Server& aServer, Duration aDown);
  void LetServerLeave(SoakEnvironment::Server& aServer);
  void UnlistServer(SoakEnvironment::Server& aServer, Duration aTime);
  void ChangeConfiguration();
  // Saves a copy of the store, takes the store down some time later, and restores the copy.
  void ReturnStore();
  // The server announces its shutdown in its answers only, as the store is down, and ends.
  void LetServerTellLeaving(SoakEnvironment::Server& aServer);
  // The server rejects all requests for a while and asks for a backoff.
  void LetServerRest(SoakEnvironment::Server& aServer);
  // The server names a rate limit for a while.
  void LimitServer(SoakEnvironment::Server& aServer);
  void EndLimit(SoakEnvironment::Server& aServer);

  void Kill(SoakEnvironment::Instance& aInstance, Duration aDown);
  void Stop(SoakEnvironment::Instance& aInstance);
  // Stops the server at once; connections to it are reset from then on.
  static void Crash(SoakEnvironment::Server& aServer);
  // Stops a server that has announced its shutdown, if it still runs as aId, and restarts it later.
  void EndLeaving(SoakEnvironment::Server& aServer, const std::string& aId);
  // Restarts the server under the next id, unless it is running.
  void BeginLife(SoakEnvironment::Server& aServer);
  void HealStore();
  void Heal(SoakEnvironment::Instance& aInstance);
  void Heal(SoakEnvironment::Server& aServer);

  SoakEnvironment& world_;
  std::minstd_rand random_;
  Extras extras_;
  std::minstd_rand returnsRandom_;
  std::minstd_rand tellsRandom_;
  std::minstd_rand limitsRandom_;
  Instant startedAt_;
  std::string story_;
};

} // namespace latchslip::platform
