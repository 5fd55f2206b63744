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

CallerPatience::CallerPatience()
  : recent_(kRecent)
{
}

void
CallerPatience::OnRequest(Duration aTimeLeft)
{
  recent_.Add(aTimeLeft);
  if (whole_ > Duration(0) && ++sinceLearnt_ < kLearnEvery) {
    return;
  }
  sinceLearnt_ = 0;
  const double rank = kQuantile * static_cast<double>(recent_.Count() - 1);
  whole_ = recent_.Ranked(static_cast<std::size_t>(rank));
}

Duration
CallerPatience::AgeOf(Duration aTimeLeft) const
{
  return std::max(Duration(0), whole_ - aTimeLeft);
}

} // namespace latchslip
