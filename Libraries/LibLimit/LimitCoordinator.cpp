#include "LibLimit/LimitCoordinator.h"

#include <algorithm>
#include <cmath>

namespace latchslip {

namespace {

// Time constant in seconds of the measured request rate, and time within which over-admission is
// compensated.
constexpr double kRateTimeConstantS = 1;
// Interval between two distributions of shares; three fit into the lifetime of a share.
constexpr Duration kDistributionInterval = milliseconds(250);
constexpr Duration kReachabilityInterval = milliseconds(250);
// An instance without contact for this long admits an equal share of the limits.
constexpr Duration kContactTimeout = kAdmittedShareLifetime;
// It may do so for this long, which exceeds the partitions for which limits must hold; after that
// the instance counts as gone.
constexpr Duration kMaxPartitionTime = seconds(15);

} // namespace

void
LimitCoordinator::SetGroups(Instant aNow, const std::vector<CallerGroup>& aGroups)
{
  std::map<std::string, GroupState, std::less<>> groups;
  for (const auto& group : aGroups) {
    if (!group.IsLimited()) {
      continue;
    }
    const auto previous = groups_.find(group.name_);
    auto& state = groups[group.name_];
    if (previous != groups_.end()) {
      state = previous->second;
      if (group.rate_ < state.group_.rate_ || group.burst_ < state.group_.burst_) {
        state.previous_ = LimitsOf(aNow, state);
        state.previousUntil_ = aNow + window_;
      }
    }
    state.group_ = group;
  }
  groups_ = std::move(groups);
}

const CallerGroup&
LimitCoordinator::LimitsOf(Instant aNow, const GroupState& aState)
{
  return aNow < aState.previousUntil_ ? aState.previous_ : aState.group_;
}

double
LimitCoordinator::RateOf(Instant aNow, const GroupState& aState) const
{
  return LimitsOf(aNow, aState).rate_ * reachableFraction_;
}

void
LimitCoordinator::Advance(Instant aNow, GroupState& aState) const
{
  if (aState.at_ != Instant::min()) {
    const auto passed = ToSeconds(aNow - aState.at_);
    const auto most = std::max(1.0, LimitsOf(aNow, aState).burst_);
    aState.tokens_ = std::min(most, aState.tokens_ + passed * RateOf(aNow, aState));
    const auto kept = std::exp(-passed / kRateTimeConstantS);
    aState.requests_ *= kept;
    aState.lateRequests_ *= kept;
  }
  aState.at_ = aNow;
}

void
LimitCoordinator::OnUsage(Instant aNow, const GroupUsages& aUsages)
{
  for (const auto& usage : aUsages) {
    const auto state = groups_.find(usage.group_);
    if (state == groups_.end()) {
      continue;
    }
    Advance(aNow, state->second);
    state->second.tokens_ -= usage.admitted_;
    state->second.requests_ += usage.requests_;
    state->second.lateRequests_ += usage.lateRequests_;
  }
}

// Requests that can be answered in time take precedence: a refused caller that retries would
// otherwise take the place of one that can be served in time.
AdmittedShare
LimitCoordinator::AdmittedShareOf(Instant aNow, GroupState& aState)
{
  Advance(aNow, aState);
  const auto requests = aState.requests_ / kRateTimeConstantS;
  const auto lateRequests = aState.lateRequests_ / kRateTimeConstantS;
  const auto allowed = std::max(0.0, RateOf(aNow, aState) + aState.tokens_ / kRateTimeConstantS);
  AdmittedShare share{ aState.group_.name_, 1, 1 };
  if (requests > allowed) {
    share.share_ = allowed / requests;
    share.lateShare_ = 0;
  } else if (lateRequests > allowed - requests) {
    share.lateShare_ = (allowed - requests) / lateRequests;
  }
  return share;
}

AdmittedShares
LimitCoordinator::AdmittedSharesOf(Instant aNow, const GroupUsages& aUsages)
{
  UpdateReachableFraction(aNow);
  AdmittedShares shares;
  for (const auto& usage : aUsages) {
    if (const auto state = groups_.find(usage.group_); state != groups_.end()) {
      shares.push_back(AdmittedShareOf(aNow, state->second));
    }
  }
  return shares;
}

AdmittedShares
LimitCoordinator::TakeRestrictedShares(Instant aNow)
{
  AdmittedShares shares;
  if (aNow < nextDistribution_) {
    return shares;
  }
  nextDistribution_ = aNow + kDistributionInterval;
  UpdateReachableFraction(aNow);
  for (auto& [name, state] : groups_) {
    auto share = AdmittedShareOf(aNow, state);
    const bool isRestricted = share.share_ < 1 || share.lateShare_ < 1;
    if (isRestricted || state.isRestricted_) {
      shares.push_back(std::move(share));
    }
    state.isRestricted_ = isRestricted;
  }
  return shares;
}

void
LimitCoordinator::UpdateReachableFraction(Instant aNow)
{
  if (aNow < nextReachabilityUpdate_) {
    return;
  }
  nextReachabilityUpdate_ = aNow + kReachabilityInterval;
  std::erase_if(lastContact_,
                [&](const auto& aEntry) { return aNow - aEntry.second >= kMaxPartitionTime; });
  const auto now = std::count_if(lastContact_.begin(), lastContact_.end(), [&](const auto& aEntry) {
    return aNow - aEntry.second < kContactTimeout;
  });
  reachableFraction_ =
    lastContact_.empty() ? 1 : static_cast<double>(now) / static_cast<double>(lastContact_.size());
}

} // namespace latchslip
