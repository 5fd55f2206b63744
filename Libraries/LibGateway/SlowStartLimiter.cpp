#include "LibGateway/SlowStartLimiter.h"

#include <algorithm>

namespace latchslip {

void
SlowStartLimiter::Begin(Instant aNow, Instant aUntil, double aRate, double aInitialTokens)
{
  bucket_.SetParameters(aNow, { aRate, 1, 0 });
  if (IsOver(aNow)) {
    bucket_.SetTokens(aNow, aInitialTokens);
  }
  until_ = std::max(until_, aUntil);
}

bool
SlowStartLimiter::HasCapacity(Instant aNow) const
{
  return IsOver(aNow) || bucket_.HasToken(aNow);
}

void
SlowStartLimiter::OnSent(Instant aNow)
{
  if (!IsOver(aNow)) {
    bucket_.Take(aNow);
  }
}

Duration
SlowStartLimiter::RemainingWait(Instant aNow, std::size_t aAhead) const
{
  return IsOver(aNow) ? Duration(0) : std::min(until_ - aNow, bucket_.WaitFor(aNow, aAhead + 1));
}

} // namespace latchslip
