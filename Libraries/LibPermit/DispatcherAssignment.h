#pragma once

#include "LibFleet/UpdateTree.h"

#include <map>
#include <string>
#include <vector>

namespace latchslip {

// Assigns each service to the instance that is its dispatcher, by rendezvous hashing. All instances
// with the same roster compute the same assignment. Only instances with a high duty capacity
// are eligible, and no instance is assigned a second service while another eligible one has none.
class DispatcherAssignment
{
public:
  // Recomputes the assignment. aPeers are the instances of the roster by address.
  void Assign(const std::map<std::string, FleetPeer>& aPeers,
              const std::vector<std::string>& aServices);

  // The addresses of the candidates for the service in order of preference. The first one is the
  // dispatcher; each of the others is the fallback when those before it are lost. Empty when there
  // are none.
  const std::vector<std::string>& CandidatesFor(const std::string& aService) const;

private:
  std::map<std::string, std::vector<std::string>, std::less<>> candidates_;
};

} // namespace latchslip
