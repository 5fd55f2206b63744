#pragma once

#include "LibBase/Time.h"

#include <algorithm>

namespace latchslip {

// How long requests wait that cannot be answered in time any more: others go before them, so
// that they are served only with what is left over. Whether there is any shows in what became
// of those that waited: the bound shrinks with each that waited in vain, and grows with each
// that was served, so that about one in five waits in vain at the most.
class LatePatience
{
public:
  // As long as a client waits at the least before it comes back.
  static constexpr Duration kLeast = milliseconds(50);

  Duration Bound() const { return bound_; }
  void OnServed() { bound_ = std::min(kMost, Scale(bound_, kGrowth)); }
  void OnDenied() { bound_ = std::max(kLeast, Scale(bound_, kShrink)); }

private:
  static constexpr Duration kMost = seconds(2);
  static constexpr double kGrowth = 1.05;
  static constexpr double kShrink = 0.8;

  Duration bound_ = kLeast;
};

} // namespace latchslip
