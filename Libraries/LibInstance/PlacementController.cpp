#include "LibInstance/PlacementController.h"

#include "LibInstance/DispatchController.h"

#include <algorithm>

namespace latchslip {

namespace {

constexpr Duration kOutageBackoff = milliseconds(200);
// Pause between two rounds that had nothing to decide. A report ends it at once.
constexpr Duration kIdleRoundInterval = milliseconds(30);
constexpr Duration kReadBackDelay = milliseconds(50);

} // namespace

PlacementController::PlacementController(InstanceContext aContext,
                                         InstallFunction aInstall,
                                         ResumeFunction aResume)
  : context_(aContext)
  , install_(std::move(aInstall))
  , resume_(std::move(aResume))
{
}

PlacementController::Role&
PlacementController::GetOrCreateRole(const std::string& aService)
{
  const auto found = roles_.find(aService);
  if (found != roles_.end()) {
    return found->second;
  }
  return roles_.try_emplace(aService, Placer(aService, context_.timing_.placer_)).first->second;
}

std::size_t
PlacementController::PlacerRoleCount() const
{
  return static_cast<std::size_t>(std::count_if(
    roles_.begin(), roles_.end(), [](const auto& aEntry) { return aEntry.second.isPlacer_; }));
}

bool
PlacementController::IsCandidate(Instant aNow, const std::string& aService) const
{
  // Rendezvous hashing: the instance with the highest hash of instance and service is the
  // candidate. The services spread over the instances, and all instances agree without
  // communication.
  const auto& self = context_.membership_.Self();
  const auto own = HashPair(self, aService);
  const auto live = context_.membership_.LiveInstances(aNow);
  return !context_.membership_.IsLeaving() &&
         std::none_of(live.begin(), live.end(), [&](const LiveInstance& aInstance) {
           return !aInstance.leaving_ && HashPair(aInstance.id_, aService) > own;
         });
}

void
PlacementController::OnReport(Instant aNow, const ServerReport& aReport)
{
  auto& role = GetOrCreateRole(aReport.service_);
  if (role.isPlacer_) {
    role.placer_.OnReport(aNow, aReport);
    role.idleUntil_ = aNow;
  }
}

void
PlacementController::Tick(Instant aNow)
{
  if (!hasReadStore_ || !context_.membership_.IsSettled(aNow)) {
    return;
  }
  for (const auto& service : context_.view_.Configuration().services_) {
    auto& role = GetOrCreateRole(service.name_);
    if (role.tag_ != 0 || aNow < role.notBefore_ || aNow < role.idleUntil_) {
      continue;
    }
    if (role.isIndeterminate_) {
      ReadBack(service.name_, role);
    } else {
      Decide(aNow, service, role);
    }
  }
}

void
PlacementController::Decide(Instant aNow, const ServiceDeclaration& aService, Role& aRole)
{
  static const Placement kEmptyPlacement;
  const auto* placed = context_.view_.FindPlacement(aService.name_);
  const auto& current = placed == nullptr ? kEmptyPlacement : placed->placement_;
  const auto version = placed == nullptr ? 0 : placed->version_;
  const auto& self = context_.membership_.Self();
  const bool isPlacer = current.placer_ == self;
  if (isPlacer != aRole.isPlacer_) {
    aRole.isPlacer_ = isPlacer;
    aRole.placer_.Reset();
  }
  const bool isVacant = !context_.membership_.IsLive(aNow, current.placer_) ||
                        context_.membership_.IsLeavingInstance(current.placer_);
  const bool takesOver = !isPlacer && isVacant && IsCandidate(aNow, aService.name_);
  if (!isPlacer && !takesOver) {
    return;
  }
  auto proposal = aRole.placer_.Propose(aNow,
                                        aService,
                                        context_.view_.Configuration().profile_,
                                        current,
                                        version,
                                        context_.membership_);
  for (const auto& deferral : aRole.placer_.TakeDeferrals()) {
    context_.events_.Record(deferral.event_, "service=" + aService.name_ + " " + deferral.detail_);
  }
  if (takesOver) {
    if (!proposal && current.slices_.empty()) {
      return;
    }
    if (!proposal) {
      proposal = PlacementProposal{ current, version, {}, {} };
    }
    proposal->placement_.placer_ = self;
    ++proposal->placement_.epoch_;
    proposal->decisions_.push_back(
      { Event::PlacerTaken, "placer=" + self + " former=" + current.placer_ });
  }
  if (proposal) {
    Commit(aNow, aService.name_, aRole, std::move(*proposal));
    return;
  }
  aRole.idleUntil_ = aNow + kIdleRoundInterval;
  ResumeReturnedServers(current, aRole);
}

void
PlacementController::ResumeReturnedServers(const Placement& aCurrent, Role& aRole)
{
  for (const auto& command : aRole.placer_.TakeResumeCommands(aCurrent)) {
    const auto index = aCurrent.FindServer(command.server_);
    resume_(aCurrent.servers_[*index].holder_, command);
  }
}

void
PlacementController::Commit(Instant aNow,
                            const std::string& aService,
                            Role& aRole,
                            PlacementProposal aProposal)
{
  aProposal.placement_.token_ = MakeWriteToken(context_.membership_.Self(), NextTag());
  for (const auto& decision : aProposal.decisions_) {
    context_.events_.Record(decision.event_, "service=" + aService + " " + decision.detail_);
  }
  aRole.proposal_ = std::move(aProposal);
  Send(aService, aRole);
  static_cast<void>(aNow);
}

void
PlacementController::Send(const std::string& aService, Role& aRole)
{
  StoreCall call;
  const auto key = PlacementKey(aService);
  call.transaction_.conditions_.push_back({ key, aRole.proposal_->baseVersion_ });
  call.transaction_.writes_.push_back({ key, SerializePlacement(aRole.proposal_->placement_) });
  aRole.tag_ = NextTag();
  aRole.isReadBack_ = false;
  context_.outbox_.CallStore(aRole.tag_, call);
}

void
PlacementController::ReadBack(const std::string& aService, Role& aRole)
{
  StoreCall call;
  call.isRead_ = true;
  call.stamps_.push_back({ PlacementKey(aService), 0 });
  aRole.tag_ = NextTag();
  aRole.isReadBack_ = true;
  context_.outbox_.CallStore(aRole.tag_, call);
}

void
PlacementController::OnCommitted(Instant aNow, Role& aRole, const Row& aRow)
{
  const auto& placement = aRole.proposal_->placement_;
  context_.events_.Record(Event::PlacementCommitted,
                          "service=" + placement.service_ +
                            " version=" + std::to_string(aRow.version_) +
                            " decisions=" + std::to_string(aRole.proposal_->decisions_.size()));
  aRole.proposal_.reset();
  aRole.isIndeterminate_ = false;
  install_(aNow, aRow);
}

void
PlacementController::OnUnavailable(Instant aNow, const std::string& aService, Role& aRole)
{
  aRole.placer_.OnNotCommitted(*aRole.proposal_);
  aRole.proposal_.reset();
  aRole.isIndeterminate_ = false;
  aRole.notBefore_ = aNow + kOutageBackoff;
  // The placement did not change. In an outage every round may have something to propose, so that
  // a server that only paused is resumed between two rounds.
  const auto* placed = context_.view_.FindPlacement(aService);
  if (placed != nullptr && placed->placement_.placer_ == context_.membership_.Self()) {
    ResumeReturnedServers(placed->placement_, aRole);
  }
}

void
PlacementController::OnConflict(Instant aNow,
                                const std::string& aService,
                                Role& aRole,
                                const StoreReply& aReply)
{
  const auto* row = FindRow(aReply.rows_, PlacementKey(aService));
  const auto standing = row == nullptr ? FieldResult<Placement>(FieldError{ "row", "is absent" })
                                       : ParsePlacement(row->value_);
  if (standing && standing.value().token_ == aRole.proposal_->placement_.token_) {
    // An earlier attempt to write this token succeeded and its answer was lost.
    OnCommitted(aNow, aRole, *row);
    return;
  }
  context_.events_.Record(Event::PlacementConflict, "service=" + aService);
  aRole.placer_.OnNotCommitted(*aRole.proposal_);
  aRole.proposal_.reset();
  aRole.isIndeterminate_ = false;
  if (standing) {
    install_(aNow, *row);
  }
}

void
PlacementController::OnReadBack(Instant aNow,
                                const std::string& aService,
                                Role& aRole,
                                const StoreReply& aReply)
{
  if (aReply.status_ != StoreStatus::Done) {
    aRole.notBefore_ = aNow + kOutageBackoff;
    return;
  }
  const auto* row = FindRow(aReply.rows_, PlacementKey(aService));
  const auto version = row == nullptr ? 0 : row->version_;
  if (version == aRole.proposal_->baseVersion_) {
    // NOTE: The write has not taken effect but may still be in flight. Repeating it is safe:
    // the condition lets at most one of the two succeed.
    Send(aService, aRole);
    return;
  }
  OnConflict(aNow, aService, aRole, aReply);
}

bool
PlacementController::OnStoreReply(Instant aNow, CallTag aTag, const StoreReply& aReply)
{
  const auto found = std::find_if(roles_.begin(), roles_.end(), [&](const auto& aEntry) {
    return aTag != 0 && aEntry.second.tag_ == aTag;
  });
  if (found == roles_.end()) {
    return false;
  }
  const auto& service = found->first;
  auto& role = found->second;
  role.tag_ = 0;
  if (role.isReadBack_) {
    OnReadBack(aNow, service, role, aReply);
    return true;
  }
  switch (aReply.status_) {
    case StoreStatus::Done: {
      Row row{ PlacementKey(service),
               role.proposal_->baseVersion_ + 1,
               SerializePlacement(role.proposal_->placement_) };
      OnCommitted(aNow, role, row);
      break;
    }
    case StoreStatus::Conflict:
      OnConflict(aNow, service, role, aReply);
      break;
    case StoreStatus::Indeterminate:
      context_.events_.Record(Event::StoreUnsure, "service=" + service);
      role.isIndeterminate_ = true;
      role.notBefore_ = aNow + kReadBackDelay;
      break;
    case StoreStatus::Unavailable:
      if (role.isIndeterminate_) {
        // An earlier attempt may still take effect, so the outcome remains open.
        role.notBefore_ = aNow + kOutageBackoff;
      } else {
        OnUnavailable(aNow, service, role);
      }
      break;
  }
  return true;
}

} // namespace latchslip
