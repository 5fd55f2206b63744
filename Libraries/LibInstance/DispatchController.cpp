#include "LibInstance/DispatchController.h"

#include <algorithm>
#include <atomic>

namespace latchslip {

namespace {

// Retry-After hint while the owner of a key is changing.
constexpr Duration kOwnerChangeRetry = milliseconds(50);
constexpr Duration kOutageRetry = milliseconds(500);
constexpr Duration kGrantReplyTimeout = seconds(2);

} // namespace

std::uint64_t
NextTag()
{
  static std::atomic<std::uint64_t> sLast{ 0 };
  return ++sLast;
}

DispatchController::DispatchController(InstanceContext aContext,
                                       AnswerFunction aAnswer,
                                       ReportFunction aReport)
  : context_(aContext)
  , answer_(std::move(aAnswer))
  , reporter_(aContext, std::move(aReport))
  , claims_(aContext.membership_.Self(), aContext.timing_.claim_)
{
}

std::string
DispatchController::HeldKey(std::string_view aService, std::string_view aServer)
{
  return std::string(aService) + "/" + std::string(aServer);
}

HeldServer*
DispatchController::FindHeldFor(const WorkRequest& aRequest, KeyHash aHash, Reason& aReason)
{
  const auto* placed = context_.view_.FindPlacement(aRequest.service_);
  aReason = Reason::NotHolder;
  if (placed == nullptr) {
    return nullptr;
  }
  const auto& placement = placed->placement_;
  const auto& slice = placement.slices_[placement.SliceIndexOf(aHash)];
  const auto& server = placement.servers_[slice.owner_];
  const auto found = held_.find(HeldKey(aRequest.service_, server.name_));
  if (found == held_.end() || found->second->isStopping_) {
    return nullptr;
  }
  if (slice.IsMoving()) {
    aReason = Reason::OwnerChanging;
    return nullptr;
  }
  return found->second.get();
}

Reason
DispatchController::CheckAdmission(Instant aNow,
                                   HeldServer& aHeld,
                                   const HeldWork& aWork,
                                   Duration& aRetryAfter)
{
  if (!aHeld.grantManager_.MayDispatch(aNow, aWork.hash_)) {
    aRetryAfter = kOwnerChangeRetry;
    return Reason::OwnerChanging;
  }
  const auto admission = aHeld.queue_.Check(aNow, aWork.request_.group_, aWork.request_.deadline_);
  aRetryAfter = admission.retryAfter_;
  switch (admission.verdict_) {
    case AdmissionVerdict::QueueFull:
      return Reason::QueueFull;
    case AdmissionVerdict::DeadlineTooNear:
      return Reason::DeadlineTooNear;
    case AdmissionVerdict::UnknownGroup:
      return Reason::NoSuchGroup;
    case AdmissionVerdict::Admitted:
      break;
  }
  return Reason::None;
}

void
DispatchController::Submit(Instant aNow, const WorkRequest& aRequest, const ReplyTo& aReplyTo)
{
  const auto hash = HashKey(aRequest.key_);
  auto reason = Reason::None;
  auto* held = FindHeldFor(aRequest, hash, reason);
  if (held == nullptr) {
    answer_(aNow, aReplyTo, MakeNotRun(reason, kOwnerChangeRetry));
    return;
  }
  HeldWork work;
  work.id_ = NextTag();
  work.request_ = aRequest;
  work.hash_ = hash;
  work.replyTo_ = aReplyTo;
  Duration retryAfter{ 0 };
  reason = CheckAdmission(aNow, *held, work, retryAfter);
  if (reason != Reason::None) {
    answer_(aNow, aReplyTo, MakeNotRun(reason, retryAfter));
    return;
  }
  held->retryBudget_.OnRequest();
  const bool needsClaim = aRequest.NeedsClaim();
  const auto id = work.id_;
  if (needsClaim) {
    const auto rowKey =
      ClaimRegistry::RowKey(aRequest.service_, aRequest.group_, aRequest.requestId_);
    if (!claims_.Submit(aNow, id, rowKey, aRequest.sendingToken_)) {
      answer_(aNow, aReplyTo, MakeNotRun(Reason::StoreUnavailable, kOutageRetry));
      return;
    }
    work.hasClaim_ = true;
  }
  serverKeyByWork_[id] = HeldKey(held->service_, held->server_);
  workByReplyTo_[aReplyTo] = id;
  held->workItems_.emplace(id, std::move(work));
  if (needsClaim) {
    SendNextClaimCall(aNow);
  } else {
    Enqueue(aNow, *held, id);
  }
}

void
DispatchController::Enqueue(Instant aNow, HeldServer& aHeld, WorkId aId)
{
  auto& work = aHeld.workItems_.at(aId);
  Duration retryAfter{ 0 };
  const auto reason = CheckAdmission(aNow, aHeld, work, retryAfter);
  if (reason != Reason::None) {
    Answer(aNow, work, MakeNotRun(reason, retryAfter));
    Drop(aHeld, aId);
    return;
  }
  work.phase_ = HeldWork::Phase::Waiting;
  aHeld.queue_.Admit(aNow, aId, work.request_.group_, work.request_.deadline_);
  DispatchQueued(aNow, aHeld);
}

void
DispatchController::Answer(Instant aNow, HeldWork& aWork, const WorkAnswer& aLastAnswer)
{
  if (aWork.isAnswered_) {
    return;
  }
  aWork.isAnswered_ = true;
  const bool isUncertain = aWork.mayHaveRun_ && aLastAnswer.outcome_ == RequestOutcome::NotRun;
  const auto answer = isUncertain ? MakeUnknown(aLastAnswer.reason_) : aLastAnswer;
  if (aWork.hasClaim_) {
    switch (answer.outcome_) {
      case RequestOutcome::NotRun:
        claims_.Release(aWork.id_);
        break;
      case RequestOutcome::Answered:
        claims_.Close(aWork.id_, "answered " + std::to_string(answer.status_));
        break;
      case RequestOutcome::Unknown:
        claims_.Close(aWork.id_, "unknown");
        break;
    }
  }
  workByReplyTo_.erase(aWork.replyTo_);
  answer_(aNow, aWork.replyTo_, answer);
}

void
DispatchController::Drop(HeldServer& aHeld, WorkId aId)
{
  serverKeyByWork_.erase(aId);
  aHeld.workItems_.erase(aId);
}

void
DispatchController::Dispatch(Instant aNow, HeldServer& aHeld, HeldWork& aWork)
{
  aWork.phase_ = HeldWork::Phase::Running;
  aWork.startedAt_ = aNow;
  WorkCommand command;
  command.id_ = aWork.id_;
  command.server_ = aHeld.server_;
  command.address_ = aHeld.address_;
  command.fence_ = aHeld.grantManager_.CurrentFence();
  command.hash_ = aWork.hash_;
  command.request_ = aWork.request_;
  command.validUntil_ = aHeld.grantManager_.ValidUntilOnServer();
  context_.events_.Record(Event::RequestDispatched,
                          "work=" + std::to_string(aWork.id_) + " server=" + aHeld.server_ +
                            " group=" + aWork.request_.group_ +
                            " fence=" + std::to_string(command.fence_) +
                            " waiting=" + std::to_string(aHeld.queue_.Waiting()));
  context_.outbox_.SendWork(command);
}

void
DispatchController::DispatchQueued(Instant aNow, HeldServer& aHeld)
{
  for (const auto id : aHeld.queue_.TakeExpired(aNow)) {
    auto& work = aHeld.workItems_.at(id);
    Answer(aNow,
           work,
           MakeNotRun(Reason::DeadlinePassed, aHeld.queue_.EstimateWait(work.request_.group_)));
    Drop(aHeld, id);
  }
  while (const auto id = aHeld.queue_.StartNext()) {
    auto& work = aHeld.workItems_.at(*id);
    if (!aHeld.grantManager_.MayDispatch(aNow, work.hash_)) {
      aHeld.queue_.Finish(*id, Duration{ 0 });
      Answer(aNow, work, MakeNotRun(Reason::OwnerChanging, kOwnerChangeRetry));
      Drop(aHeld, *id);
      continue;
    }
    Dispatch(aNow, aHeld, work);
  }
}

void
DispatchController::Abandon(Instant aNow, HeldWork& aWork)
{
  // NOTE: The work may still be running at the server, so its slot stays occupied.
  // FreeAbandonedSlots() frees it once the server has answered a grant command that was sent after
  // this moment, because that answer counts the work that still runs there.
  aWork.phase_ = HeldWork::Phase::Abandoned;
  aWork.abandonedAt_ = aNow;
}

void
DispatchController::Cancel(Instant aNow, const ReplyTo& aReplyTo)
{
  const auto found = workByReplyTo_.find(aReplyTo);
  if (found == workByReplyTo_.end()) {
    return;
  }
  const auto id = found->second;
  auto& held = *held_.at(serverKeyByWork_.at(id));
  auto& work = held.workItems_.at(id);
  if (work.phase_ == HeldWork::Phase::Running) {
    context_.outbox_.CancelWork(id);
    Answer(aNow, work, MakeUnknown(Reason::Cancelled));
    return;
  }
  held.queue_.Remove(id);
  Answer(aNow, work, MakeNotRun(Reason::Cancelled, Duration{ 0 }));
  Drop(held, id);
}

bool
DispatchController::TryRetry(Instant aNow, HeldServer& aHeld, HeldWork& aWork)
{
  const bool mayRepeat = aWork.request_.isRepeatable_ && !aWork.isAnswered_ &&
                         aHeld.grantManager_.MayDispatch(aNow, aWork.hash_) &&
                         aHeld.retryBudget_.TrySpend();
  if (!mayRepeat) {
    return false;
  }
  HeldWork again = aWork;
  again.id_ = NextTag();
  again.phase_ = HeldWork::Phase::Waiting;
  again.mayHaveRun_ = true;
  serverKeyByWork_[again.id_] = HeldKey(aHeld.service_, aHeld.server_);
  workByReplyTo_[again.replyTo_] = again.id_;
  context_.events_.Record(Event::RequestRetried,
                          "work=" + std::to_string(again.id_) +
                            " former=" + std::to_string(aWork.id_) + " reason=connection-broken");
  const auto id = again.id_;
  aWork.isAnswered_ = true;
  aHeld.workItems_.emplace(id, std::move(again));
  Enqueue(aNow, aHeld, id);
  return true;
}

void
DispatchController::RecordLoad(HeldServer& aHeld, const HeldWork& aWork, Duration aBusy)
{
  const auto* placed = context_.view_.FindPlacement(aHeld.service_);
  if (placed != nullptr) {
    const auto& placement = placed->placement_;
    const auto& slice = placement.slices_[placement.SliceIndexOf(aWork.hash_)];
    aHeld.loadMeter_.Add(aWork.hash_, slice.start_, aBusy);
  }
}

void
DispatchController::OnWorkReply(Instant aNow, WorkId aId, const WorkReply& aReply)
{
  const auto owner = serverKeyByWork_.find(aId);
  if (owner == serverKeyByWork_.end()) {
    return;
  }
  auto& held = *held_.at(owner->second);
  auto& work = held.workItems_.at(aId);
  if (work.phase_ == HeldWork::Phase::Abandoned) {
    return;
  }
  WorkAnswer answer;
  switch (aReply.outcome_) {
    case WorkOutcome::Answered:
      answer.outcome_ = RequestOutcome::Answered;
      answer.status_ = aReply.status_;
      answer.body_ = aReply.body_;
      answer.contentType_ = aReply.contentType_;
      RecordLoad(held, work, aNow - work.startedAt_);
      break;
    case WorkOutcome::Refused:
      answer = MakeNotRun(Reason::ServerRefused, kOwnerChangeRetry);
      break;
    case WorkOutcome::Shed:
      answer = MakeNotRun(Reason::ServerShed, std::max(aReply.retryAfter_, kOwnerChangeRetry));
      break;
    case WorkOutcome::Expired:
      answer = MakeNotRun(Reason::DeadlinePassed, held.queue_.EstimateWait(work.request_.group_));
      break;
    case WorkOutcome::Cancelled:
      answer = MakeNotRun(Reason::Cancelled, Duration{ 0 });
      break;
    case WorkOutcome::NotSent:
      answer = MakeNotRun(Reason::ServerUnreachable, kOwnerChangeRetry);
      break;
    case WorkOutcome::Broken:
      Abandon(aNow, work);
      if (!TryRetry(aNow, held, work)) {
        Answer(aNow, work, MakeUnknown(Reason::ConnectionBroken));
      }
      return;
  }
  const bool ran = aReply.outcome_ == WorkOutcome::Answered;
  held.queue_.Finish(aId, ran ? aNow - work.startedAt_ : Duration{ 0 });
  Answer(aNow, work, answer);
  Drop(held, aId);
  DispatchQueued(aNow, held);
}

std::optional<DispatchController::SentGrant>
DispatchController::TakeSentGrant(CallTag aTag)
{
  const auto found = sentGrants_.find(aTag);
  if (found == sentGrants_.end()) {
    return std::nullopt;
  }
  auto sent = std::move(found->second);
  sentGrants_.erase(found);
  return sent;
}

void
DispatchController::OnGrantReply(Instant aNow, CallTag aTag, const GrantReply& aReply)
{
  const auto sent = TakeSentGrant(aTag);
  const auto entry = sent ? held_.find(sent->key_) : held_.end();
  if (entry == held_.end()) {
    return;
  }
  auto& held = *entry->second;
  const auto before = held.grantManager_.State();
  held.grantManager_.OnReply(aNow, sent->sentAt_, sent->command_, aReply);
  if (!aReply.accepted_) {
    context_.events_.Record(Event::GrantRefused,
                            "server=" + held.server_ +
                              " fence=" + std::to_string(sent->command_.fence_) +
                              " seen=" + std::to_string(aReply.fence_));
  }
  if (before != held.grantManager_.State()) {
    context_.events_.Record(
      Event::GrantAcknowledged,
      "server=" + held.server_ + " fence=" + std::to_string(held.grantManager_.CurrentFence()) +
        " state=" + std::string(kGrantStateNames.NameOf(held.grantManager_.State())));
  }
  held.isConnectionRefused_ = false;
  held.queue_.SetForeignSlots(held.grantManager_.ForeignRunning());
  FreeAbandonedSlots(held, sent->sentAt_);
  reporter_.Report(aNow, held);
  DispatchQueued(aNow, held);
}

void
DispatchController::FreeAbandonedSlots(HeldServer& aHeld, Instant aCommandSentAt)
{
  for (const auto id : aHeld.AbandonedBefore(aCommandSentAt)) {
    aHeld.queue_.Finish(id, Duration{ 0 });
    Drop(aHeld, id);
  }
}

void
DispatchController::OnConnectionRefused(Instant aNow, CallTag aTag)
{
  const auto sent = TakeSentGrant(aTag);
  const auto entry = sent ? held_.find(sent->key_) : held_.end();
  if (entry != held_.end()) {
    entry->second->isConnectionRefused_ = true;
    FreeAbandonedSlots(*entry->second, sent->sentAt_);
    reporter_.Report(aNow, *entry->second);
  }
}

void
DispatchController::SendNextClaimCall(Instant aNow)
{
  if (claimTag_ != 0) {
    return;
  }
  const auto call = claims_.NextCall(aNow);
  if (!call) {
    return;
  }
  StoreCall store;
  store.isRead_ = call->isRead_;
  store.transaction_ = call->transaction_;
  for (const auto& key : call->keys_) {
    store.stamps_.push_back({ key, 0 });
  }
  claimTag_ = NextTag();
  context_.outbox_.CallStore(claimTag_, store);
}

bool
DispatchController::OnStoreReply(Instant aNow, CallTag aTag, const StoreReply& aReply)
{
  if (aTag != claimTag_ || aTag == 0) {
    return false;
  }
  claimTag_ = 0;
  for (const auto& decision : claims_.OnReply(aNow, aReply)) {
    const auto owner = serverKeyByWork_.find(decision.id_);
    if (owner == serverKeyByWork_.end()) {
      claims_.Release(decision.id_);
      continue;
    }
    auto& held = *held_.at(owner->second);
    auto& work = held.workItems_.at(decision.id_);
    switch (decision.verdict_) {
      case ClaimVerdict::Claimed:
        Enqueue(aNow, held, decision.id_);
        break;
      case ClaimVerdict::Duplicate: {
        context_.events_.Record(Event::ClaimDuplicate,
                                "request=" + work.request_.requestId_ +
                                  " earlier=" + decision.earlierOutcome_);
        work.hasClaim_ = false;
        auto answer = MakeUnknown(Reason::Duplicate);
        answer.detail_ = decision.earlierOutcome_;
        Answer(aNow, work, answer);
        Drop(held, decision.id_);
        break;
      }
      case ClaimVerdict::StoreUnavailable:
        work.hasClaim_ = false;
        Answer(aNow, work, MakeNotRun(Reason::StoreUnavailable, kOutageRetry));
        Drop(held, decision.id_);
        break;
    }
  }
  SendNextClaimCall(aNow);
  return true;
}

void
DispatchController::OnResume(const ResumeCommand& aCommand)
{
  const auto found = held_.find(HeldKey(aCommand.service_, aCommand.server_));
  if (found == held_.end()) {
    return;
  }
  auto& held = *found->second;
  // Only the answer to the newest report counts: an older one may come from a placer that has
  // been replaced since.
  const bool isCurrent = held.grantManager_.CurrentFence() == aCommand.fence_ &&
                         held.reportSequence_ == aCommand.sequence_ && !held.isStopping_;
  if (isCurrent) {
    held.grantManager_.Resume();
    context_.events_.Record(Event::GrantResumed, "server=" + held.server_);
  }
}

bool
DispatchController::IsHolderInView(const HeldServer& aHeld) const
{
  const auto* placed = context_.view_.FindPlacement(aHeld.service_);
  if (placed == nullptr) {
    return false;
  }
  const auto index = placed->placement_.FindServer(aHeld.server_);
  return index && placed->placement_.servers_[*index].holder_ == context_.membership_.Self();
}

void
DispatchController::RejectWaiting(Instant aNow, HeldServer& aHeld, Reason aReason)
{
  for (const auto id : aHeld.PendingWork()) {
    aHeld.queue_.Remove(id);
    Answer(aNow, aHeld.workItems_.at(id), MakeNotRun(aReason, kOwnerChangeRetry));
    Drop(aHeld, id);
  }
}

void
DispatchController::ApplyView(Instant aNow)
{
  const auto& configuration = context_.view_.Configuration();
  for (const auto& service : configuration.services_) {
    const auto* placed = context_.view_.FindPlacement(service.name_);
    if (placed == nullptr) {
      continue;
    }
    for (ServerIndex index = 0; index < placed->placement_.servers_.size(); ++index) {
      const auto& server = placed->placement_.servers_[index];
      const auto* declared = service.FindServer(server.name_);
      if (server.holder_ != context_.membership_.Self()) {
        continue;
      }
      const auto key = HeldKey(service.name_, server.name_);
      auto& held = held_[key];
      if (held == nullptr) {
        // A server that was removed from the configuration has no address. It stays here
        // until its work has ended, but is sent no grants.
        const auto shown =
          declared != nullptr ? *declared : ServerDeclaration{ server.name_, "", "", true };
        held = std::make_unique<HeldServer>(service, shown, context_.timing_.grant_);
      }
      held->isStopping_ = false;
      held->Configure(configuration);
      held->ApplyPlacement(*placed, index);
    }
  }
  for (auto& [key, held] : held_) {
    if (!IsHolderInView(*held) && !held->isStopping_) {
      held->isStopping_ = true;
      RejectWaiting(aNow, *held, Reason::NotHolder);
    }
  }
  RemoveStopped(aNow);
}

void
DispatchController::RemoveStopped(Instant aNow)
{
  for (auto entry = held_.begin(); entry != held_.end();) {
    auto& held = *entry->second;
    const bool isOver =
      held.isStopping_ &&
      std::all_of(held.workItems_.begin(), held.workItems_.end(), [](const auto& aWork) {
        return aWork.second.phase_ == HeldWork::Phase::Abandoned;
      });
    if (!isOver) {
      ++entry;
      continue;
    }
    for (const auto& [id, work] : held.workItems_) {
      serverKeyByWork_.erase(id);
    }
    entry = held_.erase(entry);
    reporter_.ResetStoppedInterval();
  }
  reporter_.ReportStopped(aNow, [this](std::string_view aService, std::string_view aServer) {
    return held_.contains(HeldKey(aService, aServer));
  });
}

void
DispatchController::Tick(Instant aNow)
{
  for (auto& [key, held] : held_) {
    const auto before = held->grantManager_.State();
    // A holder that is being replaced keeps renewing the grant until its work has ended, so
    // that the work can finish under the grant it was started with.
    for (const auto& command : held->grantManager_.Tick(aNow)) {
      if (held->address_.empty()) {
        continue;
      }
      const auto tag = NextTag();
      sentGrants_[tag] = { key, aNow, command };
      context_.outbox_.SendGrant(tag, held->address_, command);
    }
    if (before != GrantState::Withheld && held->grantManager_.State() == GrantState::Withheld) {
      context_.events_.Record(Event::GrantExpired,
                              "server=" + held->server_ +
                                " fence=" + std::to_string(held->grantManager_.CurrentFence()));
    }
    if (!held->grantManager_.IsUsable(aNow)) {
      // Work that never answers may occupy all slots. Requests that wait are rejected now
      // instead of timing out behind a server that cannot serve them.
      RejectWaiting(aNow, *held, Reason::OwnerChanging);
    }
    DispatchQueued(aNow, *held);
    reporter_.Report(aNow, *held);
  }
  std::erase_if(sentGrants_, [&](const auto& aSent) {
    return aNow - aSent.second.sentAt_ > kGrantReplyTimeout;
  });
  RemoveStopped(aNow);
  SendNextClaimCall(aNow);
}

} // namespace latchslip
