#pragma once

#include "LibInstance/HeldServer.h"
#include "LibInstance/HolderReporter.h"
#include "LibInstance/InstanceContext.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace latchslip {

// Serves requests for the servers that this instance holds: claims, queues,
// dispatches, and reports to the placers. Every request that is submitted is
// answered exactly once through the answer function.
class DispatchDesk
{
public:
  using AnswerFunction = std::function<void(Instant, const ReplyTo&, const WorkAnswer&)>;
  using ReportFunction = HolderReporter::ReportFunction;

  DispatchDesk(InstanceContext aContext, AnswerFunction aAnswer, ReportFunction aReport);

  void Submit(Instant aNow, const WorkRequest& aRequest, const ReplyTo& aReplyTo);
  // The one who waits gives up: what has not started is taken back.
  void Cancel(Instant aNow, const ReplyTo& aReplyTo);

  void Tick(Instant aNow);
  // Takes on and lets go of servers as the view says.
  void FollowView(Instant aNow);

  void OnWorkReply(Instant aNow, WorkId aId, const WorkReply& aReply);
  void OnGrantReply(Instant aNow, CallTag aTag, const GrantReply& aReply);
  void OnConnectionRefused(Instant aNow, CallTag aTag);
  // False when the tag belongs to another part of the instance.
  bool OnStoreReply(Instant aNow, CallTag aTag, const StoreReply& aReply);
  void OnResume(const ResumeOrder& aOrder);

  // Whether every server was let go of and all work has ended.
  bool IsIdle() const { return held_.empty(); }
  std::size_t HeldCount() const { return held_.size(); }
  const std::map<std::string, std::unique_ptr<HeldServer>>& Held() const { return held_; }

private:
  struct Order
  {
    std::string key_;
    Instant sentAt_;
    GrantOrder order_;
  };

  // The grant order that a tag stands for; each is answered once.
  std::optional<Order> TakeOrder(CallTag aTag);
  static std::string HeldKey(std::string_view aService, std::string_view aServer);
  HeldServer* FindHeldFor(const WorkRequest& aRequest, KeyHash aHash, Reason& aReason);
  Reason CheckAdmission(Instant aNow,
                        HeldServer& aHeld,
                        const HeldWork& aWork,
                        Duration& aRetryAfter);
  void Enqueue(Instant aNow, HeldServer& aHeld, WorkId aId);
  void Pump(Instant aNow, HeldServer& aHeld);
  void Dispatch(Instant aNow, HeldServer& aHeld, HeldWork& aWork);
  void Answer(Instant aNow, HeldWork& aWork, const WorkAnswer& aLast);
  void Measure(HeldServer& aHeld, const HeldWork& aWork, Duration aBusy);
  void Drop(HeldServer& aHeld, WorkId aId);
  bool TryAgain(Instant aNow, HeldServer& aHeld, HeldWork& aWork);
  void Abandon(Instant aNow, HeldWork& aWork);
  void TurnAwayWaiting(Instant aNow, HeldServer& aHeld, Reason aReason);
  void SettleAbandoned(HeldServer& aHeld, Instant aOrderSentAt);
  void PumpClaims(Instant aNow);
  void LetGo(Instant aNow);
  bool IsHolderInView(const HeldServer& aHeld) const;

  InstanceContext context_;
  AnswerFunction answer_;
  HolderReporter reporter_;
  ClaimBook claims_;
  std::map<std::string, std::unique_ptr<HeldServer>> held_;
  std::map<WorkId, std::string> heldOfWork_;
  std::map<ReplyTo, WorkId> workOfReply_;
  std::map<CallTag, Order> orders_;
  CallTag claimTag_ = 0;
};

// Tags and work ids are unique within one process.
std::uint64_t
NextTag();

} // namespace latchslip
