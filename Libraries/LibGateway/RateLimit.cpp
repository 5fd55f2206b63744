#include "LibGateway/RateLimit.h"

#include <algorithm>

namespace latchslip {

namespace {

// Minimum rate in requests per second, also for a server that advertises less: only an answer can
// report the end of its limit.
constexpr double kMinRate = 0.1;
// The bucket holds the tokens of this time, so that unevenly spaced requests can use the rate.
constexpr Duration kBurstTime = milliseconds(500);

} // namespace

bool
RateLimit::OnAdvertised(Instant aNow, Instant aSentAt, double aRate, double aShare)
{
  const bool isNamed = aRate < kNoRateLimit;
  // The answer may have been written before the one that advertised the limit.
  if (!isNamed && aSentAt < advertisedAt_) {
    return false;
  }
  const bool isChange = isNamed != IsAdvertised();
  rate_ = std::max(aRate, kMinRate);
  if (!isNamed) {
    return isChange;
  }
  advertisedAt_ = aNow;
  const double rate = rate_ * aShare;
  const double most = std::max(1.0, rate * ToSeconds(kBurstTime));
  bucket_.SetParameters(aNow, { rate, most, most });
  if (isChange) {
    // What the server received before the limit already uses its capacity.
    bucket_.SetTokens(aNow, 0);
  }
  return isChange;
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
