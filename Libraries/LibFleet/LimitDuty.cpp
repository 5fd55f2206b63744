// The part of FleetMember that holds groups to their limits: each instance tells the placer,
// who is the keeper of the limits, what it meets, and the placer tells all which groups ask
// for more than they may have.

#include "LibFleet/FleetMember.h"

namespace latchslip {

void
FleetMember::FollowLimits(Instant aNow)
{
  if (!election_.IsPlacer()) {
    if (election_.Current() && limits_.IsReportDue(aNow)) {
      actions_.SendUses(election_.Current()->address_,
                        { settings_.self_.address_, limits_.TakeUsage(aNow) });
    }
    return;
  }
  limits_.OnCoordinatorContact(aNow);
  if (limits_.IsReportDue(aNow)) {
    const auto uses = limits_.TakeUsage(aNow);
    keeper_.OnUsage(aNow, uses);
    limits_.OnAdmittedShares(aNow, keeper_.AdmittedSharesOf(aNow, uses));
  }
  FleetNews news;
  news.parts_ = keeper_.TakeRestrictedShares(aNow);
  for (const auto& part : news.parts_) {
    events_.Record(Event::GroupOverLimit,
                   "group=" + part.group_ + " part=" + std::to_string(part.share_) +
                     " late_part=" + std::to_string(part.lateShare_));
  }
  if (!news.parts_.empty()) {
    limits_.OnAdmittedShares(aNow, news.parts_);
    Spread(news);
  }
}

void
FleetMember::StartLimitCoordinator(Instant aNow)
{
  keeper_ = LimitCoordinator(settings_.limitWindow_);
  if (view_.Routes()) {
    keeper_.SetGroups(aNow, view_.Routes()->Configuration().groups_);
  }
  for (const auto& [address, peer] : roster_.Peers()) {
    keeper_.OnInstanceContact(aNow, address);
  }
}

std::optional<AdmittedShares>
FleetMember::OnUsage(Instant aNow, const UsageReport& aReport)
{
  if (!election_.IsPlacer()) {
    return std::nullopt;
  }
  keeper_.OnInstanceContact(aNow, aReport.address_);
  keeper_.OnUsage(aNow, aReport.usages_);
  return keeper_.AdmittedSharesOf(aNow, aReport.usages_);
}

void
FleetMember::OnUsesAnswered(Instant aNow, const std::optional<AdmittedShares>& aParts)
{
  if (aParts) {
    limits_.OnCoordinatorContact(aNow);
    limits_.OnAdmittedShares(aNow, *aParts);
  }
}

} // namespace latchslip
