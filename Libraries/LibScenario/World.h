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

// The real decision code of several instances on fakes of the network, the
// platform and the backend servers, under a hand-turned clock and a seed. Names
// of instances, of servers and "store" say where a fault is.
class World
{
public:
  struct ServiceSettings
  {
    std::string name_;
    std::size_t servers_ = 1;
    unsigned slots_ = 4;
    bool checksGrants_ = true;
    Duration time_ = milliseconds(2);
  };
  struct LoadSettings
  {
    std::string group_;
    std::string service_;
    double rate_ = 0;
    std::size_t keys_ = 1;
    bool isRepeatable_ = true;
    Duration deadline_ = seconds(2);
    // Share of the requests that go to the first key.
    double hotShare_ = 0;
  };
  struct Counts
  {
    std::size_t sent_ = 0;
    std::size_t answered_ = 0;
    std::size_t notRun_ = 0;
    std::size_t unknown_ = 0;
  };
  struct StoreFaults
  {
    bool isOut_ = false;
    Duration delay_ = milliseconds(2);
    // Transactions that take effect and whose answers are lost.
    unsigned answersToLose_ = 0;
  };

  World(std::uint64_t aSeed, std::vector<std::string> aHalls);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  void AddInstance(const std::string& aName);
  void AddService(const ServiceSettings& aSettings);
  void AddIntent(const SharingIntent& aIntent) { declaration_.intents_.push_back(aIntent); }
  void SetProfile(PlacementProfile aProfile) { declaration_.profile_ = aProfile; }
  // Starts everything, confirms the declaration and waits until every server
  // that is up has its grant. False when that took too long.
  bool Start();

  void Advance(Duration aSpan);
  Instant Now() const { return queue_.Now(); }

  void KillInstance(const std::string& aName);
  // aSilently: the host is gone, so that nobody's connection breaks.
  void KillServer(const std::string& aName, bool aSilently);
  // Every connection to the server breaks; what it runs goes on.
  void BreakConnections(const std::string& aServer);
  void RestartInstance(const std::string& aName);
  void RestartServer(const std::string& aName);
  // The server refuses all work as too much, or takes it again.
  void SetShedding(const std::string& aServer, bool aSheds);
  void Freeze(const std::string& aName);
  void Thaw(const std::string& aName);
  // Nothing passes between the two until they are healed; then it comes late.
  void Cut(const std::string& aOne, const std::string& aOther);
  void Heal(const std::string& aOne, const std::string& aOther);
  void HealAll();
  StoreFaults& Store() { return storeFaults_; }
  void SetListLag(Duration aLag) { listLag_ = aLag; }
  // The platform notices that an instance has gone; that shows after the lag.
  void ListGone(const std::string& aName);
  void DrainInstance(const std::string& aName);

  void StartLoad(const LoadSettings& aSettings);
  void StopLoads() { loads_.clear(); }
  void Send(const std::string& aRequestId,
            const std::string& aInstance,
            const LoadSettings& aHow,
            const std::string& aKey);

  void Plan(const std::string& aPlan, const std::string& aInstance, const Declaration& aWanted);
  void Confirm(const std::string& aPlan, const std::string& aInstance);
  // 0 while it has no answer.
  unsigned StatusOfConfirm(const std::string& aPlan) const;
  const std::string& AnswerOfConfirm(const std::string& aPlan) const;
  // When the answer of a confirmation came, after it was asked.
  Duration TimeOfConfirm(const std::string& aPlan) const;
  Declaration& Wanted() { return declaration_; }

  const Counts& Total() const { return counts_; }
  std::optional<RequestOutcome> OutcomeOf(const std::string& aRequestId) const;
  Reason ReasonOf(const std::string& aRequestId) const;
  // The longest time between two answers for one key of a service.
  Duration LongestGap(const std::string& aService) const;
  // Starts measuring gaps anew.
  void ForgetGaps();
  // Slices that were moved with the owner's release; those of lost servers not.
  std::size_t SlicesMoved() const;
  // Largest over mean of the work that active servers ended since ForgetGaps.
  double Imbalance(const std::string& aService) const;
  // The share of a service's executions since ForgetGaps that a group had.
  double ShareOf(const std::string& aGroup, const std::string& aService) const;
  bool IsStopped(const std::string& aInstance) const;
  bool IsUp(const std::string& aInstance) const;
  InstanceCore* Core(const std::string& aInstance);
  const TableState& Table() const { return table_; }
  std::vector<std::string> InstanceNames() const;
  std::vector<std::string> ServerNames(const std::string& aService) const;
  const std::vector<std::string>& Violations() const { return invariants_.Violations(); }
  std::size_t EventCount(Event aEvent) const;
  std::uint64_t ControlMessages() const { return controlMessages_; }

private:
  class InstanceSide;
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
    Instant askedAt_{ 0 };
    Instant answeredAt_{ 0 };
  };

  void Boot(InstanceSide& aInstance);
  void TickAll();
  void RunLoads(Duration aSpan);
  void DeliverLists();
  void CheckViews(InstanceSide& aInstance);
  Duration NetworkDelay();
  bool IsCut(const std::string& aOne, const std::string& aOther) const;
  // Carries out an action at a place after a network delay; later while the way
  // is cut or the place is frozen, in order.
  void Carry(const std::string& aFrom, const std::string& aTo, std::function<void()> aAction);
  void Arrive(const std::string& aTo, std::function<void()> aAction);
  void ConnectPeers(InstanceSide& aOne);
  void CallStore(InstanceSide& aFrom, CallTag aTag, const StoreCall& aCall);
  void ServeStore(const std::string& aInstance,
                  std::uint64_t aIncarnation,
                  CallTag aTag,
                  const StoreCall& aCall);
  void RecordStored(const Transaction& aTransaction);
  void SendGrant(InstanceSide& aFrom, CallTag aTag, const GrantCommand& aOrder);
  void RefuseConnection(const std::string& aServer,
                        const std::string& aInstance,
                        std::uint64_t aIncarnation,
                        CallTag aTag);
  void SendWork(InstanceSide& aFrom, const WorkCommand& aOrder);
  void ServeWork(const std::string& aInstance,
                 std::uint64_t aIncarnation,
                 const WorkCommand& aOrder);
  void EndWork(Server& aServer,
               const std::string& aInstance,
               std::uint64_t aIncarnation,
               const WorkCommand& aOrder,
               std::uint64_t aBoot,
               std::uint64_t aWork);
  void ReplyWork(const std::string& aServer,
                 const std::string& aInstance,
                 std::uint64_t aIncarnation,
                 WorkId aId,
                 const WorkReply& aReply);
  void CancelWork(InstanceSide& aFrom, WorkId aId);
  void OnCallerAnswer(InstanceSide& aFrom, CallerId aCaller, const WorkAnswer& aAnswer);
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
  std::map<std::string, std::unique_ptr<InstanceSide>> instances_;
  std::map<std::string, std::unique_ptr<Server>> servers_;
  std::set<std::pair<std::string, std::string>> cuts_;
  std::set<std::string> frozen_;
  std::map<std::pair<std::string, std::string>, std::deque<std::function<void()>>> heldUp_;
  std::map<std::string, std::deque<std::function<void()>>> waitingForThaw_;
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
  Counts counts_;
};

} // namespace latchslip
