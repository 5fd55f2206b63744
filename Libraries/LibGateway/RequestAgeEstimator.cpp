#include "LibGateway/RequestAgeEstimator.h"

#include <algorithm>

namespace latchslip {

namespace {

// Number of requests in the sample: some seconds of a busy route.
constexpr std::size_t kSampleSize = 64;
// The estimate is updated after this many requests.
constexpr std::size_t kUpdateInterval = 16;
// Quantile of the sample that is taken as the time left of first attempts. They are more than a
// tenth of the requests as long as callers try less than ten times, and the quantile ignores the
// few requests with more time than all others.
constexpr double kFirstAttemptQuantile = 0.9;

} // namespace

RequestAgeEstimator::RequestAgeEstimator()
  : recent_(kSampleSize)
{
}

void
RequestAgeEstimator::OnRequest(Duration aTimeLeft)
{
  recent_.Add(aTimeLeft);
  if (firstAttemptTimeLeft_ > Duration(0) && ++sinceUpdate_ < kUpdateInterval) {
    return;
  }
  sinceUpdate_ = 0;
  const double rank = kFirstAttemptQuantile * static_cast<double>(recent_.Count() - 1);
  firstAttemptTimeLeft_ = recent_.Ranked(static_cast<std::size_t>(rank));
}

Duration
RequestAgeEstimator::AgeOf(Duration aTimeLeft) const
{
  return std::max(Duration(0), firstAttemptTimeLeft_ - aTimeLeft);
}

} // namespace latchslip
