#include "LibAdmission/ReturnSlices.h"

#include <algorithm>

namespace latchslip {

void
ReturnSlices::Add(Instant aMoment, bool aIsLate)
{
  auto& count = counts_[SliceOf(aMoment)];
  ++(aIsLate ? count.late_ : count.inTime_);
}

void
ReturnSlices::Remove(Instant aMoment, bool aIsLate)
{
  const auto entry = counts_.find(SliceOf(aMoment));
  if (entry == counts_.end()) {
    return;
  }
  auto& count = entry->second;
  auto& returns = aIsLate ? count.late_ : count.inTime_;
  returns -= std::min(returns, 1U);
  if (count.inTime_ == 0 && count.late_ == 0) {
    counts_.erase(entry);
  }
}

unsigned
ReturnSlices::Returns(Slice aSlice, Slice aFirst, bool aIsLate) const
{
  unsigned returns = 0;
  const auto end = counts_.upper_bound(aSlice);
  for (auto entry = aSlice == aFirst ? counts_.begin() : counts_.lower_bound(aSlice); entry != end;
       ++entry) {
    returns += entry->second.inTime_ + (aIsLate ? entry->second.late_ : 0);
  }
  return returns;
}

bool
ReturnSlices::Fits(Instant aNow, const ReturnForecast& aForecast, bool aIsLate, Slice aSlice) const
{
  const auto first = SliceOf(aNow);
  const auto last = SliceOf(aNow + kHorizon);
  const double spare = aForecast.throughput_ - aForecast.newRequests_;
  const double most = std::max(1.0, spare * ToSeconds(kSlice));
  double tokens = -aForecast.throughput_ * ToSeconds(aForecast.queueTime_);
  for (auto slice = first; slice <= last; ++slice) {
    const auto begin = std::max(aNow, Instant(slice * kSlice));
    tokens = std::min(most, tokens + spare * ToSeconds((slice + 1) * kSlice - begin));
    const auto returns = Returns(slice, first, aIsLate) + (slice == aSlice ? 1 : 0);
    tokens -= returns;
    if (slice >= aSlice && returns > 0 && tokens < 0) {
      return false;
    }
  }
  return true;
}

std::optional<Instant>
ReturnSlices::FindSpare(Instant aNow, const ReturnForecast& aForecast, bool aIsLate) const
{
  const double spare = aForecast.throughput_ - aForecast.newRequests_;
  if (spare <= 0) {
    return std::nullopt;
  }
  const auto first = SliceOf(aNow + aForecast.queueTime_);
  const auto last = SliceOf(aNow + kHorizon);
  for (auto slice = first; slice < last; ++slice) {
    if (Fits(aNow, aForecast, aIsLate, slice)) {
      // Spreads the returns of one slice.
      const double room = std::max(1.0, spare * ToSeconds(kSlice));
      const double place = (Returns(slice, SliceOf(aNow), aIsLate) + 1) / (room + 1);
      const auto moment = slice * kSlice + Scale(kSlice, std::min(place, 1 - 1e-3));
      return std::max(aNow + aForecast.queueTime_, Instant(moment));
    }
  }
  return std::nullopt;
}

} // namespace latchslip
