#include "LibKeys/LeaseBounds.h"

#include <algorithm>

namespace latchslip {

void
LeaseBounds::Start(std::map<std::string, Instant> aUncertainLeases)
{
  ownGrants_.clear();
  formerGrants_.clear();
  uncertainLeases_ = std::move(aUncertainLeases);
}

void
LeaseBounds::Extend(Instant aNow, const std::string& aServer, KeySpan aKeys, Instant aUntil)
{
  auto& bounds = ownGrants_[aServer];
  std::erase_if(bounds, [&](const KeyBound& aBound) { return aBound.until_ <= aNow; });
  const auto known = std::find_if(
    bounds.begin(), bounds.end(), [&](const KeyBound& aBound) { return aBound.keys_ == aKeys; });
  if (known == bounds.end()) {
    bounds.push_back({ aKeys, aUntil });
  } else {
    known->until_ = std::max(known->until_, aUntil);
  }
}

void
LeaseBounds::SetFormer(const std::string& aServer, Instant aUntil)
{
  formerGrants_[aServer] = aUntil;
}

void
LeaseBounds::LimitFormer(Instant aLatest)
{
  for (auto& [server, until] : formerGrants_) {
    until = std::min(until, aLatest);
  }
}

void
LeaseBounds::DropFormer(const std::string& aServer)
{
  formerGrants_.erase(aServer);
  uncertainLeases_.erase(aServer);
}

Instant
LeaseBounds::LatestExpiry(const std::string& aServer, KeySpan aKeys) const
{
  auto until = Instant::min();
  for (const auto* bounds : { &formerGrants_, &uncertainLeases_ }) {
    if (const auto bound = bounds->find(aServer); bound != bounds->end()) {
      until = std::max(until, bound->second);
    }
  }
  if (const auto own = ownGrants_.find(aServer); own != ownGrants_.end()) {
    for (const auto& bound : own->second) {
      until = bound.keys_.Overlaps(aKeys) ? std::max(until, bound.until_) : until;
    }
  }
  return until;
}

} // namespace latchslip
