#include "LibGateway/MoveTimes.h"

namespace latchslip {

namespace {

// Moves that the usual time is told from: about one round of evening out.
constexpr std::size_t kRecent = 15;

} // namespace

MoveTimes::MoveTimes()
  : recent_(kRecent)
{
}

void
MoveTimes::OnMoved(Duration aTime)
{
  recent_.Add(aTime);
  usual_ = recent_.Ranked(recent_.Count() / 2);
}

Duration
MoveTimes::Remaining(Duration aPast) const
{
  return aPast < usual_ ? usual_ - aPast : aPast;
}

} // namespace latchslip
