#include "LibFleet/StartWait.h"

#include <algorithm>

namespace latchslip {

namespace {

// For the first answer of the store: many times what one takes, and less than a client
// waits for a connection.
constexpr Duration kStoreTime = seconds(1);
// For a placer that is named to answer. It may have been killed together with this
// instance: it is back as soon, and claims its place with one write.
constexpr Duration kPlacerTime = milliseconds(400);
// For a first placer: nobody was ever served, and the strong claim within a second.
constexpr Duration kFirstPlacerTime = seconds(3);
// For the tables, once the placer has answered: some 250 KB for 1,081 servers before they are
// deflated, which the weakest links (20 Mbit/s) carry to eight others in 0.8 s (estimates).
constexpr Duration kTablesTime = milliseconds(1500);

} // namespace

void
StartWait::OnStart(Instant aNow)
{
  if (!hasStarted_) {
    hasStarted_ = true;
    until_ = aNow + kStoreTime;
  }
}

void
StartWait::OnFleetRead(Instant aNow, bool aHasPlacer)
{
  if (!isPlacerHeard_) {
    until_ = aNow + (aHasPlacer ? kPlacerTime : kFirstPlacerTime);
  }
}

void
StartWait::OnPlacerAnswered(Instant aNow)
{
  if (!isPlacerHeard_) {
    isPlacerHeard_ = true;
    until_ = aNow + kTablesTime;
  }
}

} // namespace latchslip
