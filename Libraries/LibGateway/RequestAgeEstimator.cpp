#include "LibGateway/RequestAgeEstimator.h"

#include <algorithm>

namespace latchslip {

namespace {

// Number of requests in the sample: some seconds of a busy route.
constexpr std::size_t kRecent = 64;
// The estimate is updated after this many requests.
constexpr std::size_t kLearnEvery = 16;
// Quantile of the sample that is taken as the time left of first attempts. They are more than a
// tenth of the requests as long as callers try less than ten times, and the quantile ignores the
// few requests with more time than all others.
constexpr double kQuantile = 0.9;

} // namespace

RequestAgeEstimator::RequestAgeEstimator()
  : recent_(kRecent)
{
}

void
RequestAgeEstimator::OnRequest(Duration aTimeLeft)
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
RequestAgeEstimator::AgeOf(Duration aTimeLeft) const
{
  return std::max(Duration(0), whole_ - aTimeLeft);
}

} // namespace latchslip
