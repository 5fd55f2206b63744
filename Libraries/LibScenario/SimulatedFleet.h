#pragma once

#include "LibInstance/InstanceCore.h"
#include "LibScenario/EventQueue.h"
#include "LibScenario/Invariants.h"
#include "LibStandIn/ServerState.h"
#include "LibStandIn/TableState.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace latchslip {

// Deterministic simulation of a fleet: runs the real decision code (InstanceCore) of several
// instances against fakes of the network, the platform and the backend servers, on a simulated
// clock and with random numbers from a seed. Faults are addressed by the name of an instance or of
// a server, or by "store" for the table service. Used by the scenarios, the random fault test and
// the benchmarks.
class SimulatedFleet
{
public:
  struct ServiceSettings
  {
    std::string name_;
    std::size_t servers_ = 1;
    unsigned slots_ = 4;
    bool checksGrants_ = true;
    Duration serviceTime_ = milliseconds(2);
  };
  struct LoadSettings
  {
    std::string group_;
    std::string service_;
    double rate_ = 0;
    std::size_t keys_ = 1;
    bool isRepeatable_ = true;
    Duration deadline_ = seconds(2);
    // Share of the requests that use the first key, from 0 to 1.
    double hotShare_ = 0;
  };
  struct RequestCounts
  {
    std::size_t sent_ = 0;
    std::size_t answered_ = 0;
    std::size_t notRun_ = 0;
    std::size_t unknown_ = 0;
  };
  struct StoreFaults
  {
    bool isUnavailable_ = false;
    Duration delay_ = milliseconds(2);
    // Number of the next transactions that are committed but whose answers are lost.
    unsigned answersToLose_ = 0;
  };

  SimulatedFleet(std::uint64_t aSeed, std::vector<std::string> aHalls);
  ~SimulatedFleet();
  SimulatedFleet(const SimulatedFleet&) = delete;
  SimulatedFleet& operator=(const SimulatedFleet&) = delete;

  // Adds an instance, in the halls in turn; call before Start.
  void AddInstance(const std::string& aName);
  // Adds a service with servers NAME-1, NAME-2 and so on, in the halls in turn; call before Start.
  void AddService(const ServiceSettings& aSettings);
  void AddIntent(const SharingIntent& aIntent) { declaration_.intents_.push_back(aIntent); }
  void SetProfile(PlacementProfile aProfile) { declaration_.profile_ = aProfile; }
  // Starts all instances and servers, confirms the declaration and runs until every server that is
  // up has a grant. False if that takes more than 20 simulated seconds.
  bool Start();

  // Runs the simulation for this long. Every 10 ms it sends the load that is due, runs the due
  // events and ticks all instances that are not frozen.
  void Advance(Duration aSpan);
  Instant Now() const { return queue_.Now(); }

  // Ends an instance without a drain; its connections are reset.
  void KillInstance(const std::string& aName);
  // aSilently simulates the loss of the host: connections hang instead of being reset.
  void KillServer(const std::string& aName, bool aSilently);
  // Resets all connections to the server; its running work continues.
  void BreakConnections(const std::string& aServer);
  // Start a new incarnation of an instance or server, and end the former one if it is up.
  void RestartInstance(const std::string& aName);
  void RestartServer(const std::string& aName);
  // Makes the server shed all new work, or accept work again.
  void SetShedding(const std::string& aServer, bool aIsShedding);
  // Pauses an instance or server, as SIGSTOP does. Messages to it are held until Thaw.
  void Freeze(const std::string& aName);
  void Thaw(const std::string& aName);
  // Partitions the network between two places. Messages are held until the partition is healed and
  // are delivered then.
  void Partition(const std::string& aOne, const std::string& aOther);
  void Heal(const std::string& aOne, const std::string& aOther);
  void HealAll();
  StoreFaults& Store() { return storeFaults_; }
  void SetListLag(Duration aLag) { listLag_ = aLag; }
  // Removes an instance from the platform's list. Instances see the change after the list lag.
  void RemoveFromList(const std::string& aName);
  // Begins a planned stop; the instance ends when it reports that it may stop.
  void DrainInstance(const std::string& aName);

  // Sends requests at a constant rate until StopLoads, each through a random instance.
  void StartLoad(const LoadSettings& aSettings);
  void StopLoads() { loads_.clear(); }
  // Sends one request through an instance; "not run" is recorded at once if the instance is down.
  void Send(const std::string& aRequestId,
            const std::string& aInstance,
            const LoadSettings& aLoad,
            const std::string& aKey);

  // Requests a plan for a declaration from an instance. Confirm requests its confirmation under the
  // same name aPlan. Both return before the answer arrives.
  void Plan(const std::string& aPlan,
            const std::string& aInstance,
            const Declaration& aDeclaration);
  void Confirm(const std::string& aPlan, const std::string& aInstance);
  // HTTP status of the answer to a confirmation; 0 while there is none.
  unsigned ConfirmationStatus(const std::string& aPlan) const;
  const std::string& ConfirmationAnswer(const std::string& aPlan) const;
  // Time from a confirmation's request to its answer.
  Duration ConfirmationTime(const std::string& aPlan) const;
  // The declaration that Start confirms; later changes have an effect only through Plan and
  // Confirm.
  Declaration& DesiredDeclaration() { return declaration_; }

  const RequestCounts& Total() const { return counts_; }
  // Outcome of the last answer to a request id; nullopt while there is none.
  std::optional<RequestOutcome> OutcomeOf(const std::string& aRequestId) const;
  Reason ReasonOf(const std::string& aRequestId) const;
  // The longest time between two consecutive answers for any one key of a service.
  Duration LongestGap(const std::string& aService) const;
  // Resets the measurements of gaps, imbalance and shares.
  void ResetMeasurements();
  // Number of slices moved after their owner released them; reassignments of the slices of lost
  // servers don't count.
  std::size_t SlicesMoved() const;
  // Busiest server over the mean: service time of finished work since ResetMeasurements, over the
  // servers that are up. 1 if there was none.
  double Imbalance(const std::string& aService) const;
  // A group's share of a service's executions since ResetMeasurements, from 0 to 1.
  double ShareOf(const std::string& aGroup, const std::string& aService) const;
  // Whether the instance ended by a planned stop.
  bool IsStopped(const std::string& aInstance) const;
  bool IsUp(const std::string& aInstance) const;
  // The decision code of an instance; null while it is down or if there is no such instance.
  InstanceCore* Core(const std::string& aInstance);
  const TableState& Table() const { return table_; }
  std::vector<std::string> InstanceNames() const;
  std::vector<std::string> ServerNames(const std::string& aService) const;
  const std::vector<std::string>& Violations() const { return invariants_.Violations(); }
  std::size_t EventCount(Event aEvent) const;
  // Number of messages that instances sent to their peers.
  std::uint64_t ControlMessages() const { return controlMessages_; }

private:
  class SimulatedInstance;
  struct Server;
  struct Caller
  {
    std::string requestId_;
    std::string service_;
    std::string key_;
    std::string instance_;
    Instant sentAt_{ 0 };
  };
  struct Confirmation
  {
    std::string plan_;
    unsigned status_ = 0;
    std::string answer_;
    Instant requestedAt_{ 0 };
    Instant answeredAt_{ 0 };
  };

  void StartInstance(SimulatedInstance& aInstance);
  void TickAll();
  void RunLoads(Duration aSpan);
  void SendInstanceLists();
  void CheckViews(SimulatedInstance& aInstance);
  Duration NetworkDelay();
  bool IsPartitioned(const std::string& aOne, const std::string& aOther) const;
  // Runs an action at a place after a network delay. Messages between two places keep their order.
  // While the two are partitioned or the place is frozen, the action is held.
  void Deliver(const std::string& aFrom, const std::string& aTo, std::function<void()> aAction);
  // Runs an action at a place now, or after Thaw if it is frozen. Drops it if the place is an
  // instance that is down.
  void RunAtDestination(const std::string& aTo, std::function<void()> aAction);
  void ConnectPeers(SimulatedInstance& aOne);
  void CallStore(SimulatedInstance& aFrom, CallTag aTag, const StoreCall& aCall);
  void ServeStore(const std::string& aInstance,
                  std::uint64_t aIncarnation,
                  CallTag aTag,
                  const StoreCall& aCall);
  void RecordStored(const Transaction& aTransaction);
  void SendGrant(SimulatedInstance& aFrom, CallTag aTag, const GrantCommand& aCommand);
  void RefuseConnection(const std::string& aServer,
                        const std::string& aInstance,
                        std::uint64_t aIncarnation,
                        CallTag aTag);
  void SendWork(SimulatedInstance& aFrom, const WorkCommand& aCommand);
  void ServeWork(const std::string& aInstance,
                 std::uint64_t aIncarnation,
                 const WorkCommand& aCommand);
  void EndWork(Server& aServer,
               const std::string& aInstance,
               std::uint64_t aIncarnation,
               const WorkCommand& aCommand,
               std::uint64_t aBoot,
               std::uint64_t aWork);
  void ReplyWork(const std::string& aServer,
                 const std::string& aInstance,
                 std::uint64_t aIncarnation,
                 WorkId aId,
                 const WorkReply& aReply);
  void CancelWork(SimulatedInstance& aFrom, WorkId aId);
  void OnCallerAnswer(SimulatedInstance& aFrom, CallerId aCaller, const WorkAnswer& aAnswer);
  void OnOperatorAnswer(OperatorId aOperator, const OperatorAnswer& aAnswer);
  Server* FindServer(const std::string& aName);
  std::string ExpectedBody(const std::string& aRequestId, const std::string& aKey) const;
  std::string PickInstance();

  EventQueue queue_;
  std::mt19937_64 random_;
  std::vector<std::string> halls_;
  Declaration declaration_;
  Invariants invariants_;
  TableState table_;
  StoreFaults storeFaults_;
  std::map<std::string, std::unique_ptr<SimulatedInstance>> instances_;
  std::map<std::string, std::unique_ptr<Server>> servers_;
  std::set<std::pair<std::string, std::string>> partitions_;
  std::set<std::string> frozen_;
  std::map<std::pair<std::string, std::string>, std::deque<std::function<void()>>> heldMessages_;
  std::map<std::string, std::deque<std::function<void()>>> pausedActions_;
  std::map<std::pair<std::string, std::string>, Instant> lastArrival_;
  std::set<std::string> unlisted_;
  Duration listLag_ = milliseconds(500);
  std::vector<std::pair<LoadSettings, double>> loads_;
  std::uint64_t nextRequest_ = 0;
  std::uint64_t nextCaller_ = 0;
  std::uint64_t nextBoot_ = 0;
  std::map<CallerId, Caller> callers_;
  std::map<std::string, std::pair<RequestOutcome, Reason>> outcomes_;
  std::map<std::string, Confirmation> confirmations_;
  std::map<OperatorId, std::string> planOfOperator_;
  std::map<std::string, std::map<std::string, std::pair<Instant, Duration>>> gaps_;
  std::map<std::string, Duration> busy_;
  std::map<std::pair<std::string, std::string>, std::size_t> executedByGroup_;
  std::map<Event, std::size_t> eventCounts_;
  std::uint64_t controlMessages_ = 0;
  RequestCounts counts_;
};

} // namespace latchslip
