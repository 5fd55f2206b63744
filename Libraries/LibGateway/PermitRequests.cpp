// Permit requests to dispatchers in GatewayRouter.

#include "LibGateway/GatewayRouter.h"

namespace latchslip {

namespace {

// Timeout for the dispatcher's first answer to a permit request: many times the round trip within
// a region, with a busy processor at both ends.
constexpr Duration kPermitAnswerTimeout = milliseconds(40);
// Timeout for an announced permit, counted from the last moment at which an answer would be in
// time. A running dispatcher has ended the permit request by then.
constexpr Duration kAnnouncedPermitGrace = milliseconds(50);
// Delay after a permit for a server that this instance must not use, so that both views can
// converge: about the delay of an update.
constexpr Duration kViewConvergenceDelay = milliseconds(30);

} // namespace

bool
GatewayRouter::TryRequestPermit(Instant aNow, PendingRequest& aPending)
{
  const auto& service = *aPending.service_;
  if (service.isKeyed_) {
    ServerCandidate owner{};
    if (ChooseOwner(aNow, aPending, owner) == Choice::NoOwner) {
      aPending.blockReason_ = RefusalReason::NoOwner;
      return false;
    }
  }
  if (!permits_.CanRequestPermit(service.name_, aPending.owner_)) {
    return false;
  }
  if (RemainingBackoff(aNow, aPending) > Duration(0)) {
    aPending.blockReason_ = RefusalReason::NoCapacity;
    return false;
  }
  LeaveQueue(aPending);
  aPending.permitRequest_ = ++lastAttempt_;
  aPending.permitRequestedAt_ = aNow;
  aPending.isPermitAnnounced_ = false;
  permitRequests_[aPending.permitRequest_] = aPending.request_.number_;
  SetTimer(aPending, aNow + kPermitAnswerTimeout);
  permits_.RequestPermit(aNow,
                         { aPending.permitRequest_,
                           service.name_,
                           aPending.owner_,
                           settings_.hall_,
                           aPending.tried_,
                           aPending.Rank(),
                           aPending.inTimeUntil_ - aNow,
                           aPending.deadline_ - aNow,
                           aPending.request_.fingerprint_ });
  return true;
}

PendingRequest*
GatewayRouter::TakePermitRequest(AttemptNumber aNumber)
{
  const auto entry = permitRequests_.find(aNumber);
  if (entry == permitRequests_.end()) {
    return nullptr;
  }
  auto& pending = pending_.at(entry->second);
  permitRequests_.erase(entry);
  pending.permitRequest_ = 0;
  return &pending;
}

void
GatewayRouter::CountFirstAnswer(Instant aNow, const PendingRequest& aPending)
{
  if (!aPending.isPermitAnnounced_) {
    statistics_.Permits().OnFirstAnswer(aPending.service_->name_,
                                        aNow - aPending.permitRequestedAt_);
  }
}

void
GatewayRouter::WithdrawPermitRequest(PendingRequest& aPending)
{
  if (aPending.permitRequest_ != 0) {
    permits_.Withdraw(aPending.permitRequest_);
    permitRequests_.erase(aPending.permitRequest_);
    aPending.permitRequest_ = 0;
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
GatewayRouter::UnusedPermitReport(Instant aNow,
                                  AttemptNumber aNumber,
                                  const std::string& aServer) const
{
  auto end = CancelledSend(aNumber);
  if (const auto load = loads_.find(aServer); load != loads_.end()) {
    end.backoff_ = load->second.RemainingBackoff(aNow);
  }
  const auto* record = directory_.Find(aServer);
  if (record != nullptr && record->hasAnnouncedLeaving_) {
    end.leavingIncarnation_ = record->incarnation_;
  }
  return end;
}

void
GatewayRouter::OnPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer)
{
  auto* pending = TakePermitRequest(aNumber);
  if (pending == nullptr) {
    permits_.ReportSendEnd(CancelledSend(aNumber));
    return;
  }
  CountFirstAnswer(aNow, *pending);
  const auto timeLeft = SendTimeLimit(aNow, *pending);
  const auto server = PermittedServer(aNow, *pending, aServer);
  if (server && timeLeft) {
    SendTo(aNow, *pending, *server, aNumber, *timeLeft);
    return;
  }
  permits_.ReportSendEnd(UnusedPermitReport(aNow, aNumber, aServer));
  pending->notBefore_ = aNow + kViewConvergenceDelay;
  WaitOrRefuse(aNow, *pending);
}

void
GatewayRouter::OnPermitDelayed(Instant aNow, AttemptNumber aNumber)
{
  const auto entry = permitRequests_.find(aNumber);
  if (entry == permitRequests_.end()) {
    return;
  }
  auto& pending = pending_.at(entry->second);
  CountFirstAnswer(aNow, pending);
  pending.isPermitAnnounced_ = true;
  SetTimer(
    pending,
    std::min(pending.deadline_, std::max(pending.inTimeUntil_, aNow) + kAnnouncedPermitGrace));
}

void
GatewayRouter::OnPermitDenied(Instant aNow, AttemptNumber aNumber, Duration aWait, bool aIsPromised)
{
  if (auto* pending = TakePermitRequest(aNumber)) {
    CountFirstAnswer(aNow, *pending);
    pending->dispatcherWait_ = aWait;
    pending->isReturnPromised_ = aIsPromised;
    pending->blockReason_ =
      IsQuarantined(aNow, *pending) ? RefusalReason::Quarantined : RefusalReason::NoCapacity;
    RefuseWaiting(aNow, *pending);
  }
}

void
GatewayRouter::OnPermitRequestLost(Instant aNow, AttemptNumber aNumber)
{
  auto* pending = TakePermitRequest(aNumber);
  if (pending != nullptr && !TrySend(aNow, *pending)) {
    WaitOrRefuse(aNow, *pending);
  }
}

void
GatewayRouter::OnPermitRequestTimeout(Instant aNow, PendingRequest& aPending)
{
  WithdrawPermitRequest(aPending);
  permits_.OnPermitTimeout(aNow, aPending.service_->name_, aPending.owner_);
  if (aPending.isPermitAnnounced_) {
    aPending.blockReason_ = RefusalReason::NoCapacity;
    RefuseWaiting(aNow, aPending);
    return;
  }
  statistics_.Permits().OnUnanswered(aPending.service_->name_);
  if (!TrySendWithoutPermit(aNow, aPending)) {
    WaitOrRefuse(aNow, aPending);
  }
}

} // namespace latchslip
