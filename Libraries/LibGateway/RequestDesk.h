#pragma once

#include "LibBase/Event.h"
#include "LibGateway/CallerPatience.h"
#include "LibGateway/GroupGate.h"
#include "LibGateway/Messages.h"
#include "LibGateway/MoveTimes.h"
#include "LibGateway/PendingRequest.h"
#include "LibGateway/PermitSource.h"
#include "LibGateway/RequestTally.h"
#include "LibGateway/RoutingTable.h"
#include "LibGateway/ServerDirectory.h"
#include "LibGateway/ServiceState.h"
#include "LibGateway/ShortageSpell.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

namespace latchslip {

// What one instance decides its routing by.
struct RequestDeskSettings
{
  // The data hall of this instance.
  std::string hall_;
  RetryBudgetTerms retries_;
  std::uint32_t seed_ = 1;
};

// Decides for each request which server gets it, how long it may wait, when it
// is tried again and when it is given up. Requests go straight to the server,
// which for a keyed service is the owner of the key. It does no I/O.
class RequestDesk
{
public:
  RequestDesk(RequestDeskSettings aSettings,
              const ServerDirectory& aDirectory,
              RequestActions& aActions,
              PermitSource& aPermits,
              EventSink& aEvents);

  // aNow is when the request was read whole.
  void OnRequest(Instant aNow, RoutedRequest aRequest);
  void OnAttemptEnded(Instant aNow, AttemptNumber aAttempt, const AttemptOutcome& aOutcome);
  // The client has left; what may be repeated is taken back.
  void OnClientGone(Instant aNow, RequestNumber aRequest);
  // Does what is due.
  void OnTime(Instant aNow);
  // When OnTime has something to do next.
  std::optional<Instant> NextTime() const;

  // What became of an ask for a permit.
  void OnPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer);
  void OnPermitDelayed(Instant aNow, AttemptNumber aNumber);
  void OnPermitDenied(Instant aNow, AttemptNumber aNumber, Duration aWait);
  void OnPermitRequestLost(Instant aNow, AttemptNumber aNumber);

  void SetRoutes(Instant aNow, std::shared_ptr<const RouteTable> aRoutes);
  void SetOwnership(Instant aNow, KeyOwnership aOwnership);
  // To be called after each change of the directory.
  void OnDirectoryChanged(Instant aNow);
  void SetRetryTerms(const RetryBudgetTerms& aTerms);
  // Until when API keys may be honoured by the present routes; without a call, for ever.
  void SetApiKeysProvenUntil(Instant aUntil) { apiKeysUntil_ = aUntil; }
  // Without a call, groups have no limits. The gate must outlive the desk.
  void SetGroupGate(GroupGate& aGate) { gate_ = &aGate; }
  // Whether changes of owners are no longer heard of.
  void SetNewsStale(bool aIsStale) { isNewsStale_ = aIsStale; }
  // How many instances share the servers.
  void SetInstances(std::size_t aInstances) { instances_ = aInstances; }

  const RequestTally& Tally() const { return tally_; }
  std::size_t UnderWay() const { return pending_.size(); }
  std::size_t Waiting() const;
  // What a server did for this instance since the last call.
  ServerWork TakeWorkOf(const std::string& aServer);

private:
  // What the choice of a server came to.
  enum class Choice
  {
    Found,
    // The service has no server that stays.
    NoServer,
    // The key has no owner that certainly holds it.
    NoOwner,
    // Each server that may get the request has as much as it can take.
    NoCapacity,
  };

  static RefusalReason ObstacleOf(Choice aChoice);
  // Finds the route and the group of a request, and whether its caller may use the route;
  // otherwise refuses it.
  bool TryIdentify(Instant aNow, PendingRequest& aPending);
  // Whether the limit of its group lets the request on; otherwise refuses it.
  bool TryPassGate(Instant aNow, PendingRequest& aPending);
  // Refuses a request because of who its caller is.
  void Bar(Instant aNow, PendingRequest& aPending, RefusalReason aReason);
  // Why that caller may not use that route, which may be null for none; no value when it may.
  std::optional<RefusalReason> BarOf(Instant aNow,
                                     const Route* aRoute,
                                     const CallerGroup* aGroup) const;
  // Whether the API key of the request, if it needs one, may be honoured now.
  bool IsApiKeyProven(Instant aNow, const PendingRequest& aPending) const;
  // Refuses what waits under API keys that the present routes do not know.
  void RefuseRevoked(Instant aNow);
  // Finds what a request is to be sent to, and sends it or lets it wait.
  void Admit(Instant aNow, PendingRequest& aPending);
  // Admits what came before any configuration.
  void AdmitUnrouted(Instant aNow);
  // Drops what was learnt of routes that are there no more.
  void ForgetFormerRoutes();
  ServiceState& StateOf(const std::string& aService);
  // How many instances share the servers; a guess while that is not known.
  std::size_t Sharers() const;
  // What is known of a server's load, with the limits that hold now.
  ServerLoad& LoadOf(const ServerRecord& aRecord, const RoutedService& aService);
  // The service that gets a request of this route, by the weights of its targets.
  const std::string& ChooseTarget(const Route& aRoute);
  // Sends the request if a server can take it now, or asks for a permit.
  bool TrySend(Instant aNow, PendingRequest& aPending);
  // As TrySend, by what this instance knows alone.
  bool TrySendAlone(Instant aNow, PendingRequest& aPending);
  // Asks for a permit if a dispatcher is there, and a key has an owner.
  bool TryAsk(Instant aNow, PendingRequest& aPending);
  // The request that waits for a permit, which it waits for no more; null when none does.
  PendingRequest* TakeAsk(AttemptNumber aNumber);
  // Withdraws the ask of the request, if it has one.
  void DropAsk(PendingRequest& aPending);
  // Whether a server may get the request that the dispatcher chose, as this instance sees it.
  std::optional<ServerCandidate> PermittedServer(Instant aNow,
                                                 PendingRequest& aPending,
                                                 const std::string& aServer);
  // Tells the dispatcher that a permit is not used, and what it cannot know of the server: it
  // may not have been the dispatcher when the server said that.
  SendEnd GivenBackPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer) const;
  // The dispatcher does not answer in time.
  void OnAskDue(Instant aNow, PendingRequest& aPending);
  // What a server is told of the time that is left; no value when a send is of no use.
  static std::optional<Duration> TimeToSend(Instant aNow, const PendingRequest& aPending);
  void SendTo(Instant aNow,
              PendingRequest& aPending,
              const ServerCandidate& aServer,
              AttemptNumber aAttempt,
              Duration aTimeLeft);
  // Who gets a request now; aChosen is set when the choice is Found.
  Choice ChooseServer(Instant aNow, PendingRequest& aPending, ServerCandidate& aChosen);
  // Learns how long the moves took that have come to their end.
  void NoteMoves(Instant aNow, const KeyOwnership& aOwnership);
  // Whether a range is between two owners, as far as this instance can tell.
  bool IsMoving(Instant aNow, const std::string& aService, const KeyRange& aRange) const;
  Choice ChooseOwner(Instant aNow, PendingRequest& aPending, ServerCandidate& aChosen);
  Choice ChooseAny(Instant aNow, const PendingRequest& aPending, ServerCandidate& aChosen);
  // How unwelcome a server is: the expected latency of one more request there.
  double CostOf(Instant aNow, const ServerCandidate& aCandidate, Duration aDefault) const;
  // The better of the chosen one, if any, and two that are drawn at random.
  void DrawBetter(Instant aNow,
                  const std::vector<ServerCandidate>& aServers,
                  Duration aDefault,
                  std::optional<ServerCandidate>& aChosen);
  // Queues the request until it can be sent or is refused; refuses it at once when it
  // will not be served while that is worth waiting for.
  void WaitOrRefuse(Instant aNow, PendingRequest& aPending);
  void Queue(Instant aNow, PendingRequest& aPending);
  // How much longer all servers that may have the request want rest; zero when one does
  // not, or there is none.
  Duration RestLeft(Instant aNow, PendingRequest& aPending);
  // As RestLeft, and without a dispatcher also by the rates that the servers take.
  Duration PauseLeft(Instant aNow, PendingRequest& aPending);
  // The least that the function gives of the servers that may have the request; zero when
  // there is none.
  Duration LeastOfServers(Instant aNow,
                          PendingRequest& aPending,
                          const std::function<Duration(const ServerLoad&)>& aTimeOf);
  // How long the request is expected to wait until it can be sent; no value when
  // nothing tells.
  std::optional<Duration> ExpectedWait(Instant aNow, PendingRequest& aPending);
  std::optional<Duration> ExpectedWaitForOwner(Instant aNow, const PendingRequest& aPending);
  // For how long a range has been moving, or should have been since its owner leaves. The
  // owner may be null.
  Duration WaitingForMove(Instant aNow,
                          const std::string& aService,
                          const KeyRange& aRange,
                          const ServerRecord* aOwner) const;
  std::optional<Duration> ExpectedWaitForAny(Instant aNow, const PendingRequest& aPending);
  // How long it takes to hear of servers and owners of which nothing is known yet; no
  // value when they would have been heard of by now.
  std::optional<Duration> ExpectedLearning(Instant aNow) const;
  // What a server takes from the send to its answer.
  Duration ExpectedLatency(const PendingRequest& aPending);
  // Requests that wait for the same server, or service without keys, and go first.
  std::size_t WaitingAhead(const PendingRequest& aPending);
  void LeaveQueue(const PendingRequest& aPending);
  // Sends what waits for a service and can be sent now.
  void Pump(Instant aNow, const std::string& aService);
  // Notes for how long a server wants nothing from this instance, if it said so.
  void NoteRest(Instant aNow,
                const PendingRequest& aPending,
                const AttemptOutcome& aOutcome,
                ServerLoad& aLoad);
  // Notes how many requests a second a server takes from all, if it said so.
  void NoteRateLimit(Instant aNow,
                     const PendingRequest& aPending,
                     const AttemptOutcome& aOutcome,
                     ServerLoad& aLoad);
  // What happens to a request whose attempt has ended.
  void SettleAttempt(Instant aNow, PendingRequest& aPending, const AttemptOutcome& aOutcome);
  void Retry(Instant aNow, PendingRequest& aPending, const AttemptOutcome& aOutcome);
  // Takes from the retry budget when it says yes.
  bool TryTakeRetry(Instant aNow, PendingRequest& aPending, const AttemptOutcome& aOutcome);
  void RefuseWaiting(Instant aNow, PendingRequest& aPending);
  // Ends a request whose send is under way at its time limit.
  void GiveUp(Instant aNow, PendingRequest& aPending);
  void Refuse(Instant aNow, PendingRequest& aPending, RefusalReason aReason);
  // When a refused client should come back.
  Duration RetryAfterOf(Instant aNow, PendingRequest& aPending);
  // Forgets the request.
  void Finish(RequestNumber aRequest);
  // Instant::max() for no timer.
  void SetTimer(PendingRequest& aPending, Instant aTime);
  // Reads anew from the directory which servers a service has.
  void RefreshServers(Instant aNow, ServiceState& aState, const RoutedService& aService);
  // Holds the sends of this instance to its part of what a server takes that starts slowly.
  void BoundSlowStart(Instant aNow,
                      const ServerRecord& aRecord,
                      const RoutedService& aService,
                      ServerLoad& aLoad);

  RequestDeskSettings settings_;
  const ServerDirectory& directory_;
  RequestActions& actions_;
  PermitSource& permits_;
  EventSink& events_;
  OpenGate openGate_;
  GroupGate* gate_ = &openGate_;
  Instant apiKeysUntil_ = Instant::max();
  std::shared_ptr<const RouteTable> routes_;
  // When the first configuration came.
  Instant firstRoutesAt_{ 0 };
  std::map<std::string, KeyOwnership, std::less<>> ownership_;
  // Since when each range that is moving was known to, by service and fence.
  std::map<std::pair<std::string, FenceNumber>, Instant> movingSince_;
  // By service.
  std::map<std::string, MoveTimes, std::less<>> moveTimes_;
  // By server, or by service when no server is waited for.
  std::map<std::string, ShortageSpell, std::less<>> spells_;
  // By the name of the route.
  std::map<std::string, CallerPatience, std::less<>> patience_;
  std::map<std::string, ServiceState, std::less<>> services_;
  std::map<std::string, ServerLoad, std::less<>> loads_;
  std::unordered_map<RequestNumber, PendingRequest> pending_;
  std::unordered_map<AttemptNumber, RequestNumber> attempts_;
  // Requests that wait for permits.
  std::unordered_map<AttemptNumber, RequestNumber> asks_;
  std::set<std::pair<Instant, RequestNumber>> timers_;
  // The credits of each route's targets, by host and prefix.
  std::map<std::string, std::vector<double>, std::less<>> credits_;
  RequestTally tally_;
  std::minstd_rand random_;
  AttemptNumber lastAttempt_ = 0;
  std::size_t instances_ = 0;
  bool isNewsStale_ = false;
};

} // namespace latchslip
