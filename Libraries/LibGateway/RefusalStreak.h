#pragma once

#include "LibBase/Time.h"

namespace latchslip {

// Measures how long requests for one server or service have been refused without a break. A
// shortage that has lasted for some time is expected to last as long again, so that a refused
// client is given that time as its retry delay.
class RefusalStreak
{
public:
  // Records a refusal; returns the time since the first refusal of the unbroken series.
  Duration OnRefusal(Instant aNow)
  {
    if (aNow - lastRefusal_ > kStreakTimeout) {
      since_ = aNow;
    }
    lastRefusal_ = aNow;
    return aNow - since_;
  }

private:
  // A series ends after this long without a refusal: several times the shortest retry delay
  // that refused clients are given.
  static constexpr Duration kStreakTimeout = milliseconds(500);

  Instant since_{ 0 };
  Instant lastRefusal_{ 0 };
};

} // namespace latchslip
