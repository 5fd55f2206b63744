#include "LibGateway/RateLimit.h"

#include <algorithm>

namespace latchslip {

namespace {

// Minimum rate in requests per second, also for a server that advertises less: only an answer can
// report the end of its limit.
constexpr double kLeastRate = 0.1;
// The bucket holds the tokens of this time, so that unevenly spaced requests can use the rate.
constexpr Duration kSavedTime = milliseconds(500);

} // namespace

bool
RateLimit::OnAdvertised(Instant aNow, Instant aSentAt, double aRate, double aShare)
{
  const bool isNamed = aRate < kNoRateLimit;
  // The answer may have been written before the one that advertised the limit.
  if (!isNamed && aSentAt < namedAt_) {
    return false;
  }
  const bool isNews = isNamed != IsAdvertised();
  rate_ = std::max(aRate, kLeastRate);
  if (!isNamed) {
    return isNews;
  }
  namedAt_ = aNow;
  const double rate = rate_ * aShare;
  const double most = std::max(1.0, rate * ToSeconds(kSavedTime));
  bucket_.SetTerms(aNow, { rate, most, most });
  if (isNews) {
    // What the server received before the limit already uses its capacity.
    bucket_.Fill(aNow, 0);
  }
  return isNews;
}

void
RateLimit::OnSent(Instant aNow)
{
  if (IsAdvertised()) {
    bucket_.Take(aNow);
  }
}

Duration
RateLimit::RemainingWait(Instant aNow, std::size_t aAhead) const
{
  return IsAdvertised() ? bucket_.WaitFor(aNow, aAhead + 1) : Duration(0);
}

} // namespace latchslip
