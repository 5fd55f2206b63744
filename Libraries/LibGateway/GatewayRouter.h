#pragma once

#include "LibBase/Event.h"
#include "LibGateway/CapacityShares.h"
#include "LibGateway/GroupAdmission.h"
#include "LibGateway/Messages.h"
#include "LibGateway/MoveTimeEstimator.h"
#include "LibGateway/PendingRequest.h"
#include "LibGateway/PermitSource.h"
#include "LibGateway/RefusalStreak.h"
#include "LibGateway/RequestAgeEstimator.h"
#include "LibGateway/RequestStatistics.h"
#include "LibGateway/RoutingTable.h"
#include "LibGateway/ServerDirectory.h"
#include "LibGateway/ServiceState.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace latchslip {

// Settings of an instance's routing.
struct GatewayRouterSettings
{
  // Data hall of this instance.
  std::string hall_;
  RetryBudgetParameters retries_;
  std::uint32_t seed_ = 1;
};

// Routes the requests of one instance: decides for each request which server gets it, how long it
// may wait, when it is retried and when it is refused. Requests are sent directly to the server,
// which for a keyed service is the owner of the key. Does no I/O: RequestActions performs it.
class GatewayRouter
{
public:
  GatewayRouter(GatewayRouterSettings aSettings,
                const ServerDirectory& aDirectory,
                RequestActions& aActions,
                PermitSource& aPermits,
                EventSink& aEvents);

  // aNow is the time at which the request had been read completely.
  void OnRequest(Instant aNow, RoutedRequest aRequest);
  // An attempt ended; delivers its answer, retries the request or refuses it.
  void OnAttemptEnded(Instant aNow, AttemptNumber aAttempt, const AttemptOutcome& aOutcome);
  // The client closed its connection. Cancels the request if its route is repeatable; otherwise
  // an attempt in flight runs to its end.
  void OnClientGone(Instant aNow, RequestNumber aRequest);
  // Runs the timers that have expired.
  void OnTime(Instant aNow);
  // Time of the next timer; no value if none is set.
  std::optional<Instant> NextTime() const;

  // Answers of the dispatcher to permit requests. OnPermitRequestLost: the dispatcher is gone and
  // will not answer. aWait is the time until the dispatcher expects to have capacity.
  void OnPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer);
  void OnPermitDelayed(Instant aNow, AttemptNumber aNumber);
  void OnPermitDenied(Instant aNow,
                      AttemptNumber aNumber,
                      Duration aWait,
                      bool aIsPromised = false);
  void OnPermitRequestLost(Instant aNow, AttemptNumber aNumber);
  // The request must not be sent to any server for some time: refuses its repetitions that wait.
  void OnQuarantine(Instant aNow, RequestFingerprint aFingerprint);

  // Applies a new configuration, and routes the requests that waited for the first one.
  void SetRoutes(Instant aNow, std::shared_ptr<const RouteTable> aRoutes);
  // Applies a new ownership of the keys of one service.
  void SetOwnership(Instant aNow, KeyOwnership aOwnership);
  // Must be called after each change of the directory.
  void OnDirectoryChanged(Instant aNow);
  void SetRetryParameters(const RetryBudgetParameters& aParameters);
  // Time until which the API keys of the present routes are known not to be revoked; unlimited if
  // never called.
  void SetApiKeysProvenUntil(Instant aUntil) { apiKeysUntil_ = aUntil; }
  // Groups have no limits unless this is called. aAdmission must outlive the router.
  void SetGroupAdmission(GroupAdmission& aAdmission) { admission_ = &aAdmission; }
  // Servers are only reached directly unless this is called. aPaths must outlive the router.
  void SetPaths(ServerPaths& aPaths) { paths_ = &aPaths; }
  // Whether this instance no longer receives updates of key ownership.
  void SetUpdatesStale(bool aAreStale) { areUpdatesStale_ = aAreStale; }
  // This instance ends at aEnd. From now on it sends only requests that have certainly ended by
  // then, and refuses all others that no server has.
  void EndBy(Instant aNow, Instant aEnd);
  // Number of instances that share the servers.
  void SetInstances(std::size_t aInstances) { instances_ = aInstances; }

  const RequestStatistics& Statistics() const { return statistics_; }
  // Number of requests that have not been answered yet, waiting ones included.
  std::size_t InFlight() const { return pending_.size(); }
  // Number of requests in the queues.
  std::size_t Waiting() const;
  // Returns and resets the work that the server did for this instance.
  ServerWork TakeWorkOf(const std::string& aServer);

private:
  // Result of choosing a server.
  enum class Choice
  {
    Found,
    // The service has no server that accepts new work.
    NoServer,
    // The key has no owner that certainly holds it.
    NoOwner,
    // All servers that may get the request are at their limits.
    NoCapacity,
  };

  static RefusalReason RefusalReasonOf(Choice aChoice);
  // Sets the route and the group of a request. Refuses the request and returns false if its
  // caller may not use the route.
  bool TryIdentify(Instant aNow, PendingRequest& aPending);
  // Whether the rate limit of its group admits the request; refuses the request if not.
  bool TryAdmitToGroup(Instant aNow, PendingRequest& aPending);
  // Whether this instance may end before the request does.
  bool MayOutlastStop(const PendingRequest& aPending) const;
  // Whether the request must not be sent to any server because it crashed others.
  bool IsQuarantined(Instant aNow, const PendingRequest& aPending) const;
  // Refuses a request because of its caller, and counts that for the group.
  void RejectCaller(Instant aNow, PendingRequest& aPending, RefusalReason aReason);
  // Why the caller may not use the route, which is null if none matched; no value if it may.
  std::optional<RefusalReason> RejectionReasonOf(Instant aNow,
                                                 const Route* aRoute,
                                                 const CallerGroup* aGroup) const;
  // Whether the request needs no API key, or its key is known not to be revoked.
  bool IsApiKeyProven(Instant aNow, const PendingRequest& aPending) const;
  // Refuses waiting requests whose API keys the present configuration no longer has.
  void RefuseRevoked(Instant aNow);
  // Routes a request: sends it, queues it or refuses it.
  void RouteRequest(Instant aNow, PendingRequest& aPending);
  // Routes the requests that arrived before the first configuration.
  void RouteHeldRequests(Instant aNow);
  // Drops the state of routes and groups that are no longer configured.
  void DropRemovedRoutes();
  ServiceState& StateOf(const std::string& aService);
  // Number of instances that share the servers; an assumed number while it is not known.
  std::size_t InstanceCount() const;
  // Load state of the server, updated to the limits that hold now.
  ServerLoad& LoadOf(const ServerRecord& aRecord, const RoutedService& aService);
  // Chooses the service for a request of this route, by the weights of the route's targets.
  const std::string& ChooseTarget(const Route& aRoute);
  // Sends the request if a server can take it now, or requests a permit for it.
  bool TrySend(Instant aNow, PendingRequest& aPending);
  // As TrySend, by the local state of this instance and without a permit.
  bool TrySendWithoutPermit(Instant aNow, PendingRequest& aPending);
  // Requests a permit if a dispatcher is available and, for a keyed service, the key has an
  // owner.
  bool TryRequestPermit(Instant aNow, PendingRequest& aPending);
  // Ends a permit request and returns the request that waited for it; null if none did.
  PendingRequest* TakePermitRequest(AttemptNumber aNumber);
  // Counts the dispatcher's answer to the permit request, if it is the first one.
  void CountFirstAnswer(Instant aNow, const PendingRequest& aPending);
  // Withdraws the permit request of the request, if there is one.
  void WithdrawPermitRequest(PendingRequest& aPending);
  // The server that the dispatcher chose, if this instance may send the request there by its own
  // view; otherwise no value.
  std::optional<ServerCandidate> PermittedServer(Instant aNow,
                                                 PendingRequest& aPending,
                                                 const std::string& aServer);
  // Report that a permit was not used. It includes the server's remaining backoff and shutdown,
  // which the dispatcher may not know: another instance may have been the dispatcher when the
  // server announced them.
  SendEnd UnusedPermitReport(Instant aNow, AttemptNumber aNumber, const std::string& aServer) const;
  // A permit request timed out.
  void OnPermitRequestTimeout(Instant aNow, PendingRequest& aPending);
  // Time limit to send to a server; no value if too little time is left for a send. Every send
  // asks for it.
  std::optional<Duration> SendTimeLimit(Instant aNow, const PendingRequest& aPending) const;
  void SendTo(Instant aNow,
              PendingRequest& aPending,
              const ServerCandidate& aServer,
              AttemptNumber aAttempt,
              Duration aTimeLeft);
  // Chooses the server for a request; sets aChosen if the result is Found.
  Choice ChooseServer(Instant aNow, PendingRequest& aPending, ServerCandidate& aChosen);
  // Learns the durations of the moves that have ended.
  void RecordMoves(Instant aNow, const KeyOwnership& aOwnership);
  // Whether a range is in handover between two owners, as far as this instance knows.
  bool IsInHandover(Instant aNow, const std::string& aService, const KeyRange& aRange) const;
  // Whether the server may get a request without a permit as far as this instance's share of its
  // capacity is concerned. Always true without load management.
  bool HasCapacityShare(Instant aNow,
                        const PendingRequest& aPending,
                        const ServerCandidate& aServer);
  // Time until a server that may have the request can get it by that share; zero if one can now.
  Duration CapacityShareWait(Instant aNow, PendingRequest& aPending);
  Choice ChooseOwner(Instant aNow, PendingRequest& aPending, ServerCandidate& aChosen);
  // Chooses among the servers of a service without keys, for a send without a permit.
  Choice ChooseAny(Instant aNow, const PendingRequest& aPending, ServerCandidate& aChosen);
  // Cost of sending one more request to a server: its expected latency, weighted by requests in
  // flight, hall, connection and failures.
  double CostOf(Instant aNow, const ServerCandidate& aCandidate, Duration aDefault) const;
  // Sets aChosen to the cheapest of itself, if set, and two servers drawn at random (power of two
  // choices).
  void SampleTwoChoices(Instant aNow,
                        const std::vector<ServerCandidate>& aServers,
                        Duration aDefault,
                        std::optional<ServerCandidate>& aChosen);
  // Queues the request until it can be sent or is refused; refuses it at once if it is not
  // expected to be sent within a useful time.
  void WaitOrRefuse(Instant aNow, PendingRequest& aPending);
  void Queue(Instant aNow, PendingRequest& aPending);
  // Shortest remaining backoff of the servers that may have the request; zero if one of them
  // requested none, or there is no server.
  Duration RemainingBackoff(Instant aNow, PendingRequest& aPending);
  // As RemainingBackoff; without a dispatcher it includes the waits for the servers' rate limits.
  Duration RemainingDelay(Instant aNow, PendingRequest& aPending);
  // Minimum of a function over the servers that may have the request; zero if there is none.
  Duration MinOverServers(Instant aNow,
                          PendingRequest& aPending,
                          const std::function<Duration(const ServerLoad&)>& aTimeOf);
  // Expected time until the request can be sent; no value if it cannot be estimated.
  std::optional<Duration> ExpectedWait(Instant aNow, PendingRequest& aPending);
  std::optional<Duration> ExpectedWaitForOwner(Instant aNow, const PendingRequest& aPending);
  // Time since the move of a range began, or should have begun because its owner is leaving. The
  // owner may be null.
  Duration MoveAge(Instant aNow,
                   const std::string& aService,
                   const KeyRange& aRange,
                   const ServerRecord* aOwner) const;
  std::optional<Duration> ExpectedWaitForAny(Instant aNow, const PendingRequest& aPending);
  // Expected time until this instance learns of servers and owners after its start; no value if
  // that time has passed.
  std::optional<Duration> ExpectedStartupWait(Instant aNow) const;
  // Expected time from a send to its answer.
  Duration ExpectedLatency(const PendingRequest& aPending);
  // Number of requests that wait for the same server (or for the same service without keys) and
  // precede this one.
  std::size_t QueuedAhead(const PendingRequest& aPending);
  void LeaveQueue(const PendingRequest& aPending);
  // Sends queued requests of a service as far as servers can take them now.
  void SendQueued(Instant aNow, const std::string& aService);
  // Records that a server closed the connection of an attempt without an answer.
  void RecordConnectionLost(Instant aNow, const PendingRequest& aPending);
  // Records the backoff that a server requested, if it did.
  void RecordBackoff(Instant aNow,
                     const PendingRequest& aPending,
                     const AttemptOutcome& aOutcome,
                     ServerLoad& aLoad);
  // Records the rate limit that a server advertised, if it did.
  void RecordRateLimit(Instant aNow,
                       const PendingRequest& aPending,
                       const AttemptOutcome& aOutcome,
                       ServerLoad& aLoad);
  // Sends the attempt on its present path.
  void SendOnPath(PendingRequest& aPending, const ServerRecord& aServer, Duration aTimeLeft);
  // Sends an attempt that did not reach its server on another path; returns false if there is none.
  bool TryAnotherPath(Instant aNow, PendingRequest& aPending, const AttemptOutcome& aOutcome);
  // The result of an attempt as far as the server's health is concerned. What only the path is to
  // blame for says nothing about the server.
  SendResult ToSendResult(const PendingRequest& aPending, const AttemptOutcome& aOutcome) const;
  // Why a request that was not run by any server is refused after its last attempt.
  RefusalReason ReasonNotRun(Instant aNow) const;
  // Delivers, retries or refuses a request whose attempt has ended.
  void ResolveAttempt(Instant aNow, PendingRequest& aPending, const AttemptOutcome& aOutcome);
  void Retry(Instant aNow, PendingRequest& aPending, const AttemptOutcome& aOutcome);
  // Whether the request may be retried; if so, takes the retry from the budget.
  bool TryTakeRetry(Instant aNow, PendingRequest& aPending, const AttemptOutcome& aOutcome);
  void RefuseWaiting(Instant aNow, PendingRequest& aPending);
  // Refuses those of the requests that no server has for which aIsRefused holds.
  void RefuseAllWaiting(Instant aNow,
                        RefusalReason aReason,
                        const std::function<bool(const PendingRequest&)>& aIsRefused);
  // Ends a request that reached its time limit while an attempt is in flight.
  void TimeOut(Instant aNow, PendingRequest& aPending);
  void Refuse(Instant aNow, PendingRequest& aPending, RefusalReason aReason);
  // Delay after which a refused client should retry.
  Duration RetryAfterOf(Instant aNow, PendingRequest& aPending);
  // The part of RetryAfterOf under load management: the value for a known wait that is given
  // without a random draw around it, or for a key without an owner; no value for all else.
  // aHonoured is the longest wait that the client honours.
  std::optional<Duration> ManagedRetryAfter(const PendingRequest& aPending,
                                            Duration aWait,
                                            Duration aHonoured);
  // Removes the request and its timer, queue entry and permit request.
  void Finish(RequestNumber aRequest);
  // Instant::max() for no timer.
  void SetTimer(PendingRequest& aPending, Instant aTime);
  // Reloads the servers of a service from the directory.
  void RefreshServers(Instant aNow, ServiceState& aState, const RoutedService& aService);
  // Limits the sends of this instance to its share of the slow-start rate of a server in slow
  // start.
  void LimitSlowStart(Instant aNow,
                      const ServerRecord& aRecord,
                      const RoutedService& aService,
                      ServerLoad& aLoad);

  GatewayRouterSettings settings_;
  const ServerDirectory& directory_;
  RequestActions& actions_;
  PermitSource& permits_;
  EventSink& events_;
  ServerPaths directPaths_;
  ServerPaths* paths_ = &directPaths_;
  UnlimitedAdmission unlimitedAdmission_;
  GroupAdmission* admission_ = &unlimitedAdmission_;
  Instant apiKeysUntil_ = Instant::max();
  std::shared_ptr<const RouteTable> routes_;
  // Time at which the first configuration arrived.
  Instant firstRoutesAt_{ 0 };
  std::map<std::string, KeyOwnership, std::less<>> ownership_;
  // Time at which this instance learned of each range in handover, by service and fence.
  std::map<std::pair<std::string, FenceNumber>, Instant> movingSince_;
  // By service.
  std::map<std::string, MoveTimeEstimator, std::less<>> moveTimes_;
  // By server, or by service if requests do not wait for a particular server.
  std::map<std::string, RefusalStreak, std::less<>> refusalStreaks_;
  // By the name of the route.
  std::map<std::string, RequestAgeEstimator, std::less<>> requestAges_;
  std::map<std::string, ServiceState, std::less<>> services_;
  std::map<std::string, ServerLoad, std::less<>> loads_;
  CapacityShares shares_;
  std::unordered_map<RequestNumber, PendingRequest> pending_;
  std::unordered_map<AttemptNumber, RequestNumber> attempts_;
  // Requests that wait for permits.
  std::unordered_map<AttemptNumber, RequestNumber> permitRequests_;
  std::set<std::pair<Instant, RequestNumber>> timers_;
  // Weighted round robin credits of each route's targets, by host and prefix.
  std::map<std::string, std::vector<double>, std::less<>> credits_;
  RequestStatistics statistics_;
  std::minstd_rand random_;
  AttemptNumber lastAttempt_ = 0;
  std::size_t instances_ = 0;
  bool areUpdatesStale_ = false;
  // See EndBy().
  Instant endsBy_ = Instant::max();
};

} // namespace latchslip
