#include "LibGateway/MoveTimeEstimator.h"

namespace latchslip {

namespace {

// Number of moves in the sample: about one round of rebalancing.
constexpr std::size_t kRecent = 15;

} // namespace

MoveTimeEstimator::MoveTimeEstimator()
  : recent_(kRecent)
{
}

void
MoveTimeEstimator::OnMoved(Duration aTime)
{
  recent_.Add(aTime);
  usual_ = recent_.Ranked(recent_.Count() / 2);
}

Duration
MoveTimeEstimator::Remaining(Duration aPast) const
{
  return aPast < usual_ ? usual_ - aPast : aPast;
}

} // namespace latchslip
