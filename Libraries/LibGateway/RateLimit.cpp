#include "LibGateway/RateLimit.h"

namespace latchslip {

bool
RateLimit::OnTold(Instant aNow, Instant aSentAt, double aRate)
{
  const bool isNamed = aRate < kNoRateLimit;
  // The answer may have been written before the one that named the limit.
  if (!isNamed && aSentAt < namedAt_) {
    return false;
  }
  const bool isNews = isNamed != IsNamed();
  rate_ = aRate;
  if (isNamed) {
    namedAt_ = aNow;
  }
  return isNews;
}

} // namespace latchslip
