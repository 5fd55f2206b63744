#include "LibDaemon/StopSequence.h"

namespace latchslip {

namespace {

// Responses ask clients to close their connections from this time on. Earlier, many of them
// would reconnect to this instance, because the load balancer still routes to it.
constexpr Duration kDrainDelay = milliseconds(1200);
// The load balancer checks every second and removes an instance after two failed checks; until
// then, plus a margin for connections already being opened, clients still connect. After this
// time idle connections are closed and nothing more is accepted, because a request accepted more
// than three seconds after the start of the stop has to finish within the grace.
constexpr Duration kCloseDelay = milliseconds(2600);
// The shutdown ends this long before the grace runs out, even with requests in flight.
constexpr Duration kStopMargin = milliseconds(400);

} // namespace

void
StopSequence::Begin(Instant aNow)
{
  if (!HasBegun()) {
    beganAt_ = aNow;
  }
}

StopStage
StopSequence::StageAt(Instant aNow) const
{
  if (!HasBegun()) {
    return StopStage::None;
  }
  const auto past = aNow - beganAt_;
  if (past < kDrainDelay) {
    return StopStage::AwaitingBalancer;
  }
  return past < kCloseDelay ? StopStage::Draining : StopStage::Closing;
}

Instant
StopSequence::EndsBy(Duration aGrace) const
{
  return HasBegun() ? beganAt_ + aGrace - kStopMargin : Instant::max();
}

bool
StopSequence::IsComplete(Instant aNow, Duration aGrace, bool aIsIdle) const
{
  const auto stage = StageAt(aNow);
  if (stage == StopStage::None || stage == StopStage::AwaitingBalancer) {
    return false;
  }
  const bool isDone = stage == StopStage::Closing && aIsIdle;
  return isDone || aNow >= EndsBy(aGrace);
}

} // namespace latchslip
