// The groups' limits in FleetMember: each instance reports its usage to the placer, which is the
// limit coordinator, and the placer sends all instances the admitted shares of the groups that
// exceed their limits.

#include "LibFleet/FleetMember.h"

namespace latchslip {

void
FleetMember::FollowLimits(Instant aNow)
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
    keeper_.OnUses(aNow, uses);
    limits_.OnParts(aNow, keeper_.PartsOf(aNow, uses));
  }
  FleetUpdate news;
  news.parts_ = keeper_.TakeShort(aNow);
  for (const auto& part : news.parts_) {
    events_.Record(Event::GroupOverLimit,
                   "group=" + part.group_ + " part=" + std::to_string(part.part_) +
                     " late_part=" + std::to_string(part.latePart_));
  }
  if (!news.parts_.empty()) {
    limits_.OnParts(aNow, news.parts_);
    Spread(news);
  }
}

void
FleetMember::StartKeeper(Instant aNow)
{
  keeper_ = LimitKeeper(settings_.limitWindow_);
  if (view_.Routes()) {
    keeper_.SetGroups(aNow, view_.Routes()->Configuration().groups_);
  }
  for (const auto& [address, peer] : roster_.Peers()) {
    keeper_.OnHeard(aNow, address);
  }
}

std::optional<GroupParts>
FleetMember::OnUsage(Instant aNow, const UseReport& aReport)
{
  if (!election_.IsPlacer()) {
    return std::nullopt;
  }
  keeper_.OnHeard(aNow, aReport.address_);
  keeper_.OnUses(aNow, aReport.uses_);
  return keeper_.PartsOf(aNow, aReport.uses_);
}

void
FleetMember::OnUsageAnswered(Instant aNow, const std::optional<GroupParts>& aParts)
{
  if (aParts) {
    limits_.OnKeeperHeard(aNow);
    limits_.OnParts(aNow, *aParts);
  }
}

} // namespace latchslip
