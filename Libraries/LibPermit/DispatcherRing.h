#pragma once

#include "LibFleet/UpdateTree.h"

#include <map>
#include <string>
#include <vector>

namespace latchslip {

// Which instance is the dispatcher of each service: the same by everyone's roster. The
// strong come first, and as far as they reach no instance has two services.
class DispatcherRing
{
public:
  void Assign(const std::map<std::string, FleetPeer>& aPeers,
              const std::vector<std::string>& aServices);

  // The addresses of those that come into question, the dispatcher first; each of the
  // others takes its place when those before it are gone.
  const std::vector<std::string>& CandidatesOf(const std::string& aService) const;

private:
  std::map<std::string, std::vector<std::string>, std::less<>> candidates_;
};

} // namespace latchslip
