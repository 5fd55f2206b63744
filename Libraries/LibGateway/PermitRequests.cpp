// How requests get permits from dispatchers: the part of GatewayRouter that asks.

#include "LibGateway/GatewayRouter.h"

namespace latchslip {

namespace {

// Timeout for the dispatcher's first answer to a permit request: many times the round trip within
// a region, with a busy processor at both ends.
constexpr Duration kFirstAnswer = milliseconds(40);
// Timeout for an announced permit, counted from the last moment at which an answer would be in
// time. A running dispatcher has ended the permit request by then.
constexpr Duration kPromiseGrace = milliseconds(50);
// Delay after a permit for a server that this instance must not use, so that both views can
// converge: about the delay of an update.
constexpr Duration kDisagreementPause = milliseconds(30);

} // namespace

bool
GatewayRouter::TryAsk(Instant aNow, PendingRequest& aPending)
{
  const auto& service = *aPending.service_;
  if (!permits_.CanAsk(service.name_)) {
    return false;
  }
  if (service.isKeyed_) {
    ServerCandidate owner{};
    if (ChooseOwner(aNow, aPending, owner) == Choice::NoOwner) {
      aPending.obstacle_ = RefusalReason::NoOwner;
      return false;
    }
  }
  if (RemainingBackoff(aNow, aPending) > Duration(0)) {
    aPending.obstacle_ = RefusalReason::NoCapacity;
    return false;
  }
  LeaveQueue(aPending);
  aPending.ask_ = ++lastAttempt_;
  aPending.isPermitAnnounced_ = false;
  asks_[aPending.ask_] = aPending.request_.number_;
  SetTimer(aPending, aNow + kFirstAnswer);
  permits_.RequestPermit(aNow,
                         { aPending.ask_,
                           service.name_,
                           aPending.owner_,
                           settings_.hall_,
                           aPending.tried_,
                           aPending.Rank(),
                           aPending.inTimeUntil_ - aNow,
                           aPending.deadline_ - aNow });
  return true;
}

PendingRequest*
GatewayRouter::TakeAsk(AttemptNumber aNumber)
{
  const auto ask = asks_.find(aNumber);
  if (ask == asks_.end()) {
    return nullptr;
  }
  auto& pending = pending_.at(ask->second);
  asks_.erase(ask);
  pending.ask_ = 0;
  return &pending;
}

void
GatewayRouter::DropAsk(PendingRequest& aPending)
{
  if (aPending.ask_ != 0) {
    permits_.Withdraw(aPending.ask_);
    asks_.erase(aPending.ask_);
    aPending.ask_ = 0;
  }
}

std::optional<ServerCandidate>
GatewayRouter::PermittedServer(Instant aNow, PendingRequest& aPending, const std::string& aServer)
{
  const auto* record = directory_.Find(aServer);
  if (record == nullptr || !record->AcceptsWork() || record->service_ != aPending.service_->name_) {
    return std::nullopt;
  }
  if (!IsApiKeyProven(aNow, aPending)) {
    return std::nullopt;
  }
  if (aPending.service_->isKeyed_) {
    ServerCandidate owner{};
    if (ChooseOwner(aNow, aPending, owner) == Choice::NoOwner || aPending.owner_ != aServer) {
      return std::nullopt;
    }
  }
  auto& load = LoadOf(*record, *aPending.service_);
  return load.RemainingBackoff(aNow) > Duration(0)
           ? std::nullopt
           : std::optional(ServerCandidate{ record, &load });
}

SendEnd
GatewayRouter::GivenBackPermit(Instant aNow,
                               AttemptNumber aNumber,
                               const std::string& aServer) const
{
  auto end = CancelledSend(aNumber);
  if (const auto load = loads_.find(aServer); load != loads_.end()) {
    end.backoff_ = load->second.RemainingBackoff(aNow);
  }
  const auto* record = directory_.Find(aServer);
  if (record != nullptr && record->hasAnnouncedLeaving_) {
    end.leavingLife_ = record->life_;
  }
  return end;
}

void
GatewayRouter::OnPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer)
{
  auto* pending = TakeAsk(aNumber);
  if (pending == nullptr) {
    permits_.TellEnd(CancelledSend(aNumber));
    return;
  }
  const auto timeLeft = TimeToSend(aNow, *pending);
  const auto server = PermittedServer(aNow, *pending, aServer);
  if (server && timeLeft) {
    SendTo(aNow, *pending, *server, aNumber, *timeLeft);
    return;
  }
  permits_.TellEnd(GivenBackPermit(aNow, aNumber, aServer));
  pending->notBefore_ = aNow + kDisagreementPause;
  WaitOrRefuse(aNow, *pending);
}

void
GatewayRouter::OnPermitDelayed(Instant aNow, AttemptNumber aNumber)
{
  const auto ask = asks_.find(aNumber);
  if (ask == asks_.end()) {
    return;
  }
  auto& pending = pending_.at(ask->second);
  pending.isPermitAnnounced_ = true;
  SetTimer(pending,
           std::min(pending.deadline_, std::max(pending.inTimeUntil_, aNow) + kPromiseGrace));
}

void
GatewayRouter::OnPermitDenied(Instant aNow, AttemptNumber aNumber, Duration aWait)
{
  if (auto* pending = TakeAsk(aNumber)) {
    pending->dispatcherWait_ = aWait;
    pending->obstacle_ = RefusalReason::NoCapacity;
    RefuseWaiting(aNow, *pending);
  }
}

void
GatewayRouter::OnAskLost(Instant aNow, AttemptNumber aNumber)
{
  auto* pending = TakeAsk(aNumber);
  if (pending != nullptr && !TrySend(aNow, *pending)) {
    WaitOrRefuse(aNow, *pending);
  }
}

void
GatewayRouter::OnAskDue(Instant aNow, PendingRequest& aPending)
{
  DropAsk(aPending);
  permits_.OnPermitTimeout(aNow, aPending.service_->name_);
  if (aPending.isPermitAnnounced_) {
    aPending.obstacle_ = RefusalReason::NoCapacity;
    RefuseWaiting(aNow, aPending);
  } else if (!TrySendAlone(aNow, aPending)) {
    WaitOrRefuse(aNow, aPending);
  }
}

} // namespace latchslip
