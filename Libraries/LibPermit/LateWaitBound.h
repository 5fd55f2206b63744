#pragma once

#include "LibBase/Time.h"

#include <algorithm>

namespace latchslip {

// Adaptive bound on the waiting time of late requests, whose answers can no longer be in time. They
// have the lowest priority and are served only with spare capacity. The bound is adjusted by the
// outcome of each late request: it shrinks when one is denied after its wait and grows when one is
// served, so that at most about one in five waits without success.
class LateWaitBound
{
public:
  // Lower bound; the minimum time for which a client waits before it retries.
  static constexpr Duration kMin = milliseconds(50);

  Duration Bound() const { return bound_; }
  void OnServed() { bound_ = std::min(kMax, Scale(bound_, kGrowth)); }
  void OnDenied() { bound_ = std::max(kMin, Scale(bound_, kShrink)); }

private:
  static constexpr Duration kMax = seconds(2);
  static constexpr double kGrowth = 1.05;
  static constexpr double kShrink = 0.8;

  Duration bound_ = kMin;
};

} // namespace latchslip
