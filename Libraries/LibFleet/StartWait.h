#pragma once

#include "LibBase/Time.h"

namespace latchslip {

// How long an instance that starts waits to be told the store's tables before it reads
// them itself. When all 295 instances of a fleet started, reading alone cost 18 calls
// each; told by the placer they make two or three. It does no I/O.
class StartWait
{
public:
  // The instance has started; only the first call counts.
  void OnStart(Instant aNow);
  // The fleet's rows were read, and name a placer or none.
  void OnFleetRead(Instant aNow, bool aHasPlacer);
  // The placer answered a report and does its work, so that it will tell the tables.
  void OnPlacerAnswered(Instant aNow);

  bool IsOver(Instant aNow) const { return hasStarted_ && aNow >= until_; }

private:
  bool hasStarted_ = false;
  bool isPlacerHeard_ = false;
  Instant until_ = Instant::min();
};

} // namespace latchslip
