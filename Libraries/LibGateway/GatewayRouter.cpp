#include "LibGateway/GatewayRouter.h"

#include <algorithm>

namespace latchslip {

namespace {

// Shortest retry delay that is sent to clients.
constexpr Duration kMinRetryDelay = milliseconds(50);
// Jitter: clients that were refused together retry after a random multiple of the expected wait,
// between these bounds. This is the widest even spread around the wait in which nobody retries at
// once.
constexpr double kMinJitter = 0.5;
constexpr double kMaxJitter = 1.5;
// A request that can no longer be answered in time waits no longer than its client would before a
// retry.
constexpr Duration kMaxLateWait = kMinRetryDelay;
// Retry delay for callers of a group that is over its limit, or whose API key could not be
// verified: both conditions end within about a second, or last.
constexpr Duration kRejectedRetryDelay = seconds(1);
// Clients retry within a third of the time they have left (guaranteed by the platform); a later
// retry would not be made at all.
constexpr double kRetryDelayPerTimeLeft = 0.3;
// A request that arrives before the first configuration waits for it for this fraction of the
// client's time: an instance receives it within some 0.2 s of its start. The wait is less than a
// quarter of the latency targets, which are above a third of that time.
constexpr double kConfigurationWaitPerTimeLeft = 0.08;
// Within this time of its first configuration an instance also receives the servers and the
// owners of keys: about as long as reading a table of the store takes.
constexpr Duration kStartupDiscoveryTime = milliseconds(200);
// Assumed time left of a request without a route and without a time limit of its client.
constexpr Duration kAssumedTimeLeft = seconds(1);
// Reserved for the way back of the answer when a server is sent its time limit.
constexpr Duration kAnswerTransitTime = milliseconds(2);
// With less time than this, a send would only waste work of the server.
constexpr Duration kMinSendTime = milliseconds(5);
// Sends beyond the attempts of the route, for servers that did not run the request.
constexpr unsigned kExtraSends = 2;
// Delay before a retry after an owner answered that it does not own the key: about one move of
// keys, so that the view can catch up.
constexpr Duration kWrongOwnerRetryDelay = milliseconds(30);
// Time for which the address of an ended incarnation is suspended; the directory has been updated
// by then.
constexpr Duration kOtherIncarnationPause = seconds(3);

// Name of the route for logs and metrics; kNoRoute for none.
std::string
NameOf(const Route* aRoute)
{
  return aRoute == nullptr ? kNoRoute : aRoute->Name();
}

QueuePosition<RequestNumber>
PositionOf(const PendingRequest& aPending)
{
  return { aPending.Rank(), aPending.isLate_, aPending.deadline_, aPending.request_.number_ };
}

// Describes the last attempt of a request for the log: its connection, and how long ago it was
// sent.
std::string
DescribeLastSend(Instant aNow, const PendingRequest& aPending)
{
  const auto age = aPending.sends_ == 0 ? Duration(0) : aNow - aPending.sentAt_;
  return " connection=" + std::to_string(aPending.connection_) +
         " sent_ago_us=" + std::to_string(age.count());
}

bool
MayHaveRun(AttemptEnd aEnd)
{
  return aEnd == AttemptEnd::Answered || aEnd == AttemptEnd::Broken;
}

} // namespace

GatewayRouter::GatewayRouter(GatewayRouterSettings aSettings,
                             const ServerDirectory& aDirectory,
                             RequestActions& aActions,
                             PermitSource& aPermits,
                             EventSink& aEvents)
  : settings_(std::move(aSettings))
  , directory_(aDirectory)
  , actions_(aActions)
  , permits_(aPermits)
  , events_(aEvents)
  , directPaths_(settings_.hall_, settings_.seed_, aEvents)
  , random_(settings_.seed_)
{
}

void
GatewayRouter::OnRequest(Instant aNow, RoutedRequest aRequest)
{
  const auto number = aRequest.number_;
  auto& pending = pending_[number];
  pending.request_ = std::move(aRequest);
  pending.arrival_ = aNow;
  if (routes_) {
    RouteRequest(aNow, pending);
    return;
  }
  const auto timeLeft = pending.request_.timeLeft_.value_or(kAssumedTimeLeft);
  pending.deadline_ = aNow + timeLeft;
  pending.refuseAt_ = aNow + Scale(timeLeft, kConfigurationWaitPerTimeLeft);
  SetTimer(pending, pending.refuseAt_);
}

// The request may have waited for the first configuration.
void
GatewayRouter::RouteRequest(Instant aNow, PendingRequest& aPending)
{
  if (!TryIdentify(aNow, aPending)) {
    return;
  }
  const auto& route = *aPending.route_;
  const auto timeLeft = aPending.request_.timeLeft_.value_or(route.timeLimit_);
  aPending.deadline_ = aPending.arrival_ + std::min(timeLeft, route.timeLimit_);
  auto& requestAge = requestAges_[route.Name()];
  requestAge.OnRequest(timeLeft);
  aPending.inTimeUntil_ = aPending.arrival_ + route.latencyTarget_ - requestAge.AgeOf(timeLeft);
  aPending.isLate_ = aPending.inTimeUntil_ <= aNow;
  if (MayOutlastStop(aPending)) {
    Refuse(aNow, aPending, RefusalReason::Stopping);
    return;
  }
  if (IsQuarantined(aNow, aPending)) {
    Refuse(aNow, aPending, RefusalReason::Quarantined);
    return;
  }
  if (!TryAdmitToGroup(aNow, aPending)) {
    return;
  }
  aPending.service_ = routes_->FindService(ChooseTarget(route));
  StateOf(aPending.service_->name_).budget_.OnRequest(aNow);
  if (aPending.service_->isKeyed_ && aPending.request_.key_) {
    actions_.CountKey(aPending.service_->name_, *aPending.request_.key_);
  }
  if (!paths_->HasPath(aNow)) {
    Refuse(aNow, aPending, RefusalReason::NoPath);
    return;
  }
  if (!TrySend(aNow, aPending)) {
    WaitOrRefuse(aNow, aPending);
  }
}

void
GatewayRouter::OnAttemptEnded(Instant aNow, AttemptNumber aAttempt, const AttemptOutcome& aOutcome)
{
  const auto attempt = attempts_.find(aAttempt);
  if (attempt == attempts_.end()) {
    return;
  }
  const auto number = attempt->second;
  auto& pending = pending_.at(number);
  if (TryAnotherPath(aNow, pending, aOutcome)) {
    return;
  }
  attempts_.erase(attempt);
  if (aOutcome.isLeaving_) {
    actions_.RecordLeaving(pending.server_, pending.serverIncarnation_);
  }
  const auto service = pending.service_->name_;
  const auto result = ToSendResult(pending, aOutcome);
  permits_.ReportSendEnd(
    { aAttempt,
      result,
      aNow - pending.sentAt_,
      aOutcome.server_,
      aOutcome.backoff_.value_or(Duration(0)),
      aOutcome.isLeaving_ ? std::optional(pending.serverIncarnation_) : std::nullopt,
      aOutcome.rateLimit_,
      aOutcome.isConnectionLost_,
      pending.serverIncarnation_ });
  if (const auto load = loads_.find(pending.server_); load != loads_.end()) {
    load->second.OnEnded(aNow, aAttempt, result);
    if (aOutcome.isOtherIncarnation_) {
      load->second.Suspend(aNow, kOtherIncarnationPause);
    }
    RecordBackoff(aNow, pending, aOutcome, load->second);
    RecordRateLimit(aNow, pending, aOutcome, load->second);
  }
  if (aOutcome.isConnectionLost_) {
    RecordConnectionLost(aNow, pending);
  }
  statistics_.OnAttempt(pending.server_, aOutcome.end_);
  pending.attempt_ = 0;
  pending.connection_ = aOutcome.connection_;
  pending.runs_ += MayHaveRun(aOutcome.end_) ? 1 : 0;
  if (pending.isClientGone_) {
    Finish(number);
  } else {
    ResolveAttempt(aNow, pending, aOutcome);
  }
  SendQueued(aNow, service);
}

void
GatewayRouter::RecordConnectionLost(Instant aNow, const PendingRequest& aPending)
{
  events_.Record(Event::ServerClosedConnection,
                 "server=" + aPending.server_ + " request=" + aPending.request_.id_ +
                   " fingerprint=" + FormatFingerprint(aPending.request_.fingerprint_) +
                   " sent_ago_us=" + std::to_string((aNow - aPending.sentAt_).count()) +
                   " sends=" + std::to_string(aPending.sends_));
}

void
GatewayRouter::RecordBackoff(Instant aNow,
                             const PendingRequest& aPending,
                             const AttemptOutcome& aOutcome,
                             ServerLoad& aLoad)
{
  if (aOutcome.backoff_ && aLoad.StartBackoff(aNow, *aOutcome.backoff_)) {
    events_.Record(Event::ServerAskedForRest,
                   "server=" + aPending.server_ + " request=" + aPending.request_.id_ +
                     " rest_us=" + std::to_string(aOutcome.backoff_->count()));
  }
}

void
GatewayRouter::RecordRateLimit(Instant aNow,
                               const PendingRequest& aPending,
                               const AttemptOutcome& aOutcome,
                               ServerLoad& aLoad)
{
  if (!aOutcome.rateLimit_) {
    return;
  }
  const auto rate = *aOutcome.rateLimit_;
  if (aLoad.AdvertisedLimit().OnAdvertised(
        aNow, aPending.sentAt_, rate, 1 / static_cast<double>(InstanceCount()))) {
    events_.Record(Event::ServerLimitsRate,
                   "server=" + aPending.server_ + " request=" + aPending.request_.id_ +
                     " rate_per_s=" + (rate == kNoRateLimit ? "none" : std::to_string(rate)));
  }
}

void
GatewayRouter::ResolveAttempt(Instant aNow,
                              PendingRequest& aPending,
                              const AttemptOutcome& aOutcome)
{
  const bool isAnswered = aOutcome.end_ == AttemptEnd::Answered;
  const bool isGoodAnswer = isAnswered && !aOutcome.IsServerError();
  if (!isGoodAnswer && TryTakeRetry(aNow, aPending, aOutcome)) {
    Retry(aNow, aPending, aOutcome);
    return;
  }
  if (isAnswered) {
    const auto number = aPending.request_.number_;
    statistics_.OnAnswer(NameOf(aPending.route_), aOutcome.status_, aNow - aPending.arrival_);
    events_.Record(
      Event::GatewayAnswer,
      "request=" + aPending.request_.id_ + " route=" + NameOf(aPending.route_) +
        " service=" + aPending.service_->name_ + " server=" + aPending.server_ +
        " relay=" + (aPending.path_.Relay().empty() ? "-" : aPending.path_.Relay()) + " status=" +
        std::to_string(aOutcome.status_) + " sends=" + std::to_string(aPending.sends_) +
        " waited_us=" + std::to_string((aPending.sentAt_ - aPending.arrival_).count()) +
        " age_us=" + std::to_string((aNow - aPending.arrival_).count()) + " time_left_us=" +
        std::to_string(aPending.request_.timeLeft_.value_or(Duration(0)).count()) +
        " configuration=" + std::to_string(aPending.routes_->Configuration().version_));
    actions_.Deliver(number, aPending.lastAttempt_);
    Finish(number);
    return;
  }
  Refuse(aNow, aPending, aPending.runs_ > 0 ? RefusalReason::OutcomeUnknown : ReasonNotRun(aNow));
}

void
GatewayRouter::Retry(Instant aNow, PendingRequest& aPending, const AttemptOutcome& aOutcome)
{
  events_.Record(Event::GatewayRetry,
                 "request=" + aPending.request_.id_ + " server=" + aPending.server_ +
                   " end=" + std::string(kAttemptEndNames.NameOf(aOutcome.end_)) +
                   " status=" + std::to_string(aOutcome.status_) +
                   " sends=" + std::to_string(aPending.sends_) + DescribeLastSend(aNow, aPending) +
                   " rest_us=" + std::to_string(aOutcome.backoff_.value_or(Duration(0)).count()));
  aPending.tried_.push_back(aPending.server_);
  if (aOutcome.end_ == AttemptEnd::WrongServer && !aOutcome.isOtherIncarnation_) {
    aPending.notBefore_ = aNow + kWrongOwnerRetryDelay;
  }
  if (!TrySend(aNow, aPending)) {
    WaitOrRefuse(aNow, aPending);
  }
}

bool
GatewayRouter::TryTakeRetry(Instant aNow, PendingRequest& aPending, const AttemptOutcome& aOutcome)
{
  const auto& route = *aPending.route_;
  const bool isAllowed = (route.isRepeatable_ || !MayHaveRun(aOutcome.end_)) &&
                         IsApiKeyProven(aNow, aPending) && !IsQuarantined(aNow, aPending) &&
                         !MayOutlastStop(aPending);
  const bool hasAttempts =
    aPending.runs_ < route.maxAttempts_ && aPending.sends_ < route.maxAttempts_ + kExtraSends;
  if (!isAllowed || !hasAttempts || aNow + kMinSendTime >= aPending.deadline_) {
    return false;
  }
  if (RemainingDelay(aNow, aPending) + kMinSendTime >= aPending.deadline_ - aNow) {
    return false;
  }
  // A request that never reached a server is no additional load, so it takes nothing from the
  // budget.
  return aOutcome.end_ == AttemptEnd::NotSent ||
         StateOf(aPending.service_->name_).budget_.TryTake(aNow, instances_);
}

bool
GatewayRouter::IsQuarantined(Instant aNow, const PendingRequest& aPending) const
{
  return permits_.RemainingQuarantine(aNow, aPending.request_.fingerprint_) > Duration(0);
}

void
GatewayRouter::OnQuarantine(Instant aNow, RequestFingerprint aFingerprint)
{
  RefuseAllWaiting(aNow, RefusalReason::Quarantined, [&](const PendingRequest& aPending) {
    return aPending.request_.fingerprint_ == aFingerprint && aPending.service_ != nullptr;
  });
}

void
GatewayRouter::OnClientGone(Instant aNow, RequestNumber aRequest)
{
  const auto found = pending_.find(aRequest);
  if (found == pending_.end()) {
    return;
  }
  auto& pending = found->second;
  if (pending.service_ == nullptr) {
    Finish(aRequest);
    return;
  }
  const auto service = pending.service_->name_;
  if (pending.attempt_ != 0 && !pending.route_->isRepeatable_) {
    pending.isClientGone_ = true;
    return;
  }
  if (pending.attempt_ != 0) {
    actions_.Cancel(pending.attempt_);
    pending.path_.End(aNow, *paths_, pending.server_, PathResult::Unknown);
    permits_.ReportSendEnd(CancelledSend(pending.attempt_));
    loads_.at(pending.server_).OnCancelled(pending.attempt_);
    attempts_.erase(pending.attempt_);
  }
  Finish(aRequest);
  SendQueued(aNow, service);
}

void
GatewayRouter::OnTime(Instant aNow)
{
  std::set<std::string> services;
  while (!timers_.empty() && timers_.begin()->first <= aNow) {
    const auto number = timers_.begin()->second;
    auto& pending = pending_.at(number);
    SetTimer(pending, Instant::max());
    if (pending.service_ == nullptr) {
      Refuse(aNow, pending, RefusalReason::NoConfiguration);
      continue;
    }
    services.insert(pending.service_->name_);
    if (pending.attempt_ != 0) {
      TimeOut(aNow, pending);
    } else if (pending.permitRequest_ != 0) {
      OnPermitRequestTimeout(aNow, pending);
    } else if (aNow >= std::min(pending.refuseAt_, pending.deadline_)) {
      RefuseWaiting(aNow, pending);
    } else {
      Queue(aNow, pending);
    }
  }
  for (const auto& service : services) {
    SendQueued(aNow, service);
  }
}

std::optional<Instant>
GatewayRouter::NextTime() const
{
  return timers_.empty() ? std::nullopt : std::optional(timers_.begin()->first);
}

void
GatewayRouter::TimeOut(Instant aNow, PendingRequest& aPending)
{
  actions_.Cancel(aPending.attempt_);
  aPending.path_.End(aNow, *paths_, aPending.server_, PathResult::NoAnswer);
  permits_.ReportSendEnd(
    { aPending.attempt_, SendResult::Broken, aNow - aPending.sentAt_, std::nullopt, Duration(0) });
  statistics_.OnAttempt(aPending.server_, AttemptEnd::Broken);
  if (const auto load = loads_.find(aPending.server_); load != loads_.end()) {
    load->second.OnTimeOut(aNow, aPending.attempt_);
  }
  attempts_.erase(aPending.attempt_);
  aPending.attempt_ = 0;
  ++aPending.runs_;
  if (aPending.isClientGone_) {
    Finish(aPending.request_.number_);
    return;
  }
  Refuse(aNow, aPending, RefusalReason::OutOfTime);
}

void
GatewayRouter::RefuseWaiting(Instant aNow, PendingRequest& aPending)
{
  LeaveQueue(aPending);
  Refuse(
    aNow, aPending, aPending.runs_ > 0 ? RefusalReason::OutcomeUnknown : aPending.blockReason_);
}

void
GatewayRouter::RefuseAllWaiting(Instant aNow,
                                RefusalReason aReason,
                                const std::function<bool(const PendingRequest&)>& aIsRefused)
{
  std::vector<RequestNumber> refused;
  for (const auto& [number, pending] : pending_) {
    if (pending.attempt_ == 0 && aIsRefused(pending)) {
      refused.push_back(number);
    }
  }
  for (const auto number : refused) {
    auto& pending = pending_.at(number);
    pending.blockReason_ = aReason;
    RefuseWaiting(aNow, pending);
  }
}

void
GatewayRouter::Refuse(Instant aNow, PendingRequest& aPending, RefusalReason aReason)
{
  const auto number = aPending.request_.number_;
  events_.Record(
    Event::GatewayRefusal,
    "request=" + aPending.request_.id_ +
      " fingerprint=" + FormatFingerprint(aPending.request_.fingerprint_) +
      " reason=" + std::string(kRefusalReasonNames.NameOf(aReason)) +
      " group=" + (aPending.group_ == nullptr ? "-" : aPending.group_->name_) +
      " service=" + (aPending.service_ == nullptr ? "-" : aPending.service_->name_) +
      " server=" + (aPending.server_.empty() ? "-" : aPending.server_) +
      " owner=" + (aPending.owner_.empty() ? "-" : aPending.owner_) +
      " told_wait_us=" + std::to_string(aPending.dispatcherWait_.value_or(Duration(0)).count()) +
      " sends=" + std::to_string(aPending.sends_) + " runs=" + std::to_string(aPending.runs_) +
      DescribeLastSend(aNow, aPending) +
      " age_us=" + std::to_string((aNow - aPending.arrival_).count()) +
      " time_left_us=" + std::to_string(aPending.request_.timeLeft_.value_or(Duration(0)).count()));
  statistics_.OnRefusal(NameOf(aPending.route_), aReason, aNow - aPending.arrival_);
  actions_.Refuse(number, { aReason, aPending.runs_ == 0, RetryAfterOf(aNow, aPending) });
  Finish(number);
}

Duration
GatewayRouter::RetryAfterOf(Instant aNow, PendingRequest& aPending)
{
  std::uniform_real_distribution<double> draw(kMinJitter, kMaxJitter);
  const auto quarantine = permits_.RemainingQuarantine(aNow, aPending.request_.fingerprint_);
  if (quarantine > Duration(0)) {
    return quarantine;
  }
  if (MayOutlastStop(aPending)) {
    // The other instances serve the client.
    return kMinRetryDelay;
  }
  if (!aPending.routes_) {
    return Scale(kAssumedTimeLeft, kRetryDelayPerTimeLeft);
  }
  if (aPending.service_ == nullptr) {
    const auto left = aPending.request_.timeLeft_.value_or(kAssumedTimeLeft);
    return std::min(Scale(left, kRetryDelayPerTimeLeft), Scale(kRejectedRetryDelay, draw(random_)));
  }
  // The client may retry after the time limit of a single try.
  const auto given = aPending.request_.timeLeft_.value_or(aPending.route_->timeLimit_);
  const auto left = std::max(Duration(0), Duration(aPending.arrival_ + given - aNow));
  const auto most = Scale(left, kRetryDelayPerTimeLeft);
  const auto wait =
    aPending.dispatcherWait_ ? aPending.dispatcherWait_ : ExpectedWait(aNow, aPending);
  if (!wait) {
    return most;
  }
  if (const auto managed = ManagedRetryAfter(aPending, *wait, most)) {
    return *managed;
  }
  auto& streak =
    refusalStreaks_[aPending.owner_.empty() ? aPending.service_->name_ : aPending.owner_];
  const auto lasting = streak.OnRefusal(aNow);
  return std::min(most, std::max(kMinRetryDelay, Scale(std::max(*wait, lasting), draw(random_))));
}

void
GatewayRouter::Finish(RequestNumber aRequest)
{
  auto& pending = pending_.at(aRequest);
  LeaveQueue(pending);
  WithdrawPermitRequest(pending);
  SetTimer(pending, Instant::max());
  pending_.erase(aRequest);
}

bool
GatewayRouter::TrySend(Instant aNow, PendingRequest& aPending)
{
  if (aNow < aPending.notBefore_) {
    return false;
  }
  if (!IsApiKeyProven(aNow, aPending)) {
    aPending.blockReason_ = RefusalReason::ApiKeysUnproven;
    return false;
  }
  return TryRequestPermit(aNow, aPending) || TrySendWithoutPermit(aNow, aPending);
}

bool
GatewayRouter::TrySendWithoutPermit(Instant aNow, PendingRequest& aPending)
{
  ServerCandidate chosen{};
  const auto choice = ChooseServer(aNow, aPending, chosen);
  if (choice == Choice::Found && aPending.isLate_ && !chosen.load_->HasSpareCapacity()) {
    aPending.blockReason_ = RefusalReason::NoCapacity;
    return false;
  }
  if (choice != Choice::Found) {
    aPending.blockReason_ = RefusalReasonOf(choice);
    return false;
  }
  const auto timeLeft = SendTimeLimit(aNow, aPending);
  if (!timeLeft) {
    return false;
  }
  const auto attempt = ++lastAttempt_;
  statistics_.Permits().OnSendWithoutPermit(aPending.service_->name_);
  shares_.OnSent(aNow, chosen.record_->id_);
  permits_.ReportSend(aNow,
                      { attempt,
                        aPending.service_->name_,
                        chosen.record_->id_,
                        Duration(0),
                        *timeLeft,
                        aPending.request_.fingerprint_ });
  SendTo(aNow, aPending, chosen, attempt, *timeLeft);
  return true;
}

std::optional<Duration>
GatewayRouter::SendTimeLimit(Instant aNow, const PendingRequest& aPending) const
{
  const Duration left = aPending.deadline_ - aNow - kAnswerTransitTime;
  const bool isTooLate = left < kMinSendTime || MayOutlastStop(aPending);
  return isTooLate ? std::nullopt : std::optional(left);
}

RefusalReason
GatewayRouter::RefusalReasonOf(Choice aChoice)
{
  switch (aChoice) {
    case Choice::NoServer:
      return RefusalReason::NoServer;
    case Choice::NoOwner:
      return RefusalReason::NoOwner;
    case Choice::NoCapacity:
    case Choice::Found:
      break;
  }
  return RefusalReason::NoCapacity;
}

void
GatewayRouter::SendTo(Instant aNow,
                      PendingRequest& aPending,
                      const ServerCandidate& aServer,
                      AttemptNumber aAttempt,
                      Duration aTimeLeft)
{
  LeaveQueue(aPending);
  const auto number = aPending.request_.number_;
  aPending.attempt_ = aAttempt;
  aPending.lastAttempt_ = aAttempt;
  aPending.server_ = aServer.record_->id_;
  aPending.serverIncarnation_ = aServer.record_->incarnation_;
  ++aPending.sends_;
  aPending.sentAt_ = aNow;
  aPending.connection_ = 0;
  attempts_[aAttempt] = number;
  aServer.load_->OnSent(aNow, aAttempt, aPending.route_->latencyTarget_);
  SetTimer(aPending, aPending.deadline_ + kAnswerGrace);
  aPending.path_.Begin(aNow, *paths_, aServer.record_->id_);
  SendOnPath(aPending, *aServer.record_, aTimeLeft);
}

void
GatewayRouter::WaitOrRefuse(Instant aNow, PendingRequest& aPending)
{
  const auto wait = ExpectedWait(aNow, aPending);
  const auto latency = ExpectedLatency(aPending);
  const auto inTime = aPending.inTimeUntil_ - latency;
  if (wait && aNow + *wait <= inTime) {
    aPending.refuseAt_ = inTime;
  } else if (wait && *wait <= kMaxLateWait) {
    aPending.refuseAt_ = aNow + kMaxLateWait;
  } else {
    aPending.refuseAt_ = aNow;
    RefuseWaiting(aNow, aPending);
    return;
  }
  Queue(aNow, aPending);
}

std::optional<Duration>
GatewayRouter::ExpectedWait(Instant aNow, PendingRequest& aPending)
{
  const auto wait = aPending.service_->isKeyed_ ? ExpectedWaitForOwner(aNow, aPending)
                                                : ExpectedWaitForAny(aNow, aPending);
  if (!wait) {
    return wait;
  }
  const Duration pause = std::max(aPending.notBefore_, aNow) - aNow;
  return std::max({ *wait, RemainingDelay(aNow, aPending), pause });
}

Duration
GatewayRouter::RemainingBackoff(Instant aNow, PendingRequest& aPending)
{
  return MinOverServers(
    aNow, aPending, [aNow](const ServerLoad& aLoad) { return aLoad.RemainingBackoff(aNow); });
}

Duration
GatewayRouter::RemainingDelay(Instant aNow, PendingRequest& aPending)
{
  // A dispatcher allocates the full rate of a server, of which this instance alone has only a
  // share.
  if (permits_.CanRequestPermit(aPending.service_->name_, aPending.owner_)) {
    return RemainingBackoff(aNow, aPending);
  }
  const auto ahead = QueuedAhead(aPending);
  const auto delay = MinOverServers(aNow, aPending, [aNow, ahead](const ServerLoad& aLoad) {
    return aLoad.RemainingDelay(aNow, ahead);
  });
  return std::max(delay, CapacityShareWait(aNow, aPending));
}

Duration
GatewayRouter::MinOverServers(Instant aNow,
                              PendingRequest& aPending,
                              const std::function<Duration(const ServerLoad&)>& aTimeOf)
{
  if (aPending.service_->isKeyed_) {
    ServerCandidate owner{};
    const bool hasOwner = ChooseOwner(aNow, aPending, owner) != Choice::NoOwner;
    return hasOwner ? aTimeOf(*owner.load_) : Duration(0);
  }
  auto least = Duration::max();
  for (const auto& server : StateOf(aPending.service_->name_).servers_) {
    if (!server.record_->AcceptsWork()) {
      continue;
    }
    least = std::min(least, aTimeOf(*server.load_));
    if (least == Duration(0)) {
      break;
    }
  }
  return least == Duration::max() ? Duration(0) : least;
}

std::optional<Duration>
GatewayRouter::ExpectedWaitForOwner(Instant aNow, const PendingRequest& aPending)
{
  const auto& service = aPending.service_->name_;
  const auto ownership = ownership_.find(service);
  if (ownership == ownership_.end()) {
    return ExpectedStartupWait(aNow);
  }
  const auto* range =
    aPending.request_.key_ ? ownership->second.Find(*aPending.request_.key_) : nullptr;
  if (range == nullptr) {
    return std::nullopt;
  }
  const auto* record = directory_.Find(range->owner_);
  if (!range->previous_.empty() || record == nullptr || !record->AcceptsWork()) {
    return moveTimes_[service].ExpectedRemaining(MoveAge(aNow, service, *range, record));
  }
  const auto& load = LoadOf(*record, *aPending.service_);
  return load.ExpectedQueueTime(aNow, QueuedAhead(aPending), ExpectedLatency(aPending));
}

Duration
GatewayRouter::MoveAge(Instant aNow,
                       const std::string& aService,
                       const KeyRange& aRange,
                       const ServerRecord* aOwner) const
{
  const auto moving = movingSince_.find({ aService, aRange.fence_ });
  if (moving != movingSince_.end()) {
    return aNow - moving->second;
  }
  // Without the store, the placer cannot assign another owner, however long that takes.
  const bool isLeaving = aOwner != nullptr && aOwner->IsLeaving();
  return isLeaving ? std::max(Duration(0), Duration(aNow - aOwner->leavingSince_)) : Duration(0);
}

std::optional<Duration>
GatewayRouter::ExpectedWaitForAny(Instant aNow, const PendingRequest& aPending)
{
  const auto& servers = StateOf(aPending.service_->name_).servers_;
  if (servers.empty()) {
    return ExpectedStartupWait(aNow);
  }
  std::size_t limits = 0;
  for (const auto& server : servers) {
    limits += server.record_->AcceptsWork() ? server.load_->Limit() : 0;
  }
  if (limits == 0) {
    return std::nullopt;
  }
  const auto ahead = static_cast<double>(QueuedAhead(aPending) + 1);
  return Scale(ExpectedLatency(aPending), ahead / static_cast<double>(limits));
}

std::optional<Duration>
GatewayRouter::ExpectedStartupWait(Instant aNow) const
{
  const auto until = firstRoutesAt_ + kStartupDiscoveryTime;
  return aNow < until ? std::optional(Duration(until - aNow)) : std::nullopt;
}

Duration
GatewayRouter::ExpectedLatency(const PendingRequest& aPending)
{
  const auto& servers = StateOf(aPending.service_->name_).servers_;
  const auto load = loads_.find(aPending.owner_);
  const auto mean = load == loads_.end() ? Duration(0) : load->second.MeanLatency();
  return mean > Duration(0) ? mean : TypicalLatency(servers);
}

std::size_t
GatewayRouter::QueuedAhead(const PendingRequest& aPending)
{
  std::size_t ahead = 0;
  for (const auto& place : StateOf(aPending.service_->name_).queue_) {
    const auto& other = pending_.at(place.key_);
    if (place.priority_ > aPending.Rank()) {
      break;
    }
    ahead += &other != &aPending && other.owner_ == aPending.owner_ ? 1 : 0;
  }
  return ahead;
}

void
GatewayRouter::Queue(Instant aNow, PendingRequest& aPending)
{
  StateOf(aPending.service_->name_).queue_.insert(PositionOf(aPending));
  auto time = std::min(aPending.refuseAt_, aPending.deadline_);
  if (aNow < aPending.notBefore_) {
    time = std::min(time, aPending.notBefore_);
  }
  // No other event may wake the request up when servers accept requests again.
  if (const auto left = RemainingDelay(aNow, aPending); left > Duration(0)) {
    time = std::min(time, aNow + left);
  }
  SetTimer(aPending, time);
}

void
GatewayRouter::LeaveQueue(const PendingRequest& aPending)
{
  if (aPending.service_ != nullptr) {
    StateOf(aPending.service_->name_).queue_.erase(PositionOf(aPending));
  }
}

void
GatewayRouter::SendQueued(Instant aNow, const std::string& aService)
{
  const auto queue = StateOf(aService).queue_;
  for (const auto& place : queue) {
    if (const auto found = pending_.find(place.key_); found != pending_.end()) {
      TrySend(aNow, found->second);
    }
  }
}

void
GatewayRouter::SetTimer(PendingRequest& aPending, Instant aTime)
{
  if (aPending.timer_ != Instant::max()) {
    timers_.erase({ aPending.timer_, aPending.request_.number_ });
  }
  aPending.timer_ = aTime;
  if (aTime != Instant::max()) {
    timers_.insert({ aTime, aPending.request_.number_ });
  }
}

std::size_t
GatewayRouter::Waiting() const
{
  std::size_t waiting = 0;
  for (const auto& [name, state] : services_) {
    waiting += state.queue_.size();
  }
  return waiting;
}

} // namespace latchslip
