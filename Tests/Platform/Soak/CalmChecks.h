#pragma once

#include "SoakWorld.h"

#include <string>

namespace latchslip::platform {

// Checks what is bound in time when nothing is wrong: run it once every fault has
// been healed. What is broken is told to the world's promises.
class CalmChecks
{
public:
  explicit CalmChecks(SoakWorld& aWorld)
    : world_(aWorld)
  {
  }

  // All checks, one after the other; the world's first instances are stopped then.
  void Run();

private:
  // Everything is served again.
  void CheckRecovery();
  // A change of the configuration reaches all in time.
  void CheckConfiguration();
  // A leaving server gets nothing new in time.
  void CheckDrain();
  // Planned stops in series cut nothing, although clients use their open
  // connections until the process is gone.
  void CheckStops();
  // A request that meets the close of its connection on the way was not read:
  // clients may send it again, and nothing was cut. It ends at once, and no server
  // had it.
  void CheckCut(const SoakWorld::BrokenRequest& aRequest);
  void CheckStop(SoakWorld::Instance& aInstance);
  // Requests that reached a server of that service so far.
  std::size_t ArrivalsAt(const std::string& aService);

  SoakWorld& world_;
};

} // namespace latchslip::platform
