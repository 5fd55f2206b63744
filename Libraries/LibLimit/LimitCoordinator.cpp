#include "LibLimit/LimitCoordinator.h"

#include <algorithm>
#include <cmath>

namespace latchslip {

namespace {

// Time constant in seconds of the measured request rate, and time within which over-admission is
// compensated.
constexpr double kSpanS = 1;
// Interval between two distributions of shares; three fit into the lifetime of a share.
constexpr Duration kShortInterval = milliseconds(250);
constexpr Duration kCountInterval = milliseconds(250);
// An instance without contact for this long admits an equal share of the limits.
constexpr Duration kHeardBound = kAdmittedShareLifetime;
// It may do so for this long, which exceeds the partitions for which limits must hold; after that
// the instance counts as gone.
constexpr Duration kCutOffBound = seconds(15);

} // namespace

void
LimitCoordinator::SetGroups(Instant aNow, const std::vector<CallerGroup>& aGroups)
{
  std::map<std::string, Tally, std::less<>> tallies;
  for (const auto& group : aGroups) {
    if (!group.IsLimited()) {
      continue;
    }
    const auto former = tallies_.find(group.name_);
    auto& tally = tallies[group.name_];
    if (former != tallies_.end()) {
      tally = former->second;
      if (group.rate_ < tally.group_.rate_ || group.burst_ < tally.group_.burst_) {
        tally.former_ = TermsOf(aNow, tally);
        tally.formerUntil_ = aNow + window_;
      }
    }
    tally.group_ = group;
  }
  tallies_ = std::move(tallies);
}

const CallerGroup&
LimitCoordinator::TermsOf(Instant aNow, const Tally& aTally)
{
  return aNow < aTally.formerUntil_ ? aTally.former_ : aTally.group_;
}

double
LimitCoordinator::RateOf(Instant aNow, const Tally& aTally) const
{
  return TermsOf(aNow, aTally).rate_ * heardPart_;
}

void
LimitCoordinator::Advance(Instant aNow, Tally& aTally) const
{
  if (aTally.at_ != Instant::min()) {
    const auto passed = ToSeconds(aNow - aTally.at_);
    const auto most = std::max(1.0, TermsOf(aNow, aTally).burst_);
    aTally.level_ = std::min(most, aTally.level_ + passed * RateOf(aNow, aTally));
    const auto kept = std::exp(-passed / kSpanS);
    aTally.asked_ *= kept;
    aTally.askedLate_ *= kept;
  }
  aTally.at_ = aNow;
}

void
LimitCoordinator::OnUsage(Instant aNow, const GroupUsages& aUses)
{
  for (const auto& use : aUses) {
    const auto tally = tallies_.find(use.group_);
    if (tally == tallies_.end()) {
      continue;
    }
    Advance(aNow, tally->second);
    tally->second.level_ -= use.admitted_;
    tally->second.asked_ += use.asked_;
    tally->second.askedLate_ += use.askedLate_;
  }
}

// Requests that can be answered in time take precedence: a refused caller that retries would
// otherwise take the place of one that can be served in time.
AdmittedShare
LimitCoordinator::PartOf(Instant aNow, Tally& aTally)
{
  Advance(aNow, aTally);
  const auto asked = aTally.asked_ / kSpanS;
  const auto askedLate = aTally.askedLate_ / kSpanS;
  const auto allowed = std::max(0.0, RateOf(aNow, aTally) + aTally.level_ / kSpanS);
  AdmittedShare part{ aTally.group_.name_, 1, 1 };
  if (asked > allowed) {
    part.share_ = allowed / asked;
    part.lateShare_ = 0;
  } else if (askedLate > allowed - asked) {
    part.lateShare_ = (allowed - asked) / askedLate;
  }
  return part;
}

AdmittedShares
LimitCoordinator::AdmittedSharesOf(Instant aNow, const GroupUsages& aUses)
{
  CountHeard(aNow);
  AdmittedShares parts;
  for (const auto& use : aUses) {
    if (const auto tally = tallies_.find(use.group_); tally != tallies_.end()) {
      parts.push_back(PartOf(aNow, tally->second));
    }
  }
  return parts;
}

AdmittedShares
LimitCoordinator::TakeRestrictedShares(Instant aNow)
{
  AdmittedShares parts;
  if (aNow < nextShort_) {
    return parts;
  }
  nextShort_ = aNow + kShortInterval;
  CountHeard(aNow);
  for (auto& [name, tally] : tallies_) {
    auto part = PartOf(aNow, tally);
    const bool isShort = part.share_ < 1 || part.lateShare_ < 1;
    if (isShort || tally.isShort_) {
      parts.push_back(std::move(part));
    }
    tally.isShort_ = isShort;
  }
  return parts;
}

void
LimitCoordinator::CountHeard(Instant aNow)
{
  if (aNow < nextCount_) {
    return;
  }
  nextCount_ = aNow + kCountInterval;
  std::erase_if(heard_, [&](const auto& aEntry) { return aNow - aEntry.second >= kCutOffBound; });
  const auto now = std::count_if(heard_.begin(), heard_.end(), [&](const auto& aEntry) {
    return aNow - aEntry.second < kHeardBound;
  });
  heardPart_ = heard_.empty() ? 1 : static_cast<double>(now) / static_cast<double>(heard_.size());
}

} // namespace latchslip
