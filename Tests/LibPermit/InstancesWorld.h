#pragma once

#include "../NullEventSink.h"
#include "LibGateway/GatewayRouter.h"
#include "LibPermit/PermitClient.h"
#include "LibPermit/PermitDispatcher.h"
#include "LibScenario/EventQueue.h"

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace latchslip {

// How the links between an instance and all servers are cut.
enum class LinkCut
{
  None,
  // Open connections are reset at their next use, new ones are refused.
  Refused,
  // Nothing arrives any more.
  Silent,
  // Open connections go on, new ones are refused.
  OnlyNewOnes,
};

// The requests of an instance in a period, and those that a server answered at the first attempt.
struct FirstTries
{
  std::size_t sent_ = 0;
  std::size_t served_ = 0;

  double Share() const { return static_cast<double>(served_) / static_cast<double>(sent_); }
};

// Instances with their routers, permit clients and dispatchers, and servers of a service with keys
// and one without, on a simulated clock. The links between an instance and the servers can be cut;
// those between instances are sound.
class InstancesWorld
{
public:
  static constexpr std::size_t kServersPerService = 4;
  static constexpr std::size_t kSlots = 6;
  static constexpr Duration kWork = milliseconds(40);

  // Instances take turns in two halls, the first in "hall-0".
  InstancesWorld(std::size_t aInstances, unsigned aSeed);
  ~InstancesWorld();

  void Run(Duration aTime) { queue_.RunUntil(queue_.Now() + aTime); }
  void SetCut(std::size_t aInstance, LinkCut aCut);
  // Ends a server: connections to it are reset and refused from now on.
  void EndServer(const std::string& aServer);
  // What was counted of that instance since the last call.
  FirstTries TakeFirstTries(std::size_t aInstance);
  // The number of requests that the instance refuses because they crash servers.
  std::size_t Quarantined() const { return quarantined_; }
  // The number of connections that were refused since the last call, by that server.
  std::size_t TakeRefusedConnections(const std::string& aServer);
  // The number of dispatchers' suspensions of servers.
  std::size_t Suspensions() const { return suspensions_; }
  static std::string KeyedServer(std::size_t aNumber) { return "k" + std::to_string(aNumber); }

private:
  class Instance;
  struct Server;

  std::size_t IndexOf(const std::string& aAddress) const;
  void NextRequest(std::size_t aInstance);

  EventQueue queue_;
  NullEventSink events_;
  std::minstd_rand random_;
  std::map<std::string, std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Instance>> instances_;
  std::map<std::string, std::size_t> refusedConnections_;
  std::size_t quarantined_ = 0;
  std::size_t suspensions_ = 0;
  RequestNumber lastRequest_ = 0;
};

} // namespace latchslip
