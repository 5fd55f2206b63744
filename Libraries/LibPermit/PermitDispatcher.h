#pragma once

#include "LibAdmission/ReturnCalendar.h"
#include "LibGateway/QueuePosition.h"
#include "LibGateway/RoutingTable.h"
#include "LibPermit/DispatchedServer.h"
#include "LibPermit/DispatcherComplaints.h"
#include "LibPermit/LateWaitBound.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace latchslip {

// Interface through which a PermitDispatcher answers.
class DispatcherActions
{
public:
  virtual ~DispatcherActions() = default;

  virtual void Answer(CallerId aCaller, const MessageFromDispatcher& aMessage) = 0;
  // An instance reports that this incarnation of the server announced its shutdown.
  virtual void RecordLeaving(const std::string& aServer, std::uint64_t aIncarnation) = 0;
  // No permits are issued for the server for aTime, because an instance could not connect to it.
  virtual void RecordSuspension(const std::string& aServer, CallerId aCaller, Duration aTime) = 0;
  // The dispatcher is not to be chosen for aTime, because aComplaints instances get late answers.
  virtual void RecordResignation(std::size_t aComplaints, Duration aTime) = 0;
};

// Issues permits for sends to the servers of the services that it is the dispatcher of. All sends
// to these servers are reported to it, so it knows the outstanding requests at each of them and
// keeps a central queue for the servers that are full. The queue is ordered by urgency, and each
// request goes to the server with the lowest expected cost. Requests that would not be served
// within their useful time are denied at once (admission control). Performs no I/O.
class PermitDispatcher
{
public:
  PermitDispatcher(const ServerDirectory& aDirectory, DispatcherActions& aActions);

  void SetRoutes(Instant aNow, std::shared_ptr<const RouteTable> aRoutes);
  // To be called after each change of the server directory.
  void OnDirectoryChanged(Instant aNow);

  // Handles a message of one instance. Repeated permit requests and unknown numbers are ignored.
  void OnMessage(Instant aNow, CallerId aCaller, const MessageToDispatcher& aMessage);
  // Ends all sends and permit requests of a caller whose link is down.
  void OnCallerGone(Instant aNow, CallerId aCaller);
  // Issues and denies the permits that are due.
  void OnTime(Instant aNow);
  // Time of the next call of OnTime that has work to do; no value for none.
  std::optional<Instant> NextTime() const;

  std::size_t Queued() const { return queued_.size(); }
  std::size_t InFlight() const { return permits_.size(); }
  // Numbers of the promised returns; all zero without load management.
  const ReturnCounts& Returns() const { return returns_.Counts(); }

private:
  using PermitKey = std::pair<CallerId, AttemptNumber>;

  // A permit in use, or a send without a permit.
  struct RunningSend
  {
    std::string service_;
    std::string server_;
    Instant sentAt_{ 0 };
    // Number of requests outstanding at the server when the send started.
    std::size_t inFlightAtStart_ = 0;
    // Time after which the send counts as ended even if its end was not reported.
    Instant expiresAt_{ 0 };
    RequestFingerprint fingerprint_ = kNoFingerprint;
  };

  using Position = QueuePosition<PermitKey>;

  // A queued permit request.
  struct QueuedRequest
  {
    PermitRequest request_;
    Position position_;
    // Time at which the request is denied.
    Instant denyAt_{ 0 };
  };

  using QueuedRequests = std::map<PermitKey, QueuedRequest>;

  struct Service
  {
    // Work time assumed for servers without a measured one.
    Duration DefaultWork() const;

    std::map<std::string, DispatchedServer> servers_;
    // Queued requests by the server that they require; empty for any server.
    std::map<std::string, std::set<Position>> lanes_;
    LateWaitBound lateWait_;
    // Moving average of the work time over all servers of the service; zero when none has been
    // measured.
    Duration meanWork_{ 0 };
    double slowStartRate_ = 0;
    // Whether other dispatchers may issue the permits for some of the servers.
    bool hasShards_ = false;
  };

  void OnRequest(Instant aNow, CallerId aCaller, const PermitRequest& aRequest);
  void OnWithdrawal(PermitKey aKey);
  void OnNotice(Instant aNow, CallerId aCaller, const SendNotice& aNotice);
  void OnEnd(Instant aNow, CallerId aCaller, const SendEnd& aEnd);
  void OnCrashNotice(Instant aNow, const CrashNotice& aNotice);
  void OnComplaint(Instant aNow, CallerId aCaller);
  // Learns of crashes from the end of a send.
  void TrackCrashes(Instant aNow, const RunningSend& aSend, const SendEnd& aEnd);
  // Learns from the directory which of the servers that seem to have crashed are gone.
  void ConfirmCrashes(Instant aNow);
  // Tells all instances of quarantines that have changed.
  void Announce(const CrashSuspects::Changes& aChanges);
  // Whether a request may be sent to the server as far as crashes are concerned. Each suspect is
  // sent to one server at a time, and each server gets one suspect at a time, so that a further
  // crash shows which request caused it.
  bool MayTry(Instant aNow, const std::string& aServer, RequestFingerprint aFingerprint) const;
  // Issues a permit if a server can accept the request now.
  bool TryIssue(Instant aNow,
                Service& aService,
                PermitKey aKey,
                const PermitRequest& aRequest,
                bool aIsLate);
  // The id of the server with the lowest cost among those that can accept the request; null when
  // there is none.
  const std::string* ChooseServer(Instant aNow,
                                  const Service& aService,
                                  CallerId aCaller,
                                  const PermitRequest& aRequest,
                                  bool aIsLate) const;
  // Cost of sending the request to that server, as a share of the value of its answer.
  static double CostOf(Instant aNow,
                       const std::string& aId,
                       const DispatchedServer& aServer,
                       CallerId aCaller,
                       const PermitRequest& aRequest,
                       Duration aDefaultWork);
  // Registers an outstanding send and counts it at its server.
  void RegisterSend(Service& aService, PermitKey aKey, RunningSend aSend);
  void QueueOrDeny(Instant aNow,
                   Service& aService,
                   PermitKey aKey,
                   const PermitRequest& aRequest,
                   bool aIsReturn);
  void Deny(Instant aNow, QueuedRequests::iterator aQueued);
  // Whether the request is a promised return; uses up its entry.
  bool RecognizeReturn(Instant aNow, const Service& aService, const PermitRequest& aRequest);
  // Counts a new request that is expected to be served in time.
  void CountNewRequest(Instant aNow, const Service& aService, const PermitRequest& aRequest);
  // Tells the requesting instance that the request is denied and when it may return.
  void SendDenial(Instant aNow,
                  const Service& aService,
                  PermitKey aKey,
                  const PermitRequest& aRequest,
                  const Position& aPosition);
  // Whether returns of the request can be promised.
  bool CanPromise(const Service& aService, const PermitRequest& aRequest) const;
  // Expected throughput of the server; of the whole service if aServer is empty.
  static double ExpectedThroughput(Instant aNow,
                                   const Service& aService,
                                   const std::string& aServer);
  static Duration ExpectedWait(Instant aNow,
                               const Service& aService,
                               const PermitRequest& aRequest,
                               const Position& aPosition);
  // Expected work time of the request, without any wait for a slot.
  static Duration ExpectedWork(Instant aNow,
                               const Service& aService,
                               const PermitRequest& aRequest);
  // Issues permits to the queued requests of that lane in order, while servers can accept them.
  void ServeLane(Instant aNow, Service& aService, const std::string& aLane);
  // Whether an eligible server is in backoff for that instance, so that queued requests of other
  // instances may still be served.
  static bool IsBlockedByBackoff(Instant aNow,
                                 const Service& aService,
                                 CallerId aCaller,
                                 const PermitRequest& aRequest);
  void ServeAllLanes(Instant aNow);
  // Removes a permit request from the queue.
  void Dequeue(QueuedRequests::iterator aQueued);
  void ExpireSends(Instant aNow);

  const ServerDirectory& directory_;
  DispatcherActions& actions_;
  std::shared_ptr<const RouteTable> routes_;
  // Whether the configuration asks for load management.
  bool usesLoadManagement_ = false;
  DispatcherComplaints complaints_;
  std::map<std::string, Service, std::less<>> services_;
  std::map<PermitKey, RunningSend> permits_;
  QueuedRequests queued_;
  ReturnCalendar returns_;
  CrashSuspects suspects_;
  // The suspects under way, by server.
  std::map<std::string, RequestFingerprint> trials_;
  // The instances that have sent a message.
  std::set<CallerId> callers_;
  // Whether any permit has been requested from this instance. Instances that are not a dispatcher
  // skip the bookkeeping about servers.
  bool hasRequests_ = false;
  Instant nextQueueCheck_ = Instant::min();
  Instant nextExpiryCheck_ = Instant::min();
};

} // namespace latchslip
