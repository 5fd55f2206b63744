#include "LibGateway/RateLimit.h"

#include <algorithm>

namespace latchslip {

namespace {

// Requests a second that a server gets that takes less: only an answer tells that its limit
// has ended.
constexpr double kLeastRate = 0.1;
// So much of the rate may be saved up, so that requests which come unevenly can use it.
constexpr Duration kSavedTime = milliseconds(500);

} // namespace

bool
RateLimit::OnTold(Instant aNow, Instant aSentAt, double aRate, double aShare)
{
  const bool isNamed = aRate < kNoRateLimit;
  // The answer may have been written before the one that named the limit.
  if (!isNamed && aSentAt < namedAt_) {
    return false;
  }
  const bool isNews = isNamed != IsNamed();
  rate_ = std::max(aRate, kLeastRate);
  if (!isNamed) {
    return isNews;
  }
  namedAt_ = aNow;
  const double rate = rate_ * aShare;
  const double most = std::max(1.0, rate * ToSeconds(kSavedTime));
  bucket_.SetTerms(aNow, { rate, most, most });
  if (isNews) {
    // What the server got before is as much as it takes.
    bucket_.Fill(aNow, 0);
  }
  return isNews;
}

void
RateLimit::OnSent(Instant aNow)
{
  if (IsNamed()) {
    bucket_.Take(aNow);
  }
}

Duration
RateLimit::WaitLeft(Instant aNow, std::size_t aAhead) const
{
  return IsNamed() ? bucket_.WaitFor(aNow, aAhead + 1) : Duration(0);
}

} // namespace latchslip
