#include "LibGateway/MoveTimes.h"

#include <algorithm>

namespace latchslip {

namespace {

// Moves that the usual time is told from: about one round of evening out.
constexpr std::size_t kRecent = 15;

} // namespace

void
MoveTimes::OnMoved(Duration aTime)
{
  if (recent_.size() < kRecent) {
    recent_.push_back(aTime);
  } else {
    recent_[next_] = aTime;
    next_ = (next_ + 1) % kRecent;
  }
  auto times = recent_;
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  usual_ = *middle;
}

Duration
MoveTimes::Remaining(Duration aPast) const
{
  return aPast < usual_ ? usual_ - aPast : aPast;
}

} // namespace latchslip
