#include "LibDaemon/StopSequence.h"

namespace latchslip {

namespace {

// A stopping instance tells clients to close their connections from this time
// on: earlier, many would come back to it.
constexpr Duration kTellClients = milliseconds(1200);
// The balancer asks every second and takes an instance out after two refusals;
// until then, and a little for connections on their way, clients still come.
// Then idle connections are closed and nothing more is taken: what is taken later
// than three seconds after the stop must end within the grace.
constexpr Duration kBalancerNotice = milliseconds(2600);
// A stop ends this long before the grace, whatever is under way.
constexpr Duration kLastMoments = milliseconds(400);

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
  if (past < kTellClients) {
    return StopStage::Unnoticed;
  }
  return past < kBalancerNotice ? StopStage::TellingClients : StopStage::Closing;
}

bool
StopSequence::IsOver(Instant aNow, Duration aGrace, bool aIsQuiet) const
{
  const auto stage = StageAt(aNow);
  if (stage == StopStage::None || stage == StopStage::Unnoticed) {
    return false;
  }
  const bool isDone = stage == StopStage::Closing && aIsQuiet;
  return isDone || aNow - beganAt_ >= aGrace - kLastMoments;
}

} // namespace latchslip
