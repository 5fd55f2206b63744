#pragma once

#include "LibGateway/RecentDurations.h"

namespace latchslip {

// Estimates how long a move of keys to another owner takes, to decide whether a request for keys
// in handover should wait.
class MoveTimeEstimator
{
public:
  MoveTimeEstimator();

  // A move ended, aTime after this instance learned of it.
  void OnMoved(Duration aTime);
  // Expected remaining time of a move that this instance learned of aElapsed ago. A move that has
  // outlasted the usual time is blocked, for example on a silent server; it is expected to last
  // as long again.
  Duration ExpectedRemaining(Duration aElapsed) const;

private:
  // Durations of the most recent moves.
  RecentDurations recent_;
  // Median of the recent moves, because a few wait for a silent server and each of these takes as
  // long as many others. The initial value covers the work in progress on the keys, a few tens of
  // milliseconds on most servers, and three steps of the placer.
  Duration usual_ = milliseconds(300);
};

} // namespace latchslip
