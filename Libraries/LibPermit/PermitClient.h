#pragma once

#include "LibBase/Event.h"
#include "LibGateway/PermitSource.h"
#include "LibPermit/DispatcherAssignment.h"
#include "LibPermit/FirstAnswerMonitor.h"

#include <map>
#include <string>
#include <vector>

namespace latchslip {

// Interface through which a PermitClient sends its messages and opens and closes its links.
class PermitClientActions
{
public:
  virtual ~PermitClientActions() = default;

  // Sends a message over the open link to that dispatcher.
  virtual void Send(const std::string& aDispatcher, const MessageToDispatcher& aMessage) = 0;
  // Opens a link; completes in OnLinkUp or OnLinkDown.
  virtual void Connect(const std::string& aDispatcher) = 0;
  // Closes the link without a callback.
  virtual void Disconnect(const std::string& aDispatcher) = 0;
};

// Receives the outcome of permit requests.
class PermitListener
{
public:
  virtual ~PermitListener() = default;

  // The request may be sent to aServer now.
  virtual void OnPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer) = 0;
  // The request is queued at the dispatcher; a permit or a denial follows.
  virtual void OnPermitDelayed(Instant aNow, AttemptNumber aNumber) = 0;
  // No permit will be issued in time; aWait is the expected time until a server has capacity.
  // aIsPromised tells whether the dispatcher reserves capacity for a return after aWait.
  virtual void OnPermitDenied(Instant aNow,
                              AttemptNumber aNumber,
                              Duration aWait,
                              bool aIsPromised) = 0;
  // The dispatcher was lost. The permit must be requested again, or the request sent without one.
  virtual void OnPermitRequestLost(Instant aNow, AttemptNumber aNumber) = 0;
  // The request must not be sent to any server for some time.
  virtual void OnQuarantine(Instant aNow, RequestFingerprint aFingerprint) = 0;
};

// Requests permits from the dispatchers of services on behalf of one instance. It follows which
// instance is the dispatcher of each shard of a service, reports outstanding sends to a new
// dispatcher, and fails over when a dispatcher does not answer. While a shard has no reachable
// dispatcher, the instance chooses servers from its local knowledge. Performs no I/O.
class PermitClient : public PermitSource
{
public:
  PermitClient(PermitClientActions& aActions, EventSink& aEvents);

  void SetListener(PermitListener& aListener) { listener_ = &aListener; }
  // Sets the instances of the fleet by address.
  void SetPeers(Instant aNow, const std::map<std::string, FleetPeer>& aPeers);
  // Sets the services that have a dispatcher.
  void SetServices(Instant aNow, std::vector<std::string> aServices);
  // Whether this instance complains to dispatchers with late answers, and respects their
  // resignations.
  void SetLoadManagement(bool aIsUsed) { usesLoadManagement_ = aIsUsed; }
  // Sets the number of dispatchers of the services with shards; all others have one.
  void SetDispatcherCounts(Instant aNow, DispatcherCounts aCounts);

  void OnLinkUp(Instant aNow, const std::string& aDispatcher);
  void OnLinkDown(Instant aNow, const std::string& aDispatcher);
  void OnMessage(Instant aNow,
                 const std::string& aDispatcher,
                 const MessageFromDispatcher& aMessage);
  // Probes dispatchers that do not answer and fails over. To be called periodically.
  void OnTime(Instant aNow);

  bool CanRequestPermit(const std::string& aService, const std::string& aServer) const override;
  Duration RemainingQuarantine(Instant aNow, RequestFingerprint aFingerprint) const override
  {
    return suspects_.RemainingQuarantine(aNow, aFingerprint);
  }
  void RequestPermit(Instant aNow, const PermitRequest& aRequest) override;
  void Withdraw(AttemptNumber aNumber) override;
  void OnPermitTimeout(Instant aNow,
                       const std::string& aService,
                       const std::string& aServer) override;
  void ReportSend(Instant aNow, const SendNotice& aNotice) override;
  void ReportSendEnd(const SendEnd& aEnd) override;

private:
  // A shard of a service.
  using ShardKey = std::pair<std::string, ShardNumber>;

  enum class LinkState
  {
    Down,
    Connecting,
    Up,
  };

  // State of the link to one dispatcher.
  struct Link
  {
    LinkState state_ = LinkState::Down;
    // Start of the period without an answer; Instant::max() when the dispatcher answers.
    Instant unansweredSince_ = Instant::max();
    // The dispatcher is not selected before this time.
    Instant failedUntil_ = Instant::min();
    Instant nextProbe_ = Instant::min();
    FirstAnswerMonitor firstAnswers_;
    Instant nextComplaint_ = Instant::min();
    // The dispatcher has resigned its shards until then.
    Instant resignedUntil_ = Instant::min();
  };

  // An outstanding send, as it is reported to a new dispatcher.
  struct RunningSend
  {
    ShardKey shard_;
    std::string server_;
    Instant sentAt_{ 0 };
    Instant deadline_{ 0 };
    RequestFingerprint fingerprint_ = kNoFingerprint;
  };

  struct OpenRequest
  {
    ShardKey shard_;
    // The server that must get the request; empty if any may.
    std::string server_;
    Instant deadline_{ 0 };
    RequestFingerprint fingerprint_ = kNoFingerprint;
  };

  // Recomputes the candidates of each shard and selects dispatchers.
  void UpdateCandidates(Instant aNow);
  void SelectDispatchers(Instant aNow);
  // All shards of all services.
  std::vector<ShardKey> Shards() const;
  ShardNumber ShardCountOf(const std::string& aService) const;
  // The shard of a server of the service; shard 0 if aServer is empty.
  ShardKey ShardOf(const std::string& aService, const std::string& aServer) const;
  // Moves the shard to another dispatcher, or to none if aNext is empty.
  void MoveShard(Instant aNow, const ShardKey& aShard, const std::string& aNext);
  // Assigns open requests and sends under way to the shards that their services have now.
  void AssignShardsAgain();
  // The candidates for the shard that have not failed recently, in order of preference.
  std::vector<std::string> AvailableCandidates(Instant aNow, const ShardKey& aShard) const;
  // Those of the candidates that have not failed recently, whether or not they have resigned.
  std::vector<std::string> UnfailedCandidates(Instant aNow,
                                              const std::vector<std::string>& aCandidates) const;
  // Whether the dispatcher, which is the candidate with that index, is passed over: it failed
  // recently, or has resigned. A resignation holds for the first two candidates only, and only if
  // another one follows, so that there is always one.
  bool IsPassedOver(Instant aNow, const Link& aLink, std::size_t aIndex, std::size_t aCount) const;
  // Complains to a dispatcher with late answers, once a second at most.
  void Complain(Instant aNow, const std::string& aDispatcher, Link& aLink);
  // Opens a link to the dispatcher unless there is one.
  void ConnectTo(const std::string& aDispatcher);
  // The selected dispatcher of the shard, if its link is up; otherwise empty.
  std::string ReachableDispatcher(const ShardKey& aShard) const;
  bool IsUp(const std::string& aDispatcher) const;
  // Marks the link as down and excludes the dispatcher for a while.
  static void MarkFailed(Instant aNow, Link& aLink);
  void ReportRunning(Instant aNow, const ShardKey& aShard);
  // Tells a dispatcher of the crashes and quarantines that this instance knows.
  void ReportSuspects(Instant aNow, const std::string& aDispatcher);
  // Learns of crashes from the end of a send of this instance.
  void TrackCrashes(const RunningSend& aSend, const SendEnd& aEnd);
  // Tells the dispatchers of the service's other shards of a crash, since the request may reach
  // servers of several shards.
  void ReportCrashToOthers(const RunningSend& aSend, const SendEnd& aEnd);
  void ApplyQuarantines(Instant aNow, const CrashSuspects::Changes& aChanges);
  // Ends the open requests of the shard. Those of a service with shards are withdrawn from the
  // former dispatcher if it is reachable.
  void DropRequests(Instant aNow, const ShardKey& aShard, const std::string& aFormer);
  void SendToDispatcher(const ShardKey& aShard, const MessageToDispatcher& aMessage);

  PermitClientActions& actions_;
  EventSink& events_;
  PermitListener* listener_ = nullptr;
  std::map<std::string, FleetPeer> peers_;
  std::vector<std::string> services_;
  bool usesLoadManagement_ = false;
  DispatcherCounts counts_;
  DispatcherAssignment assignment_;
  // The selected dispatcher by shard.
  std::map<ShardKey, std::string> dispatchers_;
  std::map<std::string, Link> links_;
  std::map<AttemptNumber, OpenRequest> requests_;
  std::map<AttemptNumber, RunningSend> running_;
  // The crashes that this instance saw, and the quarantines that it was told of.
  CrashSuspects suspects_;
};

} // namespace latchslip
