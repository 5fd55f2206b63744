#include "LibPermit/PermitDispatcher.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <variant>
#include <vector>

namespace latchslip {

namespace {

// Value that a late answer loses, as a share of the value of one in time.
constexpr double kLateLoss = 0.5;
// An answer expected after a share x of the time in which it is in time is late with probability
// exp(-kLateSlope / x): the deviation of work times is about their mean.
constexpr double kLateSlope = 1.5;
// Cost of a server in another data hall: the transfer of a request of some kilobytes between halls.
// All costs are shares of the value of an answer.
constexpr double kOtherHallCost = 0.1;
// Cost of a server to which the requesting instance probably has no open connection.
constexpr double kNewConnectionCost = 0.02;
// Cost of an answer that uses all of the time in which it is in time, even if it is not late: a
// slot that is held longer is not available to other requests.
constexpr double kTimeCost = 0.02;
// Cost of a server that fails all requests.
constexpr double kFailureCost = 2;
// Cost of a server that has already had the request; higher than any other cost.
constexpr double kTriedCost = 100;
// Work time assumed for a service until one is measured.
constexpr Duration kDefaultWork = milliseconds(50);
// Weight of a server's work time in the moving average of its service.
constexpr double kServiceWeight = 0.02;
// A permit request is queued only while its answer would be in time even if its work took this
// multiple of the mean. Under overload the queue is always as long as allowed, and without a margin
// every other request that is served would be late. On a day at the full capacity of all servers,
// 1.5 served 0.829 of the value in place of 0.823, and on another 0.882 in place of 0.867. With 2
// the queue runs empty at times (0.830 and 0.884, but 0.004 less after prices on the mean of five
// days).
constexpr double kWorkMargin = 1.5;
// Interval between checks of the queue: servers become available again after a suspension, and rate
// limits replenish.
constexpr Duration kQueueCheckInterval = milliseconds(5);
// Interval between checks for sends whose end was not reported.
constexpr Duration kExpiryCheckInterval = milliseconds(250);
// A send whose end was not reported counts as ended this long after its client's deadline.
constexpr Duration kExpiryDelay = milliseconds(500);

} // namespace

Duration
PermitDispatcher::Service::DefaultWork() const
{
  return meanWork_ == Duration(0) ? kDefaultWork : meanWork_;
}

PermitDispatcher::PermitDispatcher(const ServerDirectory& aDirectory, DispatcherActions& aActions)
  : directory_(aDirectory)
  , actions_(aActions)
{
}

void
PermitDispatcher::SetRoutes(Instant aNow, std::shared_ptr<const RouteTable> aRoutes)
{
  routes_ = std::move(aRoutes);
  usesLoadManagement_ = routes_->UsesLoadManagement();
  if (!usesLoadManagement_) {
    returns_.Clear();
  }
  OnDirectoryChanged(aNow);
}

void
PermitDispatcher::OnDirectoryChanged(Instant aNow)
{
  if (!routes_ || !hasRequests_) {
    return;
  }
  for (auto& [name, service] : services_) {
    std::erase_if(service.servers_,
                  [&](const auto& aEntry) { return directory_.Find(aEntry.first) == nullptr; });
  }
  for (const auto& routed : routes_->Configuration().services_) {
    auto& service = services_[routed.name_];
    service.slowStartRate_ = routed.slowStartRate_;
    service.hasShards_ = usesLoadManagement_ && routed.isKeyed_;
  }
  for (const auto& [id, record] : directory_.All()) {
    if (const auto service = services_.find(record.service_); service != services_.end()) {
      service->second.servers_[id].SetRecord(record, service->second.slowStartRate_);
    }
  }
  returns_.DropScopes([&](const ReturnScope& aScope) {
    return !aScope.server_.empty() &&
           !services_.at(aScope.service_).servers_.contains(aScope.server_);
  });
  ConfirmCrashes(aNow);
  ServeAllLanes(aNow);
}

void
PermitDispatcher::OnMessage(Instant aNow, CallerId aCaller, const MessageToDispatcher& aMessage)
{
  if (!hasRequests_) {
    hasRequests_ = true;
    OnDirectoryChanged(aNow);
  }
  if (callers_.insert(aCaller).second) {
    for (const auto& quarantine : suspects_.Quarantines(aNow)) {
      actions_.Answer(aCaller, quarantine);
    }
    if (const auto left = complaints_.RemainingResignation(aNow); left > Duration(0)) {
      actions_.Answer(aCaller, DispatcherResignation{ left });
    }
  }
  if (const auto* request = std::get_if<PermitRequest>(&aMessage)) {
    if (usesLoadManagement_) {
      complaints_.OnRequest(aNow, aCaller);
    }
    OnRequest(aNow, aCaller, *request);
  } else if (const auto* withdrawal = std::get_if<PermitWithdrawal>(&aMessage)) {
    OnWithdrawal({ aCaller, withdrawal->number_ });
  } else if (const auto* notice = std::get_if<SendNotice>(&aMessage)) {
    OnNotice(aNow, aCaller, *notice);
  } else if (const auto* end = std::get_if<SendEnd>(&aMessage)) {
    OnEnd(aNow, aCaller, *end);
  } else if (const auto* crash = std::get_if<CrashNotice>(&aMessage)) {
    OnCrashNotice(aNow, *crash);
  } else if (const auto* quarantine = std::get_if<Quarantine>(&aMessage)) {
    Announce(suspects_.OnQuarantine(aNow, *quarantine));
  } else if (std::holds_alternative<DispatcherComplaint>(aMessage)) {
    OnComplaint(aNow, aCaller);
  } else {
    actions_.Answer(aCaller, DispatcherSign{});
  }
}

void
PermitDispatcher::OnRequest(Instant aNow, CallerId aCaller, const PermitRequest& aRequest)
{
  const PermitKey key(aCaller, aRequest.number_);
  if (permits_.contains(key) || queued_.contains(key)) {
    return;
  }
  const auto service = services_.find(aRequest.service_);
  if (service == services_.end()) {
    actions_.Answer(aCaller, PermitDenial{ aRequest.number_, LateWaitBound::kMin });
    return;
  }
  const auto quarantine = suspects_.RemainingQuarantine(aNow, aRequest.fingerprint_);
  if (quarantine > Duration(0)) {
    actions_.Answer(aCaller, PermitDenial{ aRequest.number_, quarantine });
    return;
  }
  auto& lanes = service->second.lanes_;
  const auto lane = lanes.find(aRequest.server_);
  const bool isFirst = lane == lanes.end() || lane->second.empty();
  const bool isLate = aRequest.inTime_ <= Duration(0);
  const bool isReturn = RecognizeReturn(aNow, service->second, aRequest);
  if (isFirst && TryIssue(aNow, service->second, key, aRequest, isLate)) {
    if (!isReturn && !isLate) {
      CountNewRequest(aNow, service->second, aRequest);
    }
    return;
  }
  QueueOrDeny(aNow, service->second, key, aRequest, isReturn);
  if (!isFirst && (!suspects_.IsEmpty() || usesLoadManagement_)) {
    // The requests ahead may be suspects that wait for their turn, or late returns.
    ServeLane(aNow, service->second, aRequest.server_);
  }
}

void
PermitDispatcher::OnWithdrawal(PermitKey aKey)
{
  if (const auto queued = queued_.find(aKey); queued != queued_.end()) {
    Dequeue(queued);
  }
}

void
PermitDispatcher::OnNotice(Instant aNow, CallerId aCaller, const SendNotice& aNotice)
{
  const PermitKey key(aCaller, aNotice.number_);
  const auto service = services_.find(aNotice.service_);
  if (service == services_.end() || permits_.contains(key)) {
    return;
  }
  RunningSend send;
  send.service_ = aNotice.service_;
  send.server_ = aNotice.server_;
  send.sentAt_ = aNow - aNotice.ago_;
  send.expiresAt_ = aNow + aNotice.timeLeft_ + kExpiryDelay;
  send.fingerprint_ = aNotice.fingerprint_;
  RegisterSend(service->second, key, std::move(send));
}

void
PermitDispatcher::RegisterSend(Service& aService, PermitKey aKey, RunningSend aSend)
{
  const auto server = aService.servers_.find(aSend.server_);
  if (server == aService.servers_.end()) {
    return;
  }
  aSend.inFlightAtStart_ = server->second.InFlight();
  server->second.OnSent(aSend.sentAt_);
  if (suspects_.IsSuspect(aSend.fingerprint_)) {
    trials_.emplace(aSend.server_, aSend.fingerprint_);
  }
  permits_.emplace(aKey, std::move(aSend));
}

void
PermitDispatcher::OnEnd(Instant aNow, CallerId aCaller, const SendEnd& aEnd)
{
  const PermitKey key(aCaller, aEnd.number_);
  OnWithdrawal(key);
  const auto permit = permits_.find(key);
  if (permit == permits_.end()) {
    return;
  }
  const auto send = std::move(permit->second);
  permits_.erase(permit);
  if (aEnd.leavingIncarnation_) {
    actions_.RecordLeaving(send.server_, *aEnd.leavingIncarnation_);
  }
  TrackCrashes(aNow, send, aEnd);
  auto& service = services_.at(send.service_);
  if (const auto server = service.servers_.find(send.server_); server != service.servers_.end()) {
    server->second.OnEnded(aNow, aCaller, send.sentAt_, send.inFlightAtStart_, aEnd);
    if (aEnd.result_ == SendResult::NotReached) {
      actions_.RecordSuspension(send.server_, aCaller, server->second.RemainingSuspension(aNow));
    }
    const auto work = server->second.NormalWorkTime();
    if (work > Duration(0)) {
      service.meanWork_ = ExponentialAverage(service.meanWork_, work, kServiceWeight);
    }
  }
  ServeLane(aNow, service, send.server_);
  ServeLane(aNow, service, "");
}

void
PermitDispatcher::TrackCrashes(Instant aNow, const RunningSend& aSend, const SendEnd& aEnd)
{
  const auto trial = trials_.find(aSend.server_);
  if (trial != trials_.end() && trial->second == aSend.fingerprint_) {
    trials_.erase(trial);
  }
  // A server that is leaving ends by plan.
  const auto* record = directory_.Find(aSend.server_);
  const bool isLeaving = record != nullptr && record->IsLeaving();
  Announce(
    suspects_.OnSendEnded(aNow,
                          { aSend.fingerprint_, aSend.server_, aEnd.incarnation_, aSend.sentAt_ },
                          aEnd.result_,
                          aEnd.latency_,
                          aEnd.isConnectionLost_ && !isLeaving));
}

void
PermitDispatcher::OnComplaint(Instant aNow, CallerId aCaller)
{
  if (!usesLoadManagement_ || !complaints_.OnComplaint(aNow, aCaller)) {
    return;
  }
  const auto time = complaints_.RemainingResignation(aNow);
  actions_.RecordResignation(complaints_.Complaining(), time);
  for (const auto caller : callers_) {
    actions_.Answer(caller, DispatcherResignation{ time });
  }
}

void
PermitDispatcher::OnCrashNotice(Instant aNow, const CrashNotice& aNotice)
{
  // Instances report each lost connection of a service with shards, also those that its servers
  // close as they leave by plan.
  const auto* record = directory_.Find(aNotice.server_);
  if (record != nullptr && record->IsLeaving()) {
    const auto service = services_.find(record->service_);
    if (service != services_.end() && service->second.hasShards_) {
      return;
    }
  }
  Announce(suspects_.OnConnectionLost({ aNotice.fingerprint_,
                                        aNotice.server_,
                                        aNotice.incarnation_,
                                        aNow - aNotice.sentAgo_,
                                        aNow - aNotice.crashedAgo_ }));
  ConfirmCrashes(aNow);
}

void
PermitDispatcher::ConfirmCrashes(Instant aNow)
{
  for (const auto& [server, incarnation] : suspects_.SuspectedServers()) {
    const auto* record = directory_.Find(server);
    if (record == nullptr || record->incarnation_ != incarnation) {
      Announce(suspects_.OnServerGone(aNow, server));
    }
  }
}

void
PermitDispatcher::Announce(const CrashSuspects::Changes& aChanges)
{
  for (const auto& change : aChanges) {
    for (const auto caller : callers_) {
      actions_.Answer(caller, change);
    }
  }
}

bool
PermitDispatcher::MayTry(Instant aNow,
                         const std::string& aServer,
                         RequestFingerprint aFingerprint) const
{
  if (!suspects_.IsSuspect(aFingerprint)) {
    return true;
  }
  const bool isAlone = std::none_of(trials_.begin(), trials_.end(), [&](const auto& aTrial) {
    return aTrial.first == aServer || aTrial.second == aFingerprint;
  });
  return isAlone && suspects_.RemainingQuarantine(aNow, aFingerprint) == Duration(0) &&
         !suspects_.IsAwaitingProof(aNow, aFingerprint);
}

void
PermitDispatcher::OnCallerGone(Instant aNow, CallerId aCaller)
{
  callers_.erase(aCaller);
  complaints_.OnCallerGone(aCaller);
  const PermitKey first(aCaller, 0);
  for (auto queued = queued_.lower_bound(first);
       queued != queued_.end() && queued->first.first == aCaller;) {
    Dequeue(queued++);
  }
  std::vector<PermitKey> ended;
  for (auto permit = permits_.lower_bound(first);
       permit != permits_.end() && permit->first.first == aCaller;
       ++permit) {
    ended.push_back(permit->first);
  }
  for (const auto& key : ended) {
    OnEnd(aNow, aCaller, CancelledSend(key.second));
  }
}

bool
PermitDispatcher::TryIssue(Instant aNow,
                           Service& aService,
                           PermitKey aKey,
                           const PermitRequest& aRequest,
                           bool aIsLate)
{
  const auto* server = ChooseServer(aNow, aService, aKey.first, aRequest, aIsLate);
  if (server == nullptr) {
    return false;
  }
  RunningSend send;
  send.service_ = aRequest.service_;
  send.server_ = *server;
  send.sentAt_ = aNow;
  send.expiresAt_ = aNow + aRequest.timeLeft_ + kExpiryDelay;
  send.fingerprint_ = aRequest.fingerprint_;
  RegisterSend(aService, aKey, std::move(send));
  actions_.Answer(aKey.first, Permit{ aKey.second, *server });
  return true;
}

const std::string*
PermitDispatcher::ChooseServer(Instant aNow,
                               const Service& aService,
                               CallerId aCaller,
                               const PermitRequest& aRequest,
                               bool aIsLate) const
{
  const auto defaultWork = aService.DefaultWork();
  const auto canTake = [&](const std::string& aId, const DispatchedServer& aServer) {
    return aServer.HasCapacity(aNow, defaultWork) && !aServer.IsBackedOff(aNow, aCaller) &&
           (!aIsLate || aServer.HasFreeSlot(aNow)) && MayTry(aNow, aId, aRequest.fingerprint_);
  };
  if (!aRequest.server_.empty()) {
    const auto server = aService.servers_.find(aRequest.server_);
    return server == aService.servers_.end() || !canTake(server->first, server->second)
             ? nullptr
             : &server->first;
  }
  const std::string* best = nullptr;
  double least = 0;
  for (const auto& [id, server] : aService.servers_) {
    if (!canTake(id, server)) {
      continue;
    }
    const double cost = CostOf(aNow, id, server, aCaller, aRequest, defaultWork);
    if (best == nullptr || cost < least) {
      best = &id;
      least = cost;
    }
  }
  return best;
}

double
PermitDispatcher::CostOf(Instant aNow,
                         const std::string& aId,
                         const DispatchedServer& aServer,
                         CallerId aCaller,
                         const PermitRequest& aRequest,
                         Duration aDefaultWork)
{
  const bool isTried =
    std::find(aRequest.tried_.begin(), aRequest.tried_.end(), aId) != aRequest.tried_.end();
  if (!isTried && aServer.IsStale(aNow)) {
    return 0;
  }
  const auto time = aRequest.inTime_ > Duration(0) ? aRequest.inTime_ : aRequest.timeLeft_;
  const double part = std::max(ToSeconds(aServer.ExpectedLatency(aNow, aDefaultWork)), 1e-6) /
                      std::max(ToSeconds(time), 1e-6);
  double cost = kLateLoss * std::exp(-kLateSlope / part) + kTimeCost * part;
  cost += aServer.Hall() == aRequest.hall_ ? 0 : kOtherHallCost;
  cost += aServer.IsConnected(aNow, aCaller) ? 0 : kNewConnectionCost;
  cost += kFailureCost * aServer.FailureShare();
  return isTried ? kTriedCost + cost : cost;
}

Duration
PermitDispatcher::ExpectedWork(Instant aNow, const Service& aService, const PermitRequest& aRequest)
{
  const auto defaultWork = aService.DefaultWork();
  const auto server = aService.servers_.find(aRequest.server_);
  return server == aService.servers_.end() ? defaultWork
                                           : server->second.WorkTime(aNow, defaultWork);
}

Duration
PermitDispatcher::ExpectedWait(Instant aNow,
                               const Service& aService,
                               const PermitRequest& aRequest,
                               const Position& aPosition)
{
  const auto defaultWork = aService.DefaultWork();
  const auto lane = aService.lanes_.find(aRequest.server_);
  std::size_t ahead = 0;
  if (lane != aService.lanes_.end()) {
    ahead = static_cast<std::size_t>(
      std::distance(lane->second.begin(), lane->second.lower_bound(aPosition)));
  }
  if (!aRequest.server_.empty()) {
    const auto server = aService.servers_.find(aRequest.server_);
    return server == aService.servers_.end()
             ? LateWaitBound::kMin
             : server->second.ExpectedQueueTime(aNow, ahead, defaultWork);
  }
  const double throughput = ExpectedThroughput(aNow, aService, "");
  constexpr double kLeastThroughput = 0.1;
  constexpr double kMicroseconds = 1e6;
  return Duration(static_cast<Duration::rep>(static_cast<double>(ahead + 1) * kMicroseconds /
                                             std::max(kLeastThroughput, throughput)));
}

void
PermitDispatcher::QueueOrDeny(Instant aNow,
                              Service& aService,
                              PermitKey aKey,
                              const PermitRequest& aRequest,
                              bool aIsReturn)
{
  const bool isLate = aRequest.inTime_ <= Duration(0);
  const auto work = ExpectedWork(aNow, aService, aRequest);
  const auto inTime = aNow + aRequest.inTime_ - Scale(work, aIsReturn ? 1 : kWorkMargin);
  // The answer must arrive before the client gives up.
  const auto latest = aRequest.timeLeft_ - work;
  const auto lateWait = aIsReturn ? latest : std::min(aService.lateWait_.Bound(), latest);
  QueuedRequest queued;
  queued.position_ = { aRequest.priority_, isLate, aNow + aRequest.timeLeft_, aKey, aIsReturn };
  const auto wait = ExpectedWait(aNow, aService, aRequest, queued.position_);
  // A server that is not listed yet either appears with the next directory update or never.
  const bool isListed = aRequest.server_.empty() || aService.servers_.contains(aRequest.server_);
  if (!isLate && isListed && aNow + wait <= inTime) {
    queued.denyAt_ = inTime;
    if (!aIsReturn) {
      CountNewRequest(aNow, aService, aRequest);
    }
  } else if (wait <= lateWait) {
    queued.position_.isLate_ = true;
    queued.denyAt_ = aNow + lateWait;
  } else {
    SendDenial(aNow, aService, aKey, aRequest, queued.position_);
    return;
  }
  queued.denyAt_ = std::min(queued.denyAt_, queued.position_.deadline_);
  queued.request_ = aRequest;
  aService.lanes_[aRequest.server_].insert(queued.position_);
  queued_.emplace(aKey, std::move(queued));
  actions_.Answer(aKey.first, PermitDelay{ aKey.second });
}

void
PermitDispatcher::Dequeue(QueuedRequests::iterator aQueued)
{
  const auto& request = aQueued->second.request_;
  if (const auto service = services_.find(request.service_); service != services_.end()) {
    auto& lanes = service->second.lanes_;
    if (const auto lane = lanes.find(request.server_); lane != lanes.end()) {
      lane->second.erase(aQueued->second.position_);
      if (lane->second.empty()) {
        lanes.erase(lane);
      }
    }
  }
  queued_.erase(aQueued);
}

void
PermitDispatcher::ServeLane(Instant aNow, Service& aService, const std::string& aLane)
{
  // Requests of instances that are in backoff for a server must not block those of other instances,
  // nor a suspect those of others, nor a late return, which needs a free slot, those in time.
  std::ptrdiff_t skipped = 0;
  for (;;) {
    const auto lane = aService.lanes_.find(aLane);
    if (lane == aService.lanes_.end() || std::ssize(lane->second) <= skipped) {
      return;
    }
    const auto entry = std::next(lane->second.begin(), skipped);
    const auto position = *entry;
    const auto queued = queued_.find(position.key_);
    const bool isLateReturn = position.isLate_ && position.isReturn_;
    // A late return must not displace a request of any priority that can be in time.
    const bool mustYield =
      isLateReturn &&
      std::any_of(entry, lane->second.end(), [](const auto& aOther) { return !aOther.isLate_; });
    if (mustYield ||
        !TryIssue(aNow, aService, position.key_, queued->second.request_, position.isLate_)) {
      const auto& request = queued->second.request_;
      if (!isLateReturn && !IsBlockedByBackoff(aNow, aService, position.key_.first, request) &&
          !suspects_.IsSuspect(request.fingerprint_)) {
        return;
      }
      ++skipped;
      continue;
    }
    if (position.isLate_ && !position.isReturn_) {
      aService.lateWait_.OnServed();
    }
    Dequeue(queued);
  }
}

bool
PermitDispatcher::IsBlockedByBackoff(Instant aNow,
                                     const Service& aService,
                                     CallerId aCaller,
                                     const PermitRequest& aRequest)
{
  // Shortcut for lanes with a required server: only that server matters.
  if (!aRequest.server_.empty()) {
    const auto server = aService.servers_.find(aRequest.server_);
    return server != aService.servers_.end() && server->second.IsBackedOff(aNow, aCaller);
  }
  return std::any_of(aService.servers_.begin(), aService.servers_.end(), [&](const auto& aEntry) {
    return aEntry.second.IsBackedOff(aNow, aCaller);
  });
}

void
PermitDispatcher::ServeAllLanes(Instant aNow)
{
  for (auto& [name, service] : services_) {
    std::vector<std::string> lanes;
    for (const auto& [lane, positions] : service.lanes_) {
      lanes.push_back(lane);
    }
    for (const auto& lane : lanes) {
      ServeLane(aNow, service, lane);
    }
  }
}

void
PermitDispatcher::Deny(Instant aNow, QueuedRequests::iterator aQueued)
{
  const auto& [key, queued] = *aQueued;
  auto& service = services_.at(queued.request_.service_);
  if (queued.position_.isLate_ && !queued.position_.isReturn_) {
    service.lateWait_.OnDenied();
  }
  SendDenial(aNow, service, key, queued.request_, queued.position_);
  Dequeue(aQueued);
}

void
PermitDispatcher::OnTime(Instant aNow)
{
  if (!queued_.empty() && aNow >= nextQueueCheck_) {
    nextQueueCheck_ = aNow + kQueueCheckInterval;
    ServeAllLanes(aNow);
    std::vector<PermitKey> due;
    for (const auto& [key, queued] : queued_) {
      if (aNow >= queued.denyAt_) {
        due.push_back(key);
      }
    }
    for (const auto& key : due) {
      Deny(aNow, queued_.find(key));
    }
  }
  if (!permits_.empty() && aNow >= nextExpiryCheck_) {
    nextExpiryCheck_ = aNow + kExpiryCheckInterval;
    ExpireSends(aNow);
  }
}

void
PermitDispatcher::ExpireSends(Instant aNow)
{
  std::vector<PermitKey> expired;
  for (const auto& [key, send] : permits_) {
    if (aNow >= send.expiresAt_) {
      expired.push_back(key);
    }
  }
  for (const auto& key : expired) {
    OnEnd(aNow, key.first, CancelledSend(key.second));
  }
}

std::optional<Instant>
PermitDispatcher::NextTime() const
{
  if (!queued_.empty()) {
    return nextQueueCheck_;
  }
  return permits_.empty() ? std::nullopt : std::optional(nextExpiryCheck_);
}

} // namespace latchslip
