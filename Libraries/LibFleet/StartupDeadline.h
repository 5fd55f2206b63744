#pragma once

#include "LibBase/Time.h"

namespace latchslip {

// How long a starting instance waits for the placer to send the store's tables before it reads them
// from the store itself. When all 295 instances of a fleet started, reading alone cost 18 calls
// each; with tables from the placer they make two or three. It does no I/O.
class StartupDeadline
{
public:
  // The instance has started; only the first call has an effect.
  void OnStart(Instant aNow);
  // The fleet's rows were read; aHasPlacer tells whether they name a placer.
  void OnFleetRead(Instant aNow, bool aHasPlacer);
  // The placer answered a report and reaches the store, so that it will send the tables.
  void OnPlacerAnswered(Instant aNow);

  // Whether the instance should read the tables itself.
  bool HasExpired(Instant aNow) const { return hasStarted_ && aNow >= readTablesAt_; }

private:
  bool hasStarted_ = false;
  bool hasPlacerAnswered_ = false;
  Instant readTablesAt_ = Instant::min();
};

} // namespace latchslip
