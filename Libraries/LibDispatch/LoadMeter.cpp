#include "LibDispatch/LoadMeter.h"

#include <algorithm>

namespace latchslip {

void
LoadMeter::Add(KeyHash aHash, KeyHash aSliceStart, Duration aBusy)
{
  total_ += aBusy;
  slices_[aSliceStart] += aBusy;
  auto counter = std::find_if(counters_.begin(), counters_.end(), [&](const Counter& aCounter) {
    return aCounter.hash_ == aHash && aCounter.busy_ > Duration{ 0 };
  });
  if (counter == counters_.end()) {
    counter = std::min_element(
      counters_.begin(), counters_.end(), [](const Counter& aLeft, const Counter& aRight) {
        return aLeft.busy_ < aRight.busy_;
      });
    counter->hash_ = aHash;
    counter->error_ = counter->busy_;
  }
  counter->busy_ += aBusy;
}

void
LoadMeter::WriteReport(Duration aSpan, ServerReport& aReport)
{
  const auto span = static_cast<double>(std::max<std::int64_t>(aSpan.count(), 1));
  const auto toLoad = [&](Duration aBusy) { return static_cast<double>(aBusy.count()) / span; };
  aReport.hasLoad_ = true;
  aReport.load_ = toLoad(total_);
  aReport.slices_.clear();
  for (const auto& [start, busy] : slices_) {
    aReport.slices_.push_back({ start, toLoad(busy) });
  }
  const auto certain = [](const Counter& aCounter) { return aCounter.busy_ - aCounter.error_; };
  const auto hottest = std::max_element(
    counters_.begin(), counters_.end(), [&](const Counter& aLeft, const Counter& aRight) {
      return certain(aLeft) < certain(aRight);
    });
  aReport.hottestKey_ = hottest->hash_;
  aReport.hottestLoad_ = toLoad(certain(*hottest));
  total_ = Duration{ 0 };
  slices_.clear();
  counters_.fill(Counter{});
}

} // namespace latchslip
