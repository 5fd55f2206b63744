// The groups' limits in FleetMember: each instance reports its usage to the placer, which is the
// limit coordinator, and the placer sends all instances the admitted shares of the groups that
// exceed their limits.

#include "LibFleet/FleetMember.h"

namespace latchslip {

void
FleetMember::UpdateLimits(Instant aNow)
{
  if (!election_.IsPlacer()) {
    if (election_.Current() && limits_.IsTellDue(aNow)) {
      actions_.SendUsage(election_.Current()->address_,
                         { settings_.self_.address_, limits_.TakeUses(aNow) });
    }
    return;
  }
  limits_.OnKeeperHeard(aNow);
  if (limits_.IsTellDue(aNow)) {
    const auto uses = limits_.TakeUses(aNow);
    limitCoordinator_.OnUses(aNow, uses);
    limits_.OnParts(aNow, limitCoordinator_.PartsOf(aNow, uses));
  }
  FleetUpdate update;
  update.parts_ = limitCoordinator_.TakeShort(aNow);
  for (const auto& part : update.parts_) {
    events_.Record(Event::GroupOverLimit,
                   "group=" + part.group_ + " part=" + std::to_string(part.share_) +
                     " late_part=" + std::to_string(part.lateShare_));
  }
  if (!update.parts_.empty()) {
    limits_.OnParts(aNow, update.parts_);
    Broadcast(update);
  }
}

void
FleetMember::StartLimitCoordinator(Instant aNow)
{
  limitCoordinator_ = LimitKeeper(settings_.limitWindow_);
  if (view_.Routes()) {
    limitCoordinator_.SetGroups(aNow, view_.Routes()->Configuration().groups_);
  }
  for (const auto& [address, peer] : roster_.Peers()) {
    limitCoordinator_.OnHeard(aNow, address);
  }
}

std::optional<GroupParts>
FleetMember::OnUsage(Instant aNow, const UseReport& aReport)
{
  if (!election_.IsPlacer()) {
    return std::nullopt;
  }
  limitCoordinator_.OnHeard(aNow, aReport.address_);
  limitCoordinator_.OnUses(aNow, aReport.uses_);
  return limitCoordinator_.PartsOf(aNow, aReport.uses_);
}

void
FleetMember::OnUsageAnswered(Instant aNow, const std::optional<GroupParts>& aParts)
{
  if (aParts) {
    limits_.OnCoordinatorContact(aNow);
    limits_.OnAdmittedShares(aNow, *aParts);
  }
}

} // namespace latchslip
