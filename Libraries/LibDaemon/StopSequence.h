#pragma once

#include "LibBase/Time.h"

namespace latchslip {

// Stages of a graceful shutdown.
enum class StopStage
{
  // No shutdown has begun.
  None,
  // Readiness checks fail, but the load balancer may not have noticed: clients are served as
  // before.
  AwaitingBalancer,
  // Responses ask clients to close their connections.
  Draining,
  // Idle connections are closed and no new connections or requests are accepted.
  Closing,
};

// Timetable of a graceful shutdown: fail readiness checks, drain connections, close. Does no
// I/O; GatewayHost polls it from its timer and acts on the stage.
class StopSequence
{
public:
  // Starts the shutdown at aNow; later calls have no effect.
  void Begin(Instant aNow);
  bool HasBegun() const { return beganAt_ != Instant::max(); }

  StopStage StageAt(Instant aNow) const;
  // Time at which the shutdown ends even with requests in flight; Instant::max() before Begin().
  Instant EndsBy(Duration aGrace) const;
  // Returns whether the shutdown is complete. aGrace is the maximum time from Begin() to the
  // end; aIsIdle means that no request is in flight and no client is connected.
  bool IsComplete(Instant aNow, Duration aGrace, bool aIsIdle) const;

private:
  Instant beganAt_ = Instant::max();
};

} // namespace latchslip
