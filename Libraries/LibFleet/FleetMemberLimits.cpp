// The groups' limits in FleetMember: each instance reports its usage to the placer, which is the
// limit coordinator, and the placer sends all instances the admitted shares of the groups that
// exceed their limits.

#include "LibFleet/FleetMember.h"

namespace latchslip {

void
FleetMember::UpdateLimits(Instant aNow)
{
  if (!election_.IsPlacer()) {
    if (election_.Current() && limits_.IsReportDue(aNow)) {
      actions_.SendUsage(election_.Current()->address_,
                         { settings_.self_.address_, limits_.TakeUsage(aNow) });
    }
    return;
  }
  limits_.OnCoordinatorContact(aNow);
  if (limits_.IsReportDue(aNow)) {
    const auto uses = limits_.TakeUsage(aNow);
    limitCoordinator_.OnUsage(aNow, uses);
    limits_.OnAdmittedShares(aNow, limitCoordinator_.AdmittedSharesOf(aNow, uses));
  }
  FleetUpdate update;
  update.parts_ = limitCoordinator_.TakeRestrictedShares(aNow);
  for (const auto& part : update.parts_) {
    events_.Record(Event::GroupOverLimit,
                   "group=" + part.group_ + " part=" + std::to_string(part.share_) +
                     " late_part=" + std::to_string(part.lateShare_));
  }
  if (!update.parts_.empty()) {
    limits_.OnAdmittedShares(aNow, update.parts_);
    Broadcast(update);
  }
}

void
FleetMember::StartLimitCoordinator(Instant aNow)
{
  limitCoordinator_ = LimitCoordinator(settings_.limitWindow_);
  if (view_.Routes()) {
    limitCoordinator_.SetGroups(aNow, view_.Routes()->Configuration().groups_);
  }
  for (const auto& [address, peer] : roster_.Peers()) {
    limitCoordinator_.OnInstanceContact(aNow, address);
  }
}

std::optional<AdmittedShares>
FleetMember::OnUsage(Instant aNow, const UsageReport& aReport)
{
  if (!election_.IsPlacer()) {
    return std::nullopt;
  }
  limitCoordinator_.OnInstanceContact(aNow, aReport.address_);
  limitCoordinator_.OnUsage(aNow, aReport.usages_);
  return limitCoordinator_.AdmittedSharesOf(aNow, aReport.usages_);
}

void
FleetMember::OnUsageAnswered(Instant aNow, const std::optional<AdmittedShares>& aParts)
{
  if (aParts) {
    limits_.OnCoordinatorContact(aNow);
    limits_.OnAdmittedShares(aNow, *aParts);
  }
}

} // namespace latchslip
