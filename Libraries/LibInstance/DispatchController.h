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

// Runs requests on the backend servers that this instance holds. A request passes admission
// control, a durable claim of its request id if it must run at most once, and the weighted
// fair queue of its server; then it is dispatched under the server's grant. Reports the load
// and the grant state of each server to the placer. Every submitted request is answered
// exactly once through the answer function.
//
// Does no I/O: actions go out through the outbox, and InstanceCore passes their outcomes to
// the On...() functions.
class DispatchController
{
public:
  using AnswerFunction = std::function<void(Instant, const ReplyTo&, const WorkAnswer&)>;
  using ReportFunction = HolderReporter::ReportFunction;

  DispatchController(InstanceContext aContext, AnswerFunction aAnswer, ReportFunction aReport);

  // Accepts a request of this instance's callers or one that a peer forwarded. aReplyTo
  // identifies the receiver of its answer.
  void Submit(Instant aNow, const WorkRequest& aRequest, const ReplyTo& aReplyTo);
  // Cancels a request whose caller has gone away or whose deadline has passed. A request that
  // is still waiting is answered NotRun; one that is running is answered Unknown and
  // cancelled at the server.
  void Cancel(Instant aNow, const ReplyTo& aReplyTo);

  void Tick(Instant aNow);
  // Starts to hold the servers that the view assigns to this instance, and begins to release
  // those that it assigns to others. Called after each change of the view.
  void ApplyView(Instant aNow);

  void OnWorkReply(Instant aNow, WorkId aId, const WorkReply& aReply);
  void OnGrantReply(Instant aNow, CallTag aTag, const GrantReply& aReply);
  void OnConnectionRefused(Instant aNow, CallTag aTag);
  // Returns false if the tag belongs to another component.
  bool OnStoreReply(Instant aNow, CallTag aTag, const StoreReply& aReply);
  // The placer has decided that a server whose grants are withheld keeps its slices; grants
  // may be given again.
  void OnResume(const ResumeCommand& aCommand);

  // Whether this instance holds no server any more and all its work has ended.
  bool IsIdle() const { return held_.empty(); }
  std::size_t HeldCount() const { return held_.size(); }
  const std::map<std::string, std::unique_ptr<HeldServer>>& Held() const { return held_; }

private:
  // A grant command that has been sent and not been answered yet.
  struct SentGrant
  {
    std::string key_;
    Instant sentAt_;
    GrantCommand command_;
  };

  // Removes and returns the grant command that was sent under a tag. Each is answered at most
  // once.
  std::optional<SentGrant> TakeSentGrant(CallTag aTag);
  static std::string HeldKey(std::string_view aService, std::string_view aServer);
  // Returns the held server that owns the key, or nullptr and the reason why it cannot be
  // used.
  HeldServer* FindHeldFor(const WorkRequest& aRequest, KeyHash aHash, Reason& aReason);
  // Returns None if the work may be queued now, else the reason; aRetryAfter is set on
  // refusals.
  Reason CheckAdmission(Instant aNow,
                        HeldServer& aHeld,
                        const HeldWork& aWork,
                        Duration& aRetryAfter);
  void Enqueue(Instant aNow, HeldServer& aHeld, WorkId aId);
  // Rejects expired requests and starts queued ones while slots are free.
  void DispatchQueued(Instant aNow, HeldServer& aHeld);
  void Dispatch(Instant aNow, HeldServer& aHeld, HeldWork& aWork);
  void Answer(Instant aNow, HeldWork& aWork, const WorkAnswer& aLastAnswer);
  void RecordLoad(HeldServer& aHeld, const HeldWork& aWork, Duration aBusy);
  void Drop(HeldServer& aHeld, WorkId aId);
  // Retries repeatable work after its connection broke, within the retry budget. Returns
  // false if it must not be retried.
  bool TryRetry(Instant aNow, HeldServer& aHeld, HeldWork& aWork);
  void Abandon(Instant aNow, HeldWork& aWork);
  void RejectWaiting(Instant aNow, HeldServer& aHeld, Reason aReason);
  // Frees the slots of abandoned work after the server has answered a command that was sent at
  // aCommandSentAt.
  void FreeAbandonedSlots(HeldServer& aHeld, Instant aCommandSentAt);
  // Sends the next call of the claim registry, unless one is in flight.
  void SendNextClaimCall(Instant aNow);
  // Removes the servers that are stopping and have no work left, and reports that to the
  // placers.
  void RemoveStopped(Instant aNow);
  bool IsHolderInView(const HeldServer& aHeld) const;

  InstanceContext context_;
  AnswerFunction answer_;
  HolderReporter reporter_;
  ClaimRegistry claims_;
  std::map<std::string, std::unique_ptr<HeldServer>> held_;
  std::map<WorkId, std::string> serverKeyByWork_;
  std::map<ReplyTo, WorkId> workByReplyTo_;
  std::map<CallTag, SentGrant> sentGrants_;
  CallTag claimTag_ = 0;
};

// Returns the next id for calls and for work, unique within this process.
std::uint64_t
NextTag();

} // namespace latchslip
