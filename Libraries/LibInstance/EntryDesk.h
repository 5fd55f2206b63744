#pragma once

#include "LibInstance/DispatchDesk.h"
#include "LibInstance/InstanceContext.h"

#include <functional>
#include <map>
#include <string>

namespace latchslip {

// Serves the callers of this instance: finds the instance that holds the owner
// of the key, hands the request over, tries again while it is certain that
// nothing ran, and gives every caller exactly one answer.
class EntryDesk
{
public:
  // Hands a request to this instance's own dispatch desk.
  using SubmitFunction = std::function<void(Instant, const WorkRequest&, const ReplyTo&)>;
  using CancelFunction = std::function<void(Instant, const ReplyTo&)>;

  EntryDesk(InstanceContext aContext, SubmitFunction aSubmit, CancelFunction aCancel);

  // aIsFresh: whether this instance's view may be served from.
  void OnRequest(Instant aNow, CallerId aCaller, const WorkRequest& aRequest, bool aIsFresh);
  // The caller has gone away and wants no answer.
  void OnCallerGone(Instant aNow, CallerId aCaller);
  void OnWorkAnswer(Instant aNow, std::uint64_t aAttempt, const WorkAnswer& aAnswer);
  // The link to a peer broke: what was forwarded to it may or may not have run.
  void OnPeerDown(Instant aNow, const InstanceId& aPeer);
  void Tick(Instant aNow);

  bool IsIdle() const { return pending_.empty(); }
  std::size_t Pending() const { return pending_.size(); }

private:
  enum class Phase
  {
    // Waiting for its key to find an owner.
    Parked,
    Local,
    Forwarded,
  };
  struct PendingRequest
  {
    CallerId caller_ = 0;
    WorkRequest request_;
    Phase phase_ = Phase::Parked;
    InstanceId holder_;
    // Names the current attempt; an answer to an older one is ignored.
    std::uint64_t attempt_ = 0;
    unsigned attempts_ = 0;
    // An attempt ended without certainty, so "not run" may not be said any more.
    bool mayHaveRun_ = false;
    Instant arrivedAt_{ 0 };
    Instant retryAt_{ 0 };
  };
  using Entry = std::map<CallerId, PendingRequest>::iterator;

  Reason Validate(const WorkRequest& aRequest, bool aIsFresh) const;
  // The identity of the holder, or empty when the key has none now.
  InstanceId FindHolder(const WorkRequest& aRequest) const;
  void Route(Instant aNow, Entry aEntry);
  void Park(Instant aNow, Entry aEntry, const WorkAnswer& aWhy);
  void Finish(Entry aEntry, const WorkAnswer& aLast);
  void GiveUp(Instant aNow, Entry aEntry);
  static bool IsWorthRetrying(const WorkAnswer& aAnswer);

  InstanceContext context_;
  SubmitFunction submit_;
  CancelFunction cancel_;
  std::map<CallerId, PendingRequest> pending_;
  std::map<std::uint64_t, CallerId> callerOfAttempt_;
};

} // namespace latchslip
