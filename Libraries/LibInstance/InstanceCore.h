#pragma once

#include "LibInstance/DispatchController.h"
#include "LibInstance/InstanceContext.h"
#include "LibInstance/PlacementController.h"
#include "LibInstance/PlanController.h"
#include "LibInstance/RequestRouter.h"

#include <string>

namespace latchslip {

// The decision logic of an entry instance: routing, dispatch, placement, membership and
// configuration. Deterministic: input events and the time are passed in, actions go out
// through the outbox. It does no I/O, reads no clock and starts no thread, so that the
// simulation tests and the daemon run the same code.
class InstanceCore
{
public:
  InstanceCore(InstanceId aSelf,
               std::string aHall,
               InstanceTiming aTiming,
               Outbox& aOutbox,
               EventSink& aEvents);
  InstanceCore(const InstanceCore&) = delete;
  InstanceCore& operator=(const InstanceCore&) = delete;

  // Runs all timers. Called every few milliseconds.
  void Tick(Instant aNow);

  void OnInstanceList(Instant aNow, std::vector<ListedInstance> aList);
  void OnPeerUp(Instant aNow, const InstanceId& aPeer, std::string_view aHall);
  void OnPeerDown(Instant aNow, const InstanceId& aPeer);
  void OnPeerMessage(Instant aNow, const InstanceId& aFrom, const PeerMessage& aMessage);

  void OnCaller(Instant aNow, CallerId aCaller, const WorkRequest& aRequest);
  void OnCallerGone(Instant aNow, CallerId aCaller) { entry_.OnCallerGone(aNow, aCaller); }

  void OnStoreReply(Instant aNow, CallTag aTag, const StoreReply& aReply);
  void OnGrantReply(Instant aNow, CallTag aTag, const GrantReply& aReply);
  // The server's host refused the connection: no process is listening there.
  void OnConnectionRefused(Instant aNow, CallTag aTag)
  {
    dispatch_.OnConnectionRefused(aNow, aTag);
  }
  void OnWorkReply(Instant aNow, WorkId aId, const WorkReply& aReply);

  void OnPlan(Instant aNow, OperatorId aOperator, const std::string& aDeclaration);
  void OnConfirm(Instant aNow, OperatorId aOperator, const std::string& aPlan);

  // Starts a graceful shutdown: peers take over the servers that this instance holds, and
  // requests in progress are finished.
  void BeginLeaving(Instant aNow);
  bool IsLeaving() const { return membership_.IsLeaving(); }
  // Whether a leaving instance may exit without cutting off a request.
  bool MayStop() const;

  // Whether the view is recent enough to serve from: confirmed within maxViewAge_, or backed
  // by a majority of the instances.
  bool IsViewFresh(Instant aNow) const;
  // Returns the status document for operators as JSON.
  std::string DescribeStatus(Instant aNow) const;
  const View& CurrentView() const { return view_; }
  const Membership& Members() const { return membership_; }
  const DispatchController& Dispatch() const { return dispatch_; }
  const RequestRouter& Callers() const { return entry_; }

private:
  InstanceContext MakeContext();
  void SendHeartbeats(Instant aNow);
  void PollStore(Instant aNow);
  void OnPollReply(Instant aNow, const StoreReply& aReply);
  // Installs a row that was just committed and broadcasts it to the peers.
  void InstallAndBroadcast(Instant aNow, const Row& aRow);
  bool Install(const Row& aRow);
  // Reports to the peer, if the configuration in force was confirmed through it, that this
  // instance has applied the configuration.
  void AcknowledgeConfiguration(const InstanceId& aPeer);
  // Sends a message to every peer that has a known id.
  void Broadcast(const PeerMessage& aMessage);
  void SendReport(Instant aNow, const ServerReport& aReport);
  void DeliverAnswer(Instant aNow, const ReplyTo& aReplyTo, const WorkAnswer& aAnswer);

  void Handle(Instant aNow, const InstanceId& aFrom, const Heartbeat& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const Suspicion& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ViewStamps& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ViewRows& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ConfigurationApplied& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ForwardedRequest& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ForwardedAnswer& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ForwardedCancel& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ServerReport& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ResumeCommand& aMessage);

  InstanceTiming timing_;
  Outbox& outbox_;
  EventSink& events_;
  View view_;
  Membership membership_;
  DispatchController dispatch_;
  RequestRouter entry_;
  PlacementController placers_;
  PlanController operators_;

  // When the view was last known to be up to date.
  Instant viewConfirmedAt_{ 0 };
  bool hasView_ = false;
  bool wasFresh_ = false;
  Instant heartbeatAt_{ 0 };
  Instant wideHeartbeatAt_{ 0 };
  Instant polledAt_{ 0 };
  CallTag pollTag_ = 0;
  Instant pollSentAt_{ 0 };
  bool isStoreDown_ = false;
};

} // namespace latchslip
