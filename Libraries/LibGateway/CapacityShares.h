#pragma once

#include "LibBase/Time.h"
#include "LibGateway/TokenBucket.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>

namespace latchslip {

// Limits the sends of one instance without a permit to its equal share of the capacity of each
// server. Instances whose dispatcher does not answer do not see each other's sends, and would
// otherwise overload the servers together. Performs no I/O.
class CapacityShares
{
public:
  // Sets the share of a server with aSlots slots and aWork of work time for each request, which
  // aInstances instances share.
  void SetShare(Instant aNow,
                const std::string& aServer,
                std::size_t aSlots,
                Duration aWork,
                std::size_t aInstances);
  // Whether one more request may be sent now; true for a server without a share.
  bool HasToken(Instant aNow, const std::string& aServer) const;
  // A request was sent without a permit.
  void OnSent(Instant aNow, const std::string& aServer);
  // Time until one more request may be sent after aAhead others; zero for a server without a share.
  Duration RemainingWait(Instant aNow, const std::string& aServer, std::size_t aAhead) const;
  // Drops the shares of servers for which the predicate returns false.
  void KeepServers(const std::function<bool(const std::string&)>& aExists);

private:
  std::map<std::string, TokenBucket, std::less<>> buckets_;
};

} // namespace latchslip
