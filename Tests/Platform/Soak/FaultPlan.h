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
};

inline constexpr NameTable<SoakFault, 15> kSoakFaultNames{ { "kill-instance",
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
                                                             "configuration-change" } };

// Draws faults from a seed and brings them on: in series, overlapping, on one thing
// or another. The same seed draws the same faults; how they meet what the processes
// are at differs from run to run.
class FaultPlan
{
public:
  FaultPlan(SoakWorld& aWorld, std::uint32_t aSeed);

  // Brings on faults for so long; some end later.
  void Run(Duration aTime);
  // Ends every fault and starts what was ended.
  void HealAll();
  // What was brought on, a line each.
  const std::string& Story() const { return story_; }

private:
  void Inject(SoakFault aFault);
  void Note(SoakFault aFault, const std::string& aWhat, Duration aTime);
  // A time between the two, drawn.
  Duration Draw(Duration aLeast, Duration aMost);
  std::size_t DrawIndex(std::size_t aCount);
  SoakWorld::Instance& DrawInstance();
  SoakWorld::Server& DrawServer();

  void Kill(SoakWorld::Instance& aInstance, Duration aDown);
  void Stop(SoakWorld::Instance& aInstance);
  void Pause(SoakWorld::Instance& aInstance, Duration aTime);
  void HarmLink(LoopbackProxy& aLink, SoakFault aFault, const std::string& aWhat);
  void BeginLife(SoakWorld::Server& aServer);
  void LetServerLeave(SoakWorld::Server& aServer);

  SoakWorld& world_;
  std::minstd_rand random_;
  Instant startedAt_;
  std::string story_;
};

} // namespace latchslip::platform
