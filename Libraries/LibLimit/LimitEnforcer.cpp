#include "LibLimit/LimitEnforcer.h"

#include <algorithm>
#include <utility>

namespace latchslip {

namespace {

// Interval between two reports: a group at five times its limit has used what the limit allows in
// a second after a fifth of one.
constexpr Duration kReportInterval = milliseconds(200);
// Report interval for each instance in the fleet, so that the coordinator receives some two
// thousand reports per second from a fleet of any size.
constexpr Duration kReportIntervalPerInstance = microseconds(500);
// Number of instances assumed while it is not known.
constexpr std::size_t kAssumedInstances = 100;
// Maximum credit, so that a pause of a group's callers does not accumulate requests.
constexpr double kMaxCredit = 2;

} // namespace

bool
LimitEnforcer::IsCoordinatorReachable(Instant aNow) const
{
  return coordinatorContactAt_ != Instant::min() &&
         aNow - coordinatorContactAt_ < kAdmittedShareLifetime;
}

bool
LimitEnforcer::TryAdmit(Instant aNow, const CallerGroup& aGroup, bool aIsLate)
{
  if (!aGroup.IsLimited()) {
    return true;
  }
  auto& meter = meters_[aGroup.name_];
  ++(aIsLate ? meter.usage_.lateRequests_ : meter.usage_.requests_);
  hasUsage_ = true;
  bool isAdmitted = false;
  const bool isRestricted = meter.share_.share_ < 1 || meter.share_.lateShare_ < 1;
  if (aNow < meter.shareUntil_ && isRestricted) {
    isAdmitted = aIsLate ? TryTakeShare(meter.share_.lateShare_, meter.lateCredit_)
                         : TryTakeShare(meter.share_.share_, meter.credit_);
  } else if (IsCoordinatorReachable(aNow) && !isRestricted) {
    // No single instance admits more than all may together.
    isAdmitted = TryTakeToken(aNow, meter, aGroup.rate_, aGroup.burst_, false);
  } else {
    const auto instanceShare =
      1.0 / static_cast<double>(instances_ == 0 ? kAssumedInstances : instances_);
    isAdmitted =
      TryTakeToken(aNow, meter, aGroup.rate_ * instanceShare, aGroup.burst_ * instanceShare, true);
  }
  meter.usage_.admitted_ += isAdmitted ? 1 : 0;
  return isAdmitted;
}

bool
LimitEnforcer::TryTakeShare(double aShare, double& aCredit)
{
  aCredit = std::min(kMaxCredit, aCredit + aShare);
  if (aCredit < 1) {
    return false;
  }
  aCredit -= 1;
  return true;
}

bool
LimitEnforcer::TryTakeToken(Instant aNow,
                            Meter& aMeter,
                            double aRate,
                            double aBurst,
                            bool aIsIsolated)
{
  const auto most = std::max(1.0, aBurst);
  if (aMeter.filledAt_ == Instant::min()) {
    aMeter.tokens_ = most;
  } else if (aIsIsolated && !aMeter.isIsolated_) {
    // The burst may have been used already, while the coordinator counted.
    aMeter.tokens_ = 0;
  } else {
    const auto gained = ToSeconds(aNow - aMeter.filledAt_) * aRate;
    aMeter.tokens_ = std::min(most, aMeter.tokens_ + gained);
  }
  aMeter.isIsolated_ = aIsIsolated;
  aMeter.filledAt_ = aNow;
  if (aMeter.tokens_ < 1) {
    return false;
  }
  aMeter.tokens_ -= 1;
  return true;
}

bool
LimitEnforcer::IsReportDue(Instant aNow) const
{
  if (!hasUsage_) {
    return false;
  }
  const auto interval =
    std::max(kReportInterval, kReportIntervalPerInstance * static_cast<Duration::rep>(instances_));
  return reportedAt_ == Instant::min() || aNow - reportedAt_ >= interval;
}

GroupUsages
LimitEnforcer::TakeUsage(Instant aNow)
{
  reportedAt_ = aNow;
  hasUsage_ = false;
  GroupUsages usages;
  for (auto& [name, meter] : meters_) {
    if (meter.usage_.requests_ + meter.usage_.lateRequests_ > 0) {
      meter.usage_.group_ = name;
      usages.push_back(std::exchange(meter.usage_, {}));
    }
  }
  return usages;
}

void
LimitEnforcer::OnAdmittedShares(Instant aNow, const AdmittedShares& aShares)
{
  for (const auto& share : aShares) {
    auto& meter = meters_[share.group_];
    meter.share_ = share;
    meter.shareUntil_ = aNow + kAdmittedShareLifetime;
  }
}

} // namespace latchslip
