#include "LibInstance/RequestRouter.h"

#include <algorithm>
#include <vector>

namespace latchslip {

namespace {

constexpr Duration kInitialBackoff = milliseconds(5);
constexpr Duration kMaxBackoff = milliseconds(40);
constexpr Duration kStaleRetry = seconds(1);
constexpr Duration kNoOwnerRetry = milliseconds(500);
constexpr Duration kBusyRetry = milliseconds(100);

Duration
BackoffAfter(unsigned aAttempts)
{
  return std::min(kMaxBackoff, kInitialBackoff * (1U << std::min(aAttempts, 4U)));
}

} // namespace

RequestRouter::RequestRouter(InstanceContext aContext,
                             SubmitFunction aSubmit,
                             CancelFunction aCancel)
  : context_(aContext)
  , submit_(std::move(aSubmit))
  , cancel_(std::move(aCancel))
{
}

Reason
RequestRouter::Validate(const WorkRequest& aRequest, bool aIsFresh) const
{
  if (!aIsFresh) {
    return Reason::ViewStale;
  }
  const auto& configuration = context_.view_.Configuration();
  if (configuration.FindService(aRequest.service_) == nullptr) {
    return Reason::NoSuchService;
  }
  if (configuration.FindIntent(aRequest.group_, aRequest.service_) == nullptr) {
    return Reason::NoSuchGroup;
  }
  if (pending_.size() >= context_.timing_.maxInFlight_) {
    return Reason::TooManyInFlight;
  }
  return Reason::None;
}

void
RequestRouter::OnRequest(Instant aNow, CallerId aCaller, const WorkRequest& aRequest, bool aIsFresh)
{
  const auto reason = Validate(aRequest, aIsFresh);
  if (reason != Reason::None || aRequest.deadline_ <= aNow) {
    const auto retryAfter = reason == Reason::ViewStale         ? kStaleRetry
                            : reason == Reason::TooManyInFlight ? kBusyRetry
                                                                : Duration{ 0 };
    const auto answer =
      MakeNotRun(reason == Reason::None ? Reason::DeadlinePassed : reason, retryAfter);
    context_.events_.Record(Event::RequestRefused,
                            "caller=" + std::to_string(aCaller) + " service=" + aRequest.service_ +
                              " group=" + aRequest.group_ +
                              " reason=" + std::string(kReasonNames.NameOf(answer.reason_)));
    context_.outbox_.AnswerCaller(aCaller, answer);
    return;
  }
  PendingRequest pending;
  pending.caller_ = aCaller;
  pending.request_ = aRequest;
  if (aRequest.NeedsClaim()) {
    pending.request_.sendingToken_ = MakeWriteToken(context_.membership_.Self(), NextTag());
  }
  const auto entry = pending_.emplace(aCaller, std::move(pending)).first;
  Route(aNow, entry);
}

InstanceId
RequestRouter::FindHolder(const WorkRequest& aRequest) const
{
  const auto* placed = context_.view_.FindPlacement(aRequest.service_);
  if (placed == nullptr) {
    return {};
  }
  const auto& placement = placed->placement_;
  const auto& slice = placement.slices_[placement.SliceIndexOf(HashKey(aRequest.key_))];
  return slice.IsMoving() ? InstanceId{} : placement.servers_[slice.owner_].holder_;
}

void
RequestRouter::Route(Instant aNow, Entry aEntry)
{
  auto& pending = aEntry->second;
  const auto holder = FindHolder(pending.request_);
  const bool isSelf = holder == context_.membership_.Self();
  const bool isReachable = isSelf || (!holder.empty() && context_.membership_.IsLive(aNow, holder));
  if (!isReachable) {
    Park(aNow, aEntry, MakeNotRun(Reason::NoOwner, kNoOwnerRetry));
    return;
  }
  callerByAttempt_.erase(pending.attempt_);
  pending.attempt_ = NextTag();
  ++pending.attempts_;
  pending.holder_ = holder;
  callerByAttempt_[pending.attempt_] = pending.caller_;
  const auto attempt = pending.attempt_;
  context_.events_.Record(isSelf ? Event::RequestRouted : Event::RequestForwarded,
                          "caller=" + std::to_string(pending.caller_) + " service=" +
                            pending.request_.service_ + " group=" + pending.request_.group_ +
                            " holder=" + holder + " attempt=" + std::to_string(pending.attempts_));
  if (isSelf) {
    pending.phase_ = Phase::Local;
    // NOTE: The request is copied because the answer may arrive during the call and erase the
    // entry that owns it.
    const auto request = pending.request_;
    submit_(aNow, request, { {}, attempt });
    return;
  }
  pending.phase_ = Phase::Forwarded;
  ForwardedRequest forwarded;
  forwarded.id_ = attempt;
  forwarded.request_ = pending.request_;
  forwarded.request_.deadline_ = pending.request_.deadline_ - aNow;
  if (!context_.outbox_.SendToPeer(holder, forwarded)) {
    callerByAttempt_.erase(attempt);
    Park(aNow, aEntry, MakeNotRun(Reason::HolderUnreachable, kNoOwnerRetry));
  }
}

bool
RequestRouter::IsRetryable(const WorkAnswer& aAnswer)
{
  if (aAnswer.outcome_ != RequestOutcome::NotRun) {
    return false;
  }
  switch (aAnswer.reason_) {
    case Reason::NoOwner:
    case Reason::OwnerChanging:
    case Reason::NotHolder:
    case Reason::HolderUnreachable:
    case Reason::ServerRefused:
    case Reason::ServerUnreachable:
      return true;
    default:
      return false;
  }
}

void
RequestRouter::Park(Instant aNow, Entry aEntry, const WorkAnswer& aLastAnswer)
{
  auto& pending = aEntry->second;
  pending.mayHaveRun_ = pending.mayHaveRun_ || aLastAnswer.outcome_ == RequestOutcome::Unknown;
  const bool isServerRunning = aLastAnswer.reason_ == Reason::ServerRefused;
  if (!pending.ownerlessSince_ || isServerRunning) {
    pending.ownerlessSince_ = aNow;
  }
  const auto backoff = BackoffAfter(pending.attempts_);
  const bool isTooLate = aNow + backoff >= pending.request_.deadline_ ||
                         aNow - *pending.ownerlessSince_ >= context_.timing_.maxParkedTime_;
  if (isTooLate) {
    Finish(aEntry, aLastAnswer);
    return;
  }
  ++pending.attempts_;
  pending.phase_ = Phase::Parked;
  pending.retryAt_ = aNow + backoff;
}

void
RequestRouter::Finish(Entry aEntry, const WorkAnswer& aLastAnswer)
{
  const auto caller = aEntry->second.caller_;
  const bool isUncertain =
    aEntry->second.mayHaveRun_ && aLastAnswer.outcome_ == RequestOutcome::NotRun;
  const auto answer = isUncertain ? MakeUnknown(aLastAnswer.reason_) : aLastAnswer;
  const auto event = answer.outcome_ == RequestOutcome::Answered ? Event::RequestAnswered
                     : answer.outcome_ == RequestOutcome::NotRun ? Event::RequestRefused
                                                                 : Event::RequestUnknown;
  context_.events_.Record(event,
                          "caller=" + std::to_string(caller) +
                            " reason=" + std::string(kReasonNames.NameOf(answer.reason_)) +
                            " status=" + std::to_string(answer.status_));
  callerByAttempt_.erase(aEntry->second.attempt_);
  pending_.erase(aEntry);
  context_.outbox_.AnswerCaller(caller, answer);
}

void
RequestRouter::OnWorkAnswer(Instant aNow, std::uint64_t aAttempt, const WorkAnswer& aAnswer)
{
  const auto caller = callerByAttempt_.find(aAttempt);
  if (caller == callerByAttempt_.end()) {
    return;
  }
  const auto entry = pending_.find(caller->second);
  callerByAttempt_.erase(caller);
  if (IsRetryable(aAnswer)) {
    Park(aNow, entry, aAnswer);
    return;
  }
  Finish(entry, aAnswer);
}

void
RequestRouter::OnPeerDown(Instant aNow, const InstanceId& aPeer)
{
  std::vector<CallerId> affected;
  for (const auto& [caller, pending] : pending_) {
    if (pending.phase_ == Phase::Forwarded && pending.holder_ == aPeer) {
      affected.push_back(caller);
    }
  }
  for (const auto caller : affected) {
    const auto entry = pending_.find(caller);
    if (entry->second.request_.isRepeatable_) {
      callerByAttempt_.erase(entry->second.attempt_);
      Park(aNow, entry, MakeUnknown(Reason::HolderUnreachable));
    } else {
      Finish(entry, MakeUnknown(Reason::HolderUnreachable));
    }
  }
}

void
RequestRouter::CancelRequest(Instant aNow, Entry aEntry)
{
  auto& pending = aEntry->second;
  if (pending.phase_ == Phase::Parked) {
    Finish(aEntry, MakeNotRun(Reason::DeadlinePassed, kNoOwnerRetry));
    return;
  }
  const auto attempt = pending.attempt_;
  if (pending.phase_ == Phase::Forwarded) {
    context_.outbox_.SendToPeer(pending.holder_, ForwardedCancel{ attempt });
    Finish(aEntry, MakeUnknown(Reason::DeadlinePassed));
    return;
  }
  // The dispatcher of this instance knows whether the request has started, and answers
  // synchronously.
  cancel_(aNow, { {}, attempt });
}

void
RequestRouter::OnCallerGone(Instant aNow, CallerId aCaller)
{
  const auto entry = pending_.find(aCaller);
  if (entry != pending_.end()) {
    CancelRequest(aNow, entry);
  }
}

void
RequestRouter::Tick(Instant aNow)
{
  std::vector<CallerId> late;
  std::vector<CallerId> due;
  std::vector<CallerId> stranded;
  for (const auto& [caller, pending] : pending_) {
    const bool isForwarded = pending.phase_ == Phase::Forwarded;
    if (pending.request_.deadline_ <= aNow) {
      late.push_back(caller);
    } else if (pending.phase_ == Phase::Parked && pending.retryAt_ <= aNow) {
      due.push_back(caller);
    } else if (isForwarded && pending.request_.isRepeatable_ &&
               !context_.membership_.IsLive(aNow, pending.holder_)) {
      stranded.push_back(caller);
    }
  }
  for (const auto caller : late) {
    CancelRequest(aNow, pending_.find(caller));
  }
  for (const auto caller : stranded) {
    const auto entry = pending_.find(caller);
    callerByAttempt_.erase(entry->second.attempt_);
    Park(aNow, entry, MakeUnknown(Reason::HolderUnreachable));
  }
  for (const auto caller : due) {
    Route(aNow, pending_.find(caller));
  }
}

} // namespace latchslip
