#include "LibGateway/MoveTimeEstimator.h"

namespace latchslip {

namespace {

// Number of moves in the sample: about one round of rebalancing.
constexpr std::size_t kSampleSize = 15;

} // namespace

MoveTimeEstimator::MoveTimeEstimator()
  : recent_(kSampleSize)
{
}

void
MoveTimeEstimator::OnMoved(Duration aTime)
{
  recent_.Add(aTime);
  usual_ = recent_.Ranked(recent_.Count() / 2);
}

Duration
MoveTimeEstimator::ExpectedRemaining(Duration aElapsed) const
{
  return aElapsed < usual_ ? usual_ - aElapsed : aElapsed;
}

} // namespace latchslip
