#include "LibFleet/StartupDeadline.h"

#include <algorithm>

namespace latchslip {

namespace {

// For the first answer of the store: many times what one takes, and less than a client's connection
// timeout.
constexpr Duration kStoreAnswerTimeout = seconds(1);
// For the answer of the named placer. If it was killed together with this instance, it is back as
// soon and claims the role again with one write.
constexpr Duration kPlacerAnswerTimeout = milliseconds(400);
// For the first placer of a new fleet: no callers have been served yet, and the strong instances
// claim within a second.
constexpr Duration kFirstPlacerTimeout = seconds(3);
// For the tables, once the placer has answered: about 250 KB for 1,081 servers before compression,
// which the slowest links (20 Mbit/s) carry to eight other instances in 0.8 s (estimates).
constexpr Duration kTablesTimeout = milliseconds(1500);

} // namespace

void
StartupDeadline::OnStart(Instant aNow)
{
  if (!hasStarted_) {
    hasStarted_ = true;
    readTablesAt_ = aNow + kStoreAnswerTimeout;
  }
}

void
StartupDeadline::OnFleetRead(Instant aNow, bool aHasPlacer)
{
  if (!hasPlacerAnswered_) {
    readTablesAt_ = aNow + (aHasPlacer ? kPlacerAnswerTimeout : kFirstPlacerTimeout);
  }
}

void
StartupDeadline::OnPlacerAnswered(Instant aNow)
{
  if (!hasPlacerAnswered_) {
    hasPlacerAnswered_ = true;
    readTablesAt_ = aNow + kTablesTimeout;
  }
}

} // namespace latchslip
