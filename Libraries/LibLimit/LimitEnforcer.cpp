#include "LibLimit/LimitEnforcer.h"

#include <algorithm>
#include <utility>

namespace latchslip {

namespace {

// Interval between two reports: a group at five times its limit has used what the limit allows in
// a second after a fifth of one.
constexpr Duration kTellInterval = milliseconds(200);
// Report interval for each instance in the fleet, so that the coordinator receives some two
// thousand reports per second from a fleet of any size.
constexpr Duration kTellIntervalAnInstance = microseconds(500);
// Number of instances assumed while it is not known.
constexpr std::size_t kUnknownInstances = 100;
// Maximum credit, so that a pause of a group's callers does not accumulate requests.
constexpr double kMostCredit = 2;

} // namespace

bool
LimitEnforcer::IsKeeperHeard(Instant aNow) const
{
  return keeperHeardAt_ != Instant::min() && aNow - keeperHeardAt_ < kAdmittedShareLifetime;
}

bool
LimitEnforcer::TryAdmit(Instant aNow, const CallerGroup& aGroup, bool aIsLate)
{
  if (!aGroup.IsLimited()) {
    return true;
  }
  auto& meter = meters_[aGroup.name_];
  ++(aIsLate ? meter.use_.askedLate_ : meter.use_.asked_);
  hasUses_ = true;
  bool passes = false;
  const bool isShort = meter.share_.share_ < 1 || meter.share_.lateShare_ < 1;
  if (aNow < meter.partUntil_ && isShort) {
    passes = aIsLate ? TryTakePart(meter.share_.lateShare_, meter.lateCredit_)
                     : TryTakePart(meter.share_.share_, meter.credit_);
  } else if (IsKeeperHeard(aNow) && !isShort) {
    // No single instance admits more than all may together.
    passes = TryTakeToken(aNow, meter, aGroup.rate_, aGroup.burst_, false);
  } else {
    const auto share = 1.0 / static_cast<double>(instances_ == 0 ? kUnknownInstances : instances_);
    passes = TryTakeToken(aNow, meter, aGroup.rate_ * share, aGroup.burst_ * share, true);
  }
  meter.use_.admitted_ += passes ? 1 : 0;
  return passes;
}

bool
LimitEnforcer::TryTakePart(double aPart, double& aCredit)
{
  aCredit = std::min(kMostCredit, aCredit + aPart);
  if (aCredit < 1) {
    return false;
  }
  aCredit -= 1;
  return true;
}

bool
LimitEnforcer::TryTakeToken(Instant aNow, Meter& aMeter, double aRate, double aBurst, bool aIsAlone)
{
  const auto most = std::max(1.0, aBurst);
  if (aMeter.filledAt_ == Instant::min()) {
    aMeter.tokens_ = most;
  } else if (aIsAlone && !aMeter.isAlone_) {
    // The burst has been used already, while the coordinator counted.
    aMeter.tokens_ = 0;
  } else {
    const auto gained = ToSeconds(aNow - aMeter.filledAt_) * aRate;
    aMeter.tokens_ = std::min(most, aMeter.tokens_ + gained);
  }
  aMeter.isAlone_ = aIsAlone;
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
  if (!hasUses_) {
    return false;
  }
  const auto interval =
    std::max(kTellInterval, kTellIntervalAnInstance * static_cast<Duration::rep>(instances_));
  return toldAt_ == Instant::min() || aNow - toldAt_ >= interval;
}

GroupUsages
LimitEnforcer::TakeUsage(Instant aNow)
{
  toldAt_ = aNow;
  hasUses_ = false;
  GroupUsages uses;
  for (auto& [name, meter] : meters_) {
    if (meter.use_.asked_ + meter.use_.askedLate_ > 0) {
      meter.use_.group_ = name;
      uses.push_back(std::exchange(meter.use_, {}));
    }
  }
  return uses;
}

void
LimitEnforcer::OnAdmittedShares(Instant aNow, const AdmittedShares& aParts)
{
  for (const auto& part : aParts) {
    auto& meter = meters_[part.group_];
    meter.share_ = part;
    meter.partUntil_ = aNow + kAdmittedShareLifetime;
  }
}

} // namespace latchslip
