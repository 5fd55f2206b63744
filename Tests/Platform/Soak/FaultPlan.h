#pragma once

#include "LibBase/NameTable.h"
#include "SoakWorld.h"

#include <random>
#include <string>

namespace latchslip::platform {

// What a soak does to the fleet.
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
  // Only where it is asked for: the seeds of before draw what they drew.
  StoreReturns,
  // Likewise.
  ServerTellsLeaving,
  ServerAsksForRest,
  // Likewise.
  ServerNamesRateLimit,
};

// Those that are drawn with equal chances.
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

// Draws faults from a seed and brings them on: in series, overlapping, on one thing
// or another. The same seed draws the same faults; how they meet what the processes
// are at differs from run to run.
class FaultPlan
{
public:
  // Faults that are left out unless they are asked for.
  struct Extras
  {
    // The store comes back from older copies.
    bool storeReturns_ = false;
    // Servers say in their answers that they leave while the store is away, or ask for rest.
    bool serversTell_ = false;
    // Servers name limits of requests a second in their answers.
    bool serversLimit_ = false;
  };

  FaultPlan(SoakWorld& aWorld, std::uint32_t aSeed, Extras aExtras);

  // Brings on faults for so long; some end later.
  void Run(Duration aTime);
  // Ends every fault and starts what was ended.
  void HealAll();
  // What was brought on, a line each.
  const std::string& Story() const { return story_; }

private:
  void Inject(SoakFault aFault);
  // Writes a line of the story.
  void Note(SoakFault aFault, const std::string& aWhat, Duration aTime);
  // A time between the two, drawn.
  Duration Draw(Duration aLeast, Duration aMost);
  std::size_t DrawIndex(std::size_t aCount);
  SoakWorld::Instance& DrawInstance();
  SoakWorld::Server& DrawServer();

  // One for each fault. Times are how long it lasts or, with aDown, until what was
  // ended is started again.
  void KillInstance(SoakWorld::Instance& aInstance, Duration aDown);
  // Stops instances as an operator does, one after the other.
  void StopSeries(Duration aGap);
  void PauseInstance(SoakWorld::Instance& aInstance, Duration aTime);
  void SignalSettings(const SoakWorld::Instance& aInstance);
  void KillAll(Duration aDown);
  // Of any kind that a link has.
  void HarmLink(LoopbackProxy& aLink, SoakFault aFault, const std::string& aWhat);
  void TakeStoreDown(Duration aTime);
  void SlowStore(Duration aTime);
  void LoseStoreAnswers();
  void ForgetStoreHistory();
  void CrashServer(SoakWorld::Server& aServer, Duration aDown);
  void LetServerLeave(SoakWorld::Server& aServer);
  void UnlistServer(SoakWorld::Server& aServer, Duration aTime);
  void ChangeConfiguration();
  // The store goes away some time after a copy was taken and comes back from that.
  void ReturnStore();
  // The server says so in its answers only, as the store is away, and ends.
  void LetServerTellLeaving(SoakWorld::Server& aServer);
  // The server turns all requests away for a while.
  void LetServerRest(SoakWorld::Server& aServer);
  // The server names a limit of requests a second for a while.
  void LimitServer(SoakWorld::Server& aServer);
  void EndLimit(SoakWorld::Server& aServer);

  void Kill(SoakWorld::Instance& aInstance, Duration aDown);
  void Stop(SoakWorld::Instance& aInstance);
  // Ends the server at once; connections to it are reset from then on.
  static void Crash(SoakWorld::Server& aServer);
  // Ends a leaving server, unless it has ended meanwhile, and starts it again some time later.
  void EndLeaving(SoakWorld::Server& aServer, const std::string& aId);
  // Starts the server again under the next name, unless it runs.
  void BeginIncarnation(SoakWorld::Server& aServer);
  void HealStore();
  void Heal(SoakWorld::Instance& aInstance);
  void Heal(SoakWorld::Server& aServer);

  SoakWorld& world_;
  std::minstd_rand random_;
  Extras extras_;
  std::minstd_rand returnsRandom_;
  std::minstd_rand tellsRandom_;
  std::minstd_rand limitsRandom_;
  Instant startedAt_;
  std::string story_;
};

} // namespace latchslip::platform
