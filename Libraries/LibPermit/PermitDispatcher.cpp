#include "LibPermit/PermitDispatcher.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <variant>
#include <vector>

namespace latchslip {

namespace {

// What a late answer is worth less than one in time, as a part of the request's worth.
constexpr double kLateLoss = 0.5;
// Answers that are expected after a part x of the time in which they are in time are late
// with probability exp(-kLateSlope / x): work times differ by about their mean.
constexpr double kLateSlope = 1.5;
// What a server in another data hall costs, as a part of the request's worth: the bytes of
// a request of some kilobytes between halls.
constexpr double kOtherHallCost = 0.1;
// What a server costs to which the asking instance most likely has no open connection.
constexpr double kNewConnectionCost = 0.02;
// What all of the time in which an answer is in time costs, even if it is not late: slots
// that are held longer are missing to others.
constexpr double kTimeCost = 0.02;
// What a request to a server costs that fails all of them.
constexpr double kFailureCost = 2;
// A server that had the request already is worse than any other.
constexpr double kTriedCost = 100;
// Work time that is assumed of a service until one is seen.
constexpr Duration kUnknownWork = milliseconds(50);
// Weight of a server's work time in the service's.
constexpr double kServiceWeight = 0.02;
// An ask waits only while it would still be in time if its work took this multiple of the
// mean. In a shortage the queue is always as long as it may be, so that without a margin
// every other one of those that are served is late: with 1.5, 0.829 of the worth was served
// in place of 0.823 on a day at the full work of all servers, and 0.882 in place of 0.867 on
// another; with 2 the queue runs empty at times (0.830 and 0.884, but 0.004 less after
// prices on the mean of five days).
constexpr double kWorkMargin = 1.5;
// Between two looks at what waits: servers that were left alone take requests again, and
// rates are saved up.
constexpr Duration kLookInterval = milliseconds(5);
// Between two looks for sends whose end nobody told.
constexpr Duration kDropInterval = milliseconds(250);
// A send that was not told to have ended is over for certain so long after its client's
// time.
constexpr Duration kOverAfter = milliseconds(500);

} // namespace

Duration
PermitDispatcher::Service::UsualWork() const
{
  return work_ == Duration(0) ? kUnknownWork : work_;
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
  OnDirectoryChanged(aNow);
}

void
PermitDispatcher::OnDirectoryChanged(Instant aNow)
{
  if (!routes_ || !isAsked_) {
    return;
  }
  for (auto& [name, service] : services_) {
    std::erase_if(service.servers_,
                  [&](const auto& aEntry) { return directory_.Find(aEntry.first) == nullptr; });
  }
  for (const auto& routed : routes_->Configuration().services_) {
    services_[routed.name_].slowStartRate_ = routed.slowStartRate_;
  }
  for (const auto& [id, record] : directory_.All()) {
    if (const auto service = services_.find(record.service_); service != services_.end()) {
      service->second.servers_[id].SetRecord(record, service->second.slowStartRate_);
    }
  }
  PumpAll(aNow);
}

void
PermitDispatcher::OnMessage(Instant aNow, CallerId aCaller, const MessageToDispatcher& aMessage)
{
  if (!isAsked_) {
    isAsked_ = true;
    OnDirectoryChanged(aNow);
  }
  if (const auto* ask = std::get_if<PermitAsk>(&aMessage)) {
    OnAsk(aNow, aCaller, *ask);
  } else if (const auto* withdrawal = std::get_if<PermitWithdrawal>(&aMessage)) {
    OnWithdrawal({ aCaller, withdrawal->number_ });
  } else if (const auto* notice = std::get_if<SendNotice>(&aMessage)) {
    OnNotice(aNow, aCaller, *notice);
  } else if (const auto* end = std::get_if<SendEnd>(&aMessage)) {
    OnEnd(aNow, aCaller, *end);
  } else {
    actions_.Answer(aCaller, DispatcherSign{});
  }
}

void
PermitDispatcher::OnAsk(Instant aNow, CallerId aCaller, const PermitAsk& aAsk)
{
  const PermitKey key(aCaller, aAsk.number_);
  if (permits_.contains(key) || waiting_.contains(key)) {
    return;
  }
  const auto service = services_.find(aAsk.service_);
  if (service == services_.end()) {
    actions_.Answer(aCaller, PermitDenial{ aAsk.number_, LatePatience::kLeast });
    return;
  }
  auto& lanes = service->second.lanes_;
  const auto lane = lanes.find(aAsk.server_);
  const bool isFirst = lane == lanes.end() || lane->second.empty();
  const bool isLate = aAsk.inTime_ <= Duration(0);
  if (isFirst && TryGrant(aNow, service->second, key, aAsk, isLate)) {
    return;
  }
  WaitOrDeny(aNow, service->second, key, aAsk);
}

void
PermitDispatcher::OnWithdrawal(PermitKey aKey)
{
  if (const auto waiting = waiting_.find(aKey); waiting != waiting_.end()) {
    Leave(waiting);
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
  send.overAt_ = aNow + aNotice.timeLeft_ + kOverAfter;
  Note(service->second, key, std::move(send));
}

void
PermitDispatcher::Note(Service& aService, PermitKey aKey, RunningSend aSend)
{
  const auto server = aService.servers_.find(aSend.server_);
  if (server == aService.servers_.end()) {
    return;
  }
  aSend.found_ = server->second.InFlight();
  server->second.OnSent(aSend.sentAt_);
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
  if (aEnd.leavingLife_) {
    actions_.RecordLeaving(send.server_, *aEnd.leavingLife_);
  }
  auto& service = services_.at(send.service_);
  if (const auto server = service.servers_.find(send.server_); server != service.servers_.end()) {
    server->second.OnEnded(aNow, aCaller, send.sentAt_, send.found_, aEnd);
    const auto work = server->second.UsualWorkTime();
    if (work > Duration(0)) {
      service.work_ = Blend(service.work_, work, kServiceWeight);
    }
  }
  Pump(aNow, service, send.server_);
  Pump(aNow, service, "");
}

void
PermitDispatcher::OnCallerGone(Instant aNow, CallerId aCaller)
{
  const PermitKey first(aCaller, 0);
  for (auto waiting = waiting_.lower_bound(first);
       waiting != waiting_.end() && waiting->first.first == aCaller;) {
    Leave(waiting++);
  }
  std::vector<PermitKey> gone;
  for (auto permit = permits_.lower_bound(first);
       permit != permits_.end() && permit->first.first == aCaller;
       ++permit) {
    gone.push_back(permit->first);
  }
  for (const auto& key : gone) {
    OnEnd(aNow, aCaller, CancelledSend(key.second));
  }
}

bool
PermitDispatcher::TryGrant(Instant aNow,
                           Service& aService,
                           PermitKey aKey,
                           const PermitAsk& aAsk,
                           bool aIsLate)
{
  const auto* server = ChooseServer(aNow, aService, aKey.first, aAsk, aIsLate);
  if (server == nullptr) {
    return false;
  }
  RunningSend send;
  send.service_ = aAsk.service_;
  send.server_ = *server;
  send.sentAt_ = aNow;
  send.overAt_ = aNow + aAsk.timeLeft_ + kOverAfter;
  Note(aService, aKey, std::move(send));
  actions_.Answer(aKey.first, Permit{ aKey.second, *server });
  return true;
}

const std::string*
PermitDispatcher::ChooseServer(Instant aNow,
                               const Service& aService,
                               CallerId aCaller,
                               const PermitAsk& aAsk,
                               bool aIsLate)
{
  const auto usual = aService.UsualWork();
  const auto isFit = [&](const DispatchedServer& aServer) {
    return aServer.HasCapacity(aNow, usual) && !aServer.IsResting(aNow, aCaller) &&
           (!aIsLate || aServer.HasFreeSlot(aNow));
  };
  if (!aAsk.server_.empty()) {
    const auto server = aService.servers_.find(aAsk.server_);
    return server == aService.servers_.end() || !isFit(server->second) ? nullptr : &server->first;
  }
  const std::string* best = nullptr;
  double least = 0;
  for (const auto& [id, server] : aService.servers_) {
    if (!isFit(server)) {
      continue;
    }
    const double cost = CostOf(aNow, id, server, aCaller, aAsk, usual);
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
                         const PermitAsk& aAsk,
                         Duration aUsual)
{
  const bool isTried = std::find(aAsk.tried_.begin(), aAsk.tried_.end(), aId) != aAsk.tried_.end();
  if (!isTried && aServer.IsForgotten(aNow)) {
    return 0;
  }
  const auto time = aAsk.inTime_ > Duration(0) ? aAsk.inTime_ : aAsk.timeLeft_;
  const double part = std::max(ToSeconds(aServer.ExpectedLatency(aNow, aUsual)), 1e-6) /
                      std::max(ToSeconds(time), 1e-6);
  double cost = kLateLoss * std::exp(-kLateSlope / part) + kTimeCost * part;
  cost += aServer.Hall() == aAsk.hall_ ? 0 : kOtherHallCost;
  cost += aServer.IsConnected(aNow, aCaller) ? 0 : kNewConnectionCost;
  cost += kFailureCost * aServer.FailureShare();
  return isTried ? kTriedCost + cost : cost;
}

Duration
PermitDispatcher::ExpectedWork(Instant aNow, const Service& aService, const PermitAsk& aAsk)
{
  const auto usual = aService.UsualWork();
  const auto server = aService.servers_.find(aAsk.server_);
  return server == aService.servers_.end() ? usual : server->second.WorkTime(aNow, usual);
}

Duration
PermitDispatcher::ExpectedWait(Instant aNow,
                               const Service& aService,
                               const PermitAsk& aAsk,
                               const Place& aPlace)
{
  const auto usual = aService.UsualWork();
  const auto lane = aService.lanes_.find(aAsk.server_);
  std::size_t ahead = 0;
  if (lane != aService.lanes_.end()) {
    ahead = static_cast<std::size_t>(
      std::distance(lane->second.begin(), lane->second.lower_bound(aPlace)));
  }
  if (!aAsk.server_.empty()) {
    const auto server = aService.servers_.find(aAsk.server_);
    return server == aService.servers_.end() ? LatePatience::kLeast
                                             : server->second.ExpectedQueueTime(aNow, ahead, usual);
  }
  double throughput = 0;
  for (const auto& [id, server] : aService.servers_) {
    throughput += server.Throughput(aNow, usual);
  }
  constexpr double kLeastThroughput = 0.1;
  constexpr double kMicroseconds = 1e6;
  return Duration(static_cast<Duration::rep>(static_cast<double>(ahead + 1) * kMicroseconds /
                                             std::max(kLeastThroughput, throughput)));
}

void
PermitDispatcher::WaitOrDeny(Instant aNow, Service& aService, PermitKey aKey, const PermitAsk& aAsk)
{
  const bool isLate = aAsk.inTime_ <= Duration(0);
  const auto work = ExpectedWork(aNow, aService, aAsk);
  const auto inTime = aNow + aAsk.inTime_ - Scale(work, kWorkMargin);
  // It must be answered before its client leaves.
  const auto lateWait = std::min(aService.patience_.Bound(), aAsk.timeLeft_ - work);
  WaitingAsk waiting;
  waiting.place_ = { aAsk.priority_, isLate, aNow + aAsk.timeLeft_, aKey };
  const auto wait = ExpectedWait(aNow, aService, aAsk, waiting.place_);
  // A server that is not listed here yet will be when its news have come, or never.
  const bool isListed = aAsk.server_.empty() || aService.servers_.contains(aAsk.server_);
  if (!isLate && isListed && aNow + wait <= inTime) {
    waiting.denyAt_ = inTime;
  } else if (wait <= lateWait) {
    waiting.place_.isLate_ = true;
    waiting.denyAt_ = aNow + lateWait;
  } else {
    actions_.Answer(aKey.first, PermitDenial{ aKey.second, wait });
    return;
  }
  waiting.denyAt_ = std::min(waiting.denyAt_, waiting.place_.deadline_);
  waiting.ask_ = aAsk;
  aService.lanes_[aAsk.server_].insert(waiting.place_);
  waiting_.emplace(aKey, std::move(waiting));
  actions_.Answer(aKey.first, PermitDelay{ aKey.second });
}

void
PermitDispatcher::Leave(WaitingAsks::iterator aWaiting)
{
  const auto& ask = aWaiting->second.ask_;
  if (const auto service = services_.find(ask.service_); service != services_.end()) {
    auto& lanes = service->second.lanes_;
    if (const auto lane = lanes.find(ask.server_); lane != lanes.end()) {
      lane->second.erase(aWaiting->second.place_);
      if (lane->second.empty()) {
        lanes.erase(lane);
      }
    }
  }
  waiting_.erase(aWaiting);
}

void
PermitDispatcher::Pump(Instant aNow, Service& aService, const std::string& aLane)
{
  // Asks of instances from which a server wants rest do not keep others from it.
  std::ptrdiff_t passedOver = 0;
  for (;;) {
    const auto lane = aService.lanes_.find(aLane);
    if (lane == aService.lanes_.end() || std::ssize(lane->second) <= passedOver) {
      return;
    }
    const auto place = *std::next(lane->second.begin(), passedOver);
    const auto waiting = waiting_.find(place.key_);
    if (!TryGrant(aNow, aService, place.key_, waiting->second.ask_, place.isLate_)) {
      if (!IsRestInTheWay(aNow, aService, place.key_.first, waiting->second.ask_)) {
        return;
      }
      ++passedOver;
      continue;
    }
    if (place.isLate_) {
      aService.patience_.OnServed();
    }
    Leave(waiting);
  }
}

bool
PermitDispatcher::IsRestInTheWay(Instant aNow,
                                 const Service& aService,
                                 CallerId aCaller,
                                 const PermitAsk& aAsk)
{
  // A lane of one owner does not look at all servers of the service.
  if (!aAsk.server_.empty()) {
    const auto server = aService.servers_.find(aAsk.server_);
    return server != aService.servers_.end() && server->second.IsResting(aNow, aCaller);
  }
  return std::any_of(aService.servers_.begin(), aService.servers_.end(), [&](const auto& aEntry) {
    return aEntry.second.IsResting(aNow, aCaller);
  });
}

void
PermitDispatcher::PumpAll(Instant aNow)
{
  for (auto& [name, service] : services_) {
    std::vector<std::string> lanes;
    for (const auto& [lane, places] : service.lanes_) {
      lanes.push_back(lane);
    }
    for (const auto& lane : lanes) {
      Pump(aNow, service, lane);
    }
  }
}

void
PermitDispatcher::Deny(Instant aNow, WaitingAsks::iterator aWaiting)
{
  const auto& [key, waiting] = *aWaiting;
  auto& service = services_.at(waiting.ask_.service_);
  const auto wait = ExpectedWait(aNow, service, waiting.ask_, waiting.place_);
  if (waiting.place_.isLate_) {
    service.patience_.OnDenied();
  }
  actions_.Answer(key.first, PermitDenial{ key.second, wait });
  Leave(aWaiting);
}

void
PermitDispatcher::OnTime(Instant aNow)
{
  if (!waiting_.empty() && aNow >= nextLook_) {
    nextLook_ = aNow + kLookInterval;
    PumpAll(aNow);
    std::vector<PermitKey> due;
    for (const auto& [key, waiting] : waiting_) {
      if (aNow >= waiting.denyAt_) {
        due.push_back(key);
      }
    }
    for (const auto& key : due) {
      Deny(aNow, waiting_.find(key));
    }
  }
  if (!permits_.empty() && aNow >= nextDrop_) {
    nextDrop_ = aNow + kDropInterval;
    DropOver(aNow);
  }
}

void
PermitDispatcher::DropOver(Instant aNow)
{
  std::vector<PermitKey> over;
  for (const auto& [key, send] : permits_) {
    if (aNow >= send.overAt_) {
      over.push_back(key);
    }
  }
  for (const auto& key : over) {
    OnEnd(aNow, key.first, CancelledSend(key.second));
  }
}

std::optional<Instant>
PermitDispatcher::NextTime() const
{
  if (!waiting_.empty()) {
    return nextLook_;
  }
  return permits_.empty() ? std::nullopt : std::optional(nextDrop_);
}

} // namespace latchslip
