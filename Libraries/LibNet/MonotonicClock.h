#pragma once

#include "LibBase/Time.h"

namespace latchslip {

// Returns the current time of the monotonic clock. Comparable only within one machine.
inline Instant
MonotonicNow()
{
  return duration_cast<Instant>(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace latchslip
