#include "LibKeys/KeyLoad.h"

#include <algorithm>
#include <cmath>

namespace latchslip {

namespace {

// Half-life of a request's weight. The hottest keys change within seconds, and shorter windows
// contain too few requests to tell keys apart.
constexpr Duration kHalfLife = milliseconds(2500);
// Base load of each key, so that idle keys are spread over the servers as well.
constexpr double kIdleLoad = 1e-4;

} // namespace

void
KeyCounter::Count(KeyNumber aKey)
{
  keys_.push_back(aKey);
}

std::vector<KeyCount>
KeyCounter::Take()
{
  std::sort(keys_.begin(), keys_.end());
  std::vector<KeyCount> counts;
  for (const auto key : keys_) {
    if (counts.empty() || counts.back().key_ != key) {
      counts.push_back({ key, 0 });
    }
    ++counts.back().count_;
  }
  keys_.clear();
  return counts;
}

KeyLoad::KeyLoad()
  : loads_(kLastKey + 1, 0)
  , sums_(kLastKey + 2, 0)
{
  RebuildSums();
}

void
KeyLoad::Add(Instant, const std::vector<KeyCount>& aCounts)
{
  for (const auto& [key, count] : aCounts) {
    if (key <= kLastKey) {
      loads_[key] += count;
    }
  }
}

void
KeyLoad::Refresh(Instant aNow)
{
  const auto elapsed = decayedAt_ == Instant::min() ? Duration(0) : Duration(aNow - decayedAt_);
  const double factor =
    std::exp2(-static_cast<double>(elapsed.count()) / static_cast<double>(kHalfLife.count()));
  decayedAt_ = aNow;
  for (auto& load : loads_) {
    load *= factor;
  }
  RebuildSums();
}

void
KeyLoad::RebuildSums()
{
  double sum = 0;
  for (std::size_t key = 0; key < loads_.size(); ++key) {
    sums_[key] = sum;
    sum += loads_[key] + kIdleLoad;
  }
  sums_.back() = sum;
}

double
KeyLoad::RequestCount() const
{
  return std::max(0.0, Total() - kIdleLoad * static_cast<double>(loads_.size()));
}

double
KeyLoad::Between(KeyNumber aFirst, KeyNumber aLast) const
{
  return sums_[aLast + 1] - sums_[aFirst];
}

} // namespace latchslip
