#include "LibAdmission/ArrivalRates.h"

#include <algorithm>
#include <cmath>

namespace latchslip {

namespace {

// Priorities with less than this weight are removed once there are more than kMaxPriorities.
constexpr double kMinWeight = 0.01;
constexpr std::size_t kMaxPriorities = 64;
// Shortest time over which a rate is computed: one arrival does not make a high rate.
constexpr Duration kMinSpan = milliseconds(100);

double
DecayAfter(Duration aTime)
{
  return std::exp(-ToSeconds(aTime) / ToSeconds(ArrivalRates::kTimeConstant));
}

} // namespace

void
ArrivalRates::OnArrival(Instant aNow, unsigned aPriority)
{
  firstArrival_ = std::min(firstArrival_, aNow);
  auto& average = averages_[aPriority];
  average.weight_ = WeightAt(aNow, average) + 1;
  average.updatedAt_ = aNow;
  if (averages_.size() > kMaxPriorities) {
    RemoveDecayed(aNow);
  }
}

void
ArrivalRates::RemoveDecayed(Instant aNow)
{
  std::erase_if(averages_,
                [&](const auto& aEntry) { return WeightAt(aNow, aEntry.second) < kMinWeight; });
}

double
ArrivalRates::WeightAt(Instant aNow, const Average& aAverage)
{
  return aAverage.weight_ * DecayAfter(std::max(Duration(0), Duration(aNow - aAverage.updatedAt_)));
}

double
ArrivalRates::RatePerWeight(Instant aNow) const
{
  const auto span = std::max(kMinSpan, Duration(aNow - firstArrival_));
  return 1 / (ToSeconds(kTimeConstant) * (1 - DecayAfter(span)));
}

double
ArrivalRates::RateUpTo(Instant aNow, unsigned aPriority) const
{
  double weight = 0;
  for (const auto& [priority, average] : averages_) {
    weight += priority <= aPriority ? WeightAt(aNow, average) : 0;
  }
  return weight == 0 ? 0 : weight * RatePerWeight(aNow);
}

double
ArrivalRates::TotalRate(Instant aNow) const
{
  return averages_.empty() ? 0 : RateUpTo(aNow, averages_.rbegin()->first);
}

} // namespace latchslip
