#pragma once

#include "LibFleet/UpdateTree.h"
#include "LibPermit/PermitShard.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace latchslip {

// Assigns each shard of each service to the instance that is its dispatcher, by rendezvous hashing.
// All instances with the same roster and the same server records compute the same assignment. Only
// instances with a high duty capacity are eligible. A service without shards gets no instance that
// is a dispatcher of another service while an eligible one has none.
class DispatcherAssignment
{
public:
  // Recomputes the assignment. aPeers are the instances of the roster by address, aCounts the
  // dispatchers of the services with shards.
  void Assign(const std::map<std::string, FleetPeer>& aPeers,
              const std::vector<std::string>& aServices,
              const DispatcherCounts& aCounts = {});

  // The addresses of the candidates for the shard in order of preference. The first one is the
  // dispatcher; each of the others is the fallback when those before it are lost. Empty when there
  // are none. A service without shards has shard 0 only.
  const std::vector<std::string>& CandidatesFor(const std::string& aService,
                                                ShardNumber aShard = 0) const;

private:
  std::map<std::pair<std::string, ShardNumber>, std::vector<std::string>> candidates_;
};

} // namespace latchslip
