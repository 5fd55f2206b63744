#include "LibFleet/StartupDeadline.h"

#include <algorithm>

namespace latchslip {

namespace {

// For the first answer of the store: many times what one takes, and less than a client's connection
// timeout.
constexpr Duration kStoreTime = seconds(1);
// For the answer of the named placer. If it was killed together with this instance, it is back as
// soon and claims the role again with one write.
constexpr Duration kPlacerTime = milliseconds(400);
// For the first placer of a new fleet: no callers have been served yet, and the strong instances
// claim within a second.
constexpr Duration kFirstPlacerTime = seconds(3);
// For the tables, once the placer has answered: about 250 KB for 1,081 servers before compression,
// which the slowest links (20 Mbit/s) carry to eight other instances in 0.8 s (estimates).
constexpr Duration kTablesTime = milliseconds(1500);

} // namespace

void
StartupDeadline::OnStart(Instant aNow)
{
  if (!hasStarted_) {
    hasStarted_ = true;
    until_ = aNow + kStoreTime;
  }
}

void
StartupDeadline::OnFleetRead(Instant aNow, bool aHasPlacer)
{
  if (!isPlacerHeard_) {
    until_ = aNow + (aHasPlacer ? kPlacerTime : kFirstPlacerTime);
  }
}

void
StartupDeadline::OnPlacerAnswered(Instant aNow)
{
  if (!isPlacerHeard_) {
    isPlacerHeard_ = true;
    until_ = aNow + kTablesTime;
  }
}

} // namespace latchslip
