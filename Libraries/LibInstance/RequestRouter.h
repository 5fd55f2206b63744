#pragma once

#include "LibInstance/DispatchController.h"
#include "LibInstance/InstanceContext.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace latchslip {

// Routes the requests of this instance's callers. Finds the instance that holds the server
// which owns the key, and runs the request there, locally or forwarded to a peer. Retries
// with exponential backoff if the refusal is transient and the request certainly did not run,
// or if the holder was lost and the request is repeatable. Every caller gets exactly one
// answer.
class RequestRouter
{
public:
  // Submits a request to the dispatcher of this instance.
  using SubmitFunction = std::function<void(Instant, const WorkRequest&, const ReplyTo&)>;
  using CancelFunction = std::function<void(Instant, const ReplyTo&)>;

  RequestRouter(InstanceContext aContext, SubmitFunction aSubmit, CancelFunction aCancel);

  // Accepts a request. aIsFresh tells whether this instance's view is recent enough to serve
  // from; if not, the request is refused.
  void OnRequest(Instant aNow, CallerId aCaller, const WorkRequest& aRequest, bool aIsFresh);
  // The caller has disconnected. Its request is cancelled where that is possible, and its
  // answer is discarded by the outbox.
  void OnCallerGone(Instant aNow, CallerId aCaller);
  void OnWorkAnswer(Instant aNow, std::uint64_t aAttempt, const WorkAnswer& aAnswer);
  // The link to a peer broke, so the fate of the requests forwarded to it is unknown.
  // Repeatable ones are retried; the others are answered Unknown.
  void OnPeerDown(Instant aNow, const InstanceId& aPeer);
  void Tick(Instant aNow);

  bool IsIdle() const { return pending_.empty(); }
  std::size_t Pending() const { return pending_.size(); }

private:
  enum class Phase
  {
    // Waits for a retry, since the key has no reachable owner at the moment.
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
    // Id of the current attempt; answers to earlier attempts are ignored.
    std::uint64_t attempt_ = 0;
    unsigned attempts_ = 0;
    // An earlier attempt may have run, so the request must not be answered NotRun any more.
    bool mayHaveRun_ = false;
    // Since when its key has had no reachable owner: since the first refusal, or since a running
    // server last refused it because its grant had expired.
    std::optional<Instant> ownerlessSince_;
    Instant retryAt_{ 0 };
  };
  using Entry = std::map<CallerId, PendingRequest>::iterator;

  // Returns None if the request may be routed, else the reason for refusing it.
  Reason Validate(const WorkRequest& aRequest, bool aIsFresh) const;
  // Returns the instance that holds the owner of the key, or an empty id if there is none at
  // the moment.
  InstanceId FindHolder(const WorkRequest& aRequest) const;
  void Route(Instant aNow, Entry aEntry);
  // Schedules a retry after a backoff, or answers with aLastAnswer if it would come too late.
  void Park(Instant aNow, Entry aEntry, const WorkAnswer& aLastAnswer);
  void Finish(Entry aEntry, const WorkAnswer& aLastAnswer);
  void CancelRequest(Instant aNow, Entry aEntry);
  static bool IsRetryable(const WorkAnswer& aAnswer);

  InstanceContext context_;
  SubmitFunction submit_;
  CancelFunction cancel_;
  std::map<CallerId, PendingRequest> pending_;
  std::map<std::uint64_t, CallerId> callerByAttempt_;
};

} // namespace latchslip
