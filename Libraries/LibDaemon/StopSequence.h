#pragma once

#include "LibBase/Time.h"

namespace latchslip {

// How far a planned stop has come.
enum class StopStage
{
  // No stop has begun.
  None,
  // The balancer may not have noticed; clients are served as before.
  Unnoticed,
  // Clients are told to close their connections.
  TellingClients,
  // Idle connections are closed and nothing more is taken.
  Closing,
};

// When the steps of a planned stop are due. It does no I/O.
class StopSequence
{
public:
  // Begins the stop; a later call does nothing.
  void Begin(Instant aNow);
  bool HasBegun() const { return beganAt_ != Instant::max(); }

  StopStage StageAt(Instant aNow) const;
  // Whether the stop is complete. aGrace is how long the instance may run on at
  // most; aIsQuiet: no request is under way and no client is connected.
  bool IsOver(Instant aNow, Duration aGrace, bool aIsQuiet) const;

private:
  Instant beganAt_ = Instant::max();
};

} // namespace latchslip
