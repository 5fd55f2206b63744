#pragma once

#include "LibInstance/DispatchDesk.h"
#include "LibInstance/EntryDesk.h"
#include "LibInstance/InstanceContext.h"
#include "LibInstance/OperatorDesk.h"
#include "LibInstance/PlacerDesk.h"

#include <string>

namespace latchslip {

// All decisions of one entry instance: events and a clock in, actions out
// through the outbox. It does no I/O, reads no clock and starts no thread, so
// tests and the daemon run exactly the same code.
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

  // To be called every few milliseconds.
  void Tick(Instant aNow);

  void OnInstanceList(Instant aNow, std::vector<ListedInstance> aList);
  void OnPeerUp(Instant aNow, const InstanceId& aPeer, std::string_view aHall);
  void OnPeerDown(Instant aNow, const InstanceId& aPeer);
  void OnPeerMessage(Instant aNow, const InstanceId& aFrom, const PeerMessage& aMessage);

  void OnCaller(Instant aNow, CallerId aCaller, const WorkRequest& aRequest);
  void OnCallerGone(Instant aNow, CallerId aCaller) { entry_.OnCallerGone(aNow, aCaller); }

  void OnStoreReply(Instant aNow, CallTag aTag, const StoreReply& aReply);
  void OnGrantReply(Instant aNow, CallTag aTag, const GrantReply& aReply);
  // The server's host answered that nothing listens there: the process is gone.
  void OnConnectionRefused(Instant aNow, CallTag aTag)
  {
    dispatch_.OnConnectionRefused(aNow, aTag);
  }
  void OnWorkReply(Instant aNow, WorkId aId, const WorkReply& aReply);

  void OnPlan(Instant aNow, OperatorId aOperator, const std::string& aDeclaration);
  void OnConfirm(Instant aNow, OperatorId aOperator, const std::string& aPlan);

  // Begins a planned stop: peers take over what this instance holds, and what
  // it has begun is finished.
  void BeginLeaving(Instant aNow);
  bool IsLeaving() const { return membership_.IsLeaving(); }
  // Whether a leaving instance may stop without cutting anything.
  bool MayStop() const;

  bool IsViewFresh(Instant aNow) const;
  // A JSON document for operators.
  std::string DescribeStatus(Instant aNow) const;
  const View& CurrentView() const { return view_; }
  const Membership& Members() const { return membership_; }
  const DispatchDesk& Dispatch() const { return dispatch_; }
  const EntryDesk& Callers() const { return entry_; }

private:
  InstanceContext MakeContext();
  void SendHeartbeats(Instant aNow);
  void PollStore(Instant aNow);
  void OnPollReply(Instant aNow, const StoreReply& aReply);
  void InstallAndSpread(Instant aNow, const Row& aRow);
  bool Install(const Row& aRow);
  // Tells the instance that confirmed the standing configuration, if it is this
  // peer, that the configuration is in force here.
  void TellInForce(const InstanceId& aPeer);
  void Broadcast(const PeerMessage& aMessage);
  void SendReport(Instant aNow, const ServerReport& aReport);
  void DeliverAnswer(Instant aNow, const ReplyTo& aReplyTo, const WorkAnswer& aAnswer);

  void Handle(Instant aNow, const InstanceId& aFrom, const Heartbeat& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const Suspicion& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ViewStamps& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ViewRows& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const InForce& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ForwardedRequest& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ForwardedAnswer& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ForwardedCancel& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ServerReport& aMessage);
  void Handle(Instant aNow, const InstanceId& aFrom, const ResumeOrder& aMessage);

  InstanceTiming timing_;
  Outbox& outbox_;
  EventSink& events_;
  View view_;
  Membership membership_;
  DispatchDesk dispatch_;
  EntryDesk entry_;
  PlacerDesk placers_;
  OperatorDesk operators_;

  // When the view was last known to be the newest there is.
  Instant viewAsOf_{ 0 };
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
