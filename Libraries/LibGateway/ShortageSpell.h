#pragma once

#include "LibBase/Time.h"

namespace latchslip {

// For how long requests have been refused at one place. What has lasted for some time
// is expected to last as long again, so that a refused client is told to come back then.
class ShortageSpell
{
public:
  // Since when refusals have followed each other, this one included.
  Duration OnRefusal(Instant aNow)
  {
    if (aNow - lastRefusal_ > kEnd) {
      since_ = aNow;
    }
    lastRefusal_ = aNow;
    return aNow - since_;
  }

private:
  // Without a refusal for this long a spell is over: several times as long as clients
  // that were told to come back soon stay away.
  static constexpr Duration kEnd = milliseconds(500);

  Instant since_{ 0 };
  Instant lastRefusal_{ 0 };
};

} // namespace latchslip
