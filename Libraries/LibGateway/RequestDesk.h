#pragma once

#include "LibBase/Event.h"
#include "LibGateway/Messages.h"
#include "LibGateway/RetryBudget.h"
#include "LibGateway/RoutingTable.h"
#include "LibGateway/ServerDirectory.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <tuple>
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

  void SetRoutes(Instant aNow, std::shared_ptr<const RouteTable> aRoutes);
  void SetOwnership(Instant aNow, KeyOwnership aOwnership);
  // To be called after each change of the directory.
  void OnDirectoryChanged(Instant aNow);
  void SetRetryTerms(const RetryBudgetTerms& aTerms);
  // Whether changes of owners are no longer heard of.
  void SetNewsStale(bool aIsStale) { isNewsStale_ = aIsStale; }
  // How many instances share the servers.
  void SetInstances(std::size_t aInstances) { instances_ = aInstances; }

  std::size_t UnderWay() const { return pending_.size(); }
  std::size_t Waiting() const;
  // What a server's answers tell of its strength; zero when none was seen.
  Duration StrengthLatencyOf(const std::string& aServer) const;

private:
  struct Candidate
  {
    const ServerRecord* record_;
    ServerLoad* load_;
  };

  // The more urgent first, then those with less time left.
  struct QueuePlace
  {
    unsigned priority_;
    Instant deadline_;
    RequestNumber number_;
    bool operator<(const QueuePlace& aOther) const
    {
      return std::tie(priority_, deadline_, number_) <
             std::tie(aOther.priority_, aOther.deadline_, aOther.number_);
    }
  };

  struct ServiceState
  {
    explicit ServiceState(RetryBudgetTerms aTerms)
      : budget_(aTerms)
    {
    }
    std::vector<Candidate> servers_;
    RetryBudget budget_;
    std::set<QueuePlace> queue_;
  };

  struct Pending
  {
    RoutedRequest request_;
    std::shared_ptr<const RouteTable> routes_;
    const Route* route_ = nullptr;
    const RoutedService* service_ = nullptr;
    Instant arrival_{ 0 };
    Instant deadline_{ 0 };
    // Until when it may wait without having been sent.
    Instant refuseAt_{ 0 };
    // Until when it must wait before it is sent again.
    Instant notBefore_ = Instant::min();
    Instant timer_ = Instant::max();
    // The send under way; 0 when it waits.
    AttemptNumber attempt_ = 0;
    AttemptNumber lastAttempt_ = 0;
    std::string server_;
    unsigned sends_ = 0;
    // Sends after which the request may have run.
    unsigned runs_ = 0;
    std::vector<std::string> tried_;
    bool isGone_ = false;
    RefusalReason obstacle_ = RefusalReason::NoCapacity;
  };

  enum class Choice
  {
    Found,
    NoServer,
    NoOwner,
    NoCapacity,
  };

  ServiceState& StateOf(const std::string& aService);
  ServerLoad& LoadOf(const ServerRecord& aRecord, const RoutedService& aService);
  const std::string& ChooseTarget(const Route& aRoute);
  // Sends the request if a server can take it now.
  bool TrySend(Instant aNow, Pending& aPending);
  Choice ChooseServer(Instant aNow, const Pending& aPending, Candidate& aChosen);
  // Whether a range is between two owners, as far as this instance can tell.
  bool IsMoving(Instant aNow, const std::string& aService, const KeyRange& aRange) const;
  Choice ChooseOwner(Instant aNow, const Pending& aPending, Candidate& aChosen);
  Choice ChooseAny(Instant aNow, const Pending& aPending, Candidate& aChosen);
  double CostOf(Instant aNow, const Candidate& aCandidate, Duration aDefault) const;
  void Wait(Instant aNow, Pending& aPending);
  void LeaveQueue(const Pending& aPending);
  // Sends what waits for a service and can be sent now.
  void Pump(Instant aNow, const std::string& aService);
  void RetryOrRefuse(Instant aNow, Pending& aPending, const AttemptOutcome& aOutcome);
  bool MayRetry(Instant aNow, Pending& aPending, const AttemptOutcome& aOutcome);
  void RefuseWaiting(Instant aNow, Pending& aPending);
  void GiveUp(Instant aNow, Pending& aPending);
  void Refuse(Instant aNow, Pending& aPending, RefusalReason aReason);
  void Finish(RequestNumber aRequest);
  void SetTimer(Pending& aPending, Instant aTime);
  void RefreshServers(ServiceState& aState, const RoutedService& aService);

  RequestDeskSettings settings_;
  const ServerDirectory& directory_;
  RequestActions& actions_;
  EventSink& events_;
  std::shared_ptr<const RouteTable> routes_;
  std::map<std::string, KeyOwnership, std::less<>> ownership_;
  // Since when each range that is moving was known to, by service and fence.
  std::map<std::pair<std::string, FenceNumber>, Instant> movingSince_;
  std::map<std::string, ServiceState, std::less<>> services_;
  std::map<std::string, ServerLoad, std::less<>> loads_;
  std::unordered_map<RequestNumber, Pending> pending_;
  std::unordered_map<AttemptNumber, RequestNumber> attempts_;
  std::set<std::pair<Instant, RequestNumber>> timers_;
  // The credits of each route's targets, by host and prefix.
  std::map<std::string, std::vector<double>, std::less<>> credits_;
  std::minstd_rand random_;
  AttemptNumber lastAttempt_ = 0;
  std::size_t instances_ = 0;
  bool isNewsStale_ = false;
};

} // namespace latchslip
