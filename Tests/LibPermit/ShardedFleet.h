#pragma once

#include "../NullEventSink.h"
#include "LibGateway/GatewayRouter.h"
#include "LibPermit/PermitClient.h"
#include "LibPermit/PermitDispatcher.h"
#include "LibScenario/EventQueue.h"

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace latchslip {

// Size and load of a ShardedFleet.
struct ShardedFleetSettings
{
  // Instances with half a processor and wide links, and those with less of both.
  std::size_t strong_ = 6;
  std::size_t weak_ = 10;
  double strongLinkMbps_ = 200;
  double weakLinkMbps_ = 10;
  std::size_t servers_ = 40;
  unsigned slots_ = 3;
  // Requests that wait at a server beyond its slots before it rejects more.
  unsigned serverQueue_ = 1;
  Duration work_ = milliseconds(200);
  // Requests per second of the fleet.
  double rate_ = 300;
  unsigned seed_ = 1;
};

// What happened to the requests of a ShardedFleet.
struct ShardedFleetCounts
{
  std::size_t requests_ = 0;
  std::size_t delivered_ = 0;
  std::size_t refused_ = 0;
  // Arrivals at servers, and those of them that a server rejected because it was full.
  std::size_t arrivals_ = 0;
  std::size_t rejections_ = 0;
  // Requests that ran more than once.
  std::size_t repeated_ = 0;
  std::size_t withoutPermit_ = 0;
  std::size_t resignations_ = 0;
  // Times from a permit request to its first answer, if there was one.
  std::vector<Duration> firstAnswers_;
};

// Instances with their routers, permit clients and dispatchers, and the servers of a keyed service
// under load management, on a simulated clock. Permit messages of an instance queue behind its
// link. Requests may not repeat.
class ShardedFleet
{
public:
  explicit ShardedFleet(const ShardedFleetSettings& aSettings);
  ~ShardedFleet();

  void Run(Duration aTime) { queue_.RunUntil(queue_.Now() + aTime); }
  // Stops new requests, and runs until those under way have ended.
  void Drain();
  // Sets the roster that one instance knows.
  void SetRoster(std::size_t aInstance, const std::set<std::size_t>& aMembers);
  // Ends an instance: its links close and its requests are not counted any further.
  void End(std::size_t aInstance);
  // Delays all later answers of a dispatcher, as a saturated link does.
  void SetAnswerDelay(std::size_t aInstance, Duration aDelay);
  // Adds servers to the directories of all instances.
  void AddServers(std::size_t aCount);

  std::size_t Instances() const { return instances_.size(); }
  // The instances that have requests in their queues or sends registered as a dispatcher.
  std::set<std::size_t> Dispatchers() const;
  std::size_t QueuedAt(std::size_t aInstance) const;
  // The dispatcher with the most sends under way.
  std::size_t BusiestDispatcher() const;
  // What was counted since the last call.
  ShardedFleetCounts TakeCounts() { return std::exchange(counts_, {}); }

private:
  class Instance;
  struct Server;

  void AddServer(std::size_t aNumber);
  void NextRequest();
  // Calls aAction after the bytes of a message have passed the link of the instance.
  void Transmit(std::size_t aInstance, std::function<void()> aAction);
  std::map<std::string, FleetPeer> Peers(const std::set<std::size_t>& aMembers) const;

  ShardedFleetSettings settings_;
  EventQueue queue_;
  NullEventSink events_;
  std::minstd_rand random_;
  std::map<std::string, std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Instance>> instances_;
  ShardedFleetCounts counts_;
  // How often each request ran.
  std::map<RequestNumber, unsigned> runs_;
  RequestNumber lastRequest_ = 0;
  bool isDraining_ = false;
};

} // namespace latchslip
