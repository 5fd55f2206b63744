#include "LibGateway/CallerPatience.h"

#include <algorithm>

namespace latchslip {

namespace {

// Requests that the whole time is told from: some seconds of a busy route.
constexpr std::size_t kRecent = 64;
// It is told anew after so many more.
constexpr std::size_t kLearnEvery = 16;
// This part of the requests has at most the whole time. First tries are more than a
// tenth of the requests while each caller tries less than ten times, and the few that
// have more time than all others do not count.
constexpr double kQuantile = 0.9;

} // namespace

void
CallerPatience::OnRequest(Duration aTimeLeft)
{
  if (recent_.size() < kRecent) {
    recent_.push_back(aTimeLeft);
  } else {
    recent_[next_] = aTimeLeft;
    next_ = (next_ + 1) % kRecent;
  }
  if (whole_ > Duration(0) && ++sinceLearnt_ < kLearnEvery) {
    return;
  }
  sinceLearnt_ = 0;
  auto times = recent_;
  const auto at =
    times.begin() + static_cast<std::ptrdiff_t>(kQuantile * static_cast<double>(times.size() - 1));
  std::nth_element(times.begin(), at, times.end());
  whole_ = *at;
}

Duration
CallerPatience::AgeOf(Duration aTimeLeft) const
{
  return std::max(Duration(0), whole_ - aTimeLeft);
}

} // namespace latchslip
