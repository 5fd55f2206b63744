#include "LibKeys/LeaseBounds.h"

#include <algorithm>

namespace latchslip {

void
LeaseBounds::Start(std::map<std::string, Instant> aDoubts)
{
  own_.clear();
  former_.clear();
  doubts_ = std::move(aDoubts);
}

void
LeaseBounds::Extend(Instant aNow, const std::string& aServer, KeySpan aKeys, Instant aUntil)
{
  auto& bounds = own_[aServer];
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
  former_[aServer] = aUntil;
}

void
LeaseBounds::LimitFormer(Instant aLatest)
{
  for (auto& [server, until] : former_) {
    until = std::min(until, aLatest);
  }
}

void
LeaseBounds::ForgetFormer(const std::string& aServer)
{
  former_.erase(aServer);
  doubts_.erase(aServer);
}

Instant
LeaseBounds::Of(const std::string& aServer, KeySpan aKeys) const
{
  auto until = Instant::min();
  for (const auto* bounds : { &former_, &doubts_ }) {
    if (const auto bound = bounds->find(aServer); bound != bounds->end()) {
      until = std::max(until, bound->second);
    }
  }
  if (const auto own = own_.find(aServer); own != own_.end()) {
    for (const auto& bound : own->second) {
      until = bound.keys_.Overlaps(aKeys) ? std::max(until, bound.until_) : until;
    }
  }
  return until;
}

} // namespace latchslip
