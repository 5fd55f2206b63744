#pragma once

#include "LibBase/Time.h"

namespace latchslip {

// The moment on this machine's monotonic clock.
inline Instant
MonotonicNow()
{
  return duration_cast<Instant>(std::chrono::steady_clock::now().time_since_epoch());
}

} // namespace latchslip
