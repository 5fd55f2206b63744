// How requests get permits from dispatchers: the part of RequestDesk that asks.

#include "LibGateway/RequestDesk.h"

namespace latchslip {

namespace {

// A dispatcher says in this time whether there will be a permit: many times the way there
// and back within a region, with a busy processor at both ends.
constexpr Duration kFirstAnswer = milliseconds(40);
// A promised permit that has not come so long after its answer would be in time is not
// waited for any longer: the dispatcher has ended it by then, if it lives.
constexpr Duration kPromiseGrace = milliseconds(50);
// After a permit for a server that this instance must not use, the views of both are given
// this long to agree: about as long as news are on their way.
constexpr Duration kDisagreementPause = milliseconds(30);

} // namespace

bool
RequestDesk::TryAsk(Instant aNow, PendingRequest& aPending)
{
  const auto& service = *aPending.service_;
  if (!permits_.CanRequestPermit(service.name_)) {
    return false;
  }
  if (service.isKeyed_) {
    ServerCandidate owner{};
    if (ChooseOwner(aNow, aPending, owner) == Choice::NoOwner) {
      aPending.obstacle_ = RefusalReason::NoOwner;
      return false;
    }
  }
  if (RestLeft(aNow, aPending) > Duration(0)) {
    aPending.obstacle_ = RefusalReason::NoCapacity;
    return false;
  }
  LeaveQueue(aPending);
  aPending.ask_ = ++lastAttempt_;
  aPending.isPromised_ = false;
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
RequestDesk::TakeAsk(AttemptNumber aNumber)
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
RequestDesk::DropAsk(PendingRequest& aPending)
{
  if (aPending.ask_ != 0) {
    permits_.Withdraw(aPending.ask_);
    asks_.erase(aPending.ask_);
    aPending.ask_ = 0;
  }
}

std::optional<ServerCandidate>
RequestDesk::PermittedServer(Instant aNow, PendingRequest& aPending, const std::string& aServer)
{
  const auto* record = directory_.Find(aServer);
  if (record == nullptr || !record->TakesWork() || record->service_ != aPending.service_->name_) {
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
  return load.RestLeft(aNow) > Duration(0) ? std::nullopt
                                           : std::optional(ServerCandidate{ record, &load });
}

SendEnd
RequestDesk::GivenBackPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer) const
{
  auto end = CancelledSend(aNumber);
  if (const auto load = loads_.find(aServer); load != loads_.end()) {
    end.rest_ = load->second.RestLeft(aNow);
  }
  const auto* record = directory_.Find(aServer);
  if (record != nullptr && record->hasToldLeaving_) {
    end.leavingIncarnation_ = record->incarnation_;
  }
  return end;
}

void
RequestDesk::OnPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer)
{
  auto* pending = TakeAsk(aNumber);
  if (pending == nullptr) {
    permits_.ReportSendEnd(CancelledSend(aNumber));
    return;
  }
  const auto timeLeft = TimeToSend(aNow, *pending);
  const auto server = PermittedServer(aNow, *pending, aServer);
  if (server && timeLeft) {
    SendTo(aNow, *pending, *server, aNumber, *timeLeft);
    return;
  }
  permits_.ReportSendEnd(GivenBackPermit(aNow, aNumber, aServer));
  pending->notBefore_ = aNow + kDisagreementPause;
  WaitOrRefuse(aNow, *pending);
}

void
RequestDesk::OnPermitDelayed(Instant aNow, AttemptNumber aNumber)
{
  const auto ask = asks_.find(aNumber);
  if (ask == asks_.end()) {
    return;
  }
  auto& pending = pending_.at(ask->second);
  pending.isPromised_ = true;
  SetTimer(pending,
           std::min(pending.deadline_, std::max(pending.inTimeUntil_, aNow) + kPromiseGrace));
}

void
RequestDesk::OnPermitDenied(Instant aNow, AttemptNumber aNumber, Duration aWait)
{
  if (auto* pending = TakeAsk(aNumber)) {
    pending->toldWait_ = aWait;
    pending->obstacle_ = RefusalReason::NoCapacity;
    RefuseWaiting(aNow, *pending);
  }
}

void
RequestDesk::OnPermitRequestLost(Instant aNow, AttemptNumber aNumber)
{
  auto* pending = TakeAsk(aNumber);
  if (pending != nullptr && !TrySend(aNow, *pending)) {
    WaitOrRefuse(aNow, *pending);
  }
}

void
RequestDesk::OnAskDue(Instant aNow, PendingRequest& aPending)
{
  DropAsk(aPending);
  permits_.OnUnanswered(aNow, aPending.service_->name_);
  if (aPending.isPromised_) {
    aPending.obstacle_ = RefusalReason::NoCapacity;
    RefuseWaiting(aNow, aPending);
  } else if (!TrySendAlone(aNow, aPending)) {
    WaitOrRefuse(aNow, aPending);
  }
}

} // namespace latchslip
