#include "LibGateway/RecentDurations.h"

#include <algorithm>

namespace latchslip {

void
RecentDurations::Add(Duration aDuration)
{
  if (durations_.size() < capacity_) {
    durations_.push_back(aDuration);
    return;
  }
  durations_[oldest_] = aDuration;
  oldest_ = (oldest_ + 1) % capacity_;
}

Duration
RecentDurations::Ranked(std::size_t aRank) const
{
  auto ranked = durations_;
  const auto at = ranked.begin() + static_cast<std::ptrdiff_t>(aRank);
  std::nth_element(ranked.begin(), at, ranked.end());
  return *at;
}

} // namespace latchslip
