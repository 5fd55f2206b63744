#pragma once

#include "LibGateway/RecentDurations.h"

namespace latchslip {

// How long moves of keys have been taking, so that a request for keys on their way can
// be told whether it is worth waiting for them.
class MoveTimes
{
public:
  MoveTimes();

  // A move came to its end aTime after it was first heard of.
  void OnMoved(Duration aTime);
  // How much longer a move is expected to take that was heard of aPast ago. One that has
  // lasted longer than usual waits for something that does not come soon: it is expected
  // to last as long again.
  Duration Remaining(Duration aPast) const;

private:
  // The last moves.
  RecentDurations recent_;
  // Their median: few wait for a silent server, but those last as long as many others.
  // Until the first is seen: the work under way on the keys, a few tens of milliseconds
  // on most servers, and three steps of the placer.
  Duration usual_ = milliseconds(300);
};

} // namespace latchslip
