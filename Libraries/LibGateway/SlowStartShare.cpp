#include "LibGateway/SlowStartShare.h"

#include <algorithm>

namespace latchslip {

void
SlowStartShare::Begin(Instant aNow, Instant aUntil, double aRate, double aFirst)
{
  saved_ = IsOver(aNow) ? aFirst : Saved(aNow);
  savedAt_ = aNow;
  until_ = std::max(until_, aUntil);
  rate_ = aRate;
}

bool
SlowStartShare::HasRoom(Instant aNow) const
{
  return IsOver(aNow) || Saved(aNow) >= 1;
}

void
SlowStartShare::OnSent(Instant aNow)
{
  if (!IsOver(aNow)) {
    saved_ = std::max(0.0, Saved(aNow) - 1);
    savedAt_ = aNow;
  }
}

double
SlowStartShare::Saved(Instant aNow) const
{
  return std::min(1.0, saved_ + rate_ * ToSeconds(aNow - savedAt_));
}

} // namespace latchslip
