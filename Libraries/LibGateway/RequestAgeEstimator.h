#pragma once

#include "LibGateway/RecentDurations.h"

#include <cstddef>

namespace latchslip {

// Estimates how long ago the caller of a request made its first attempt, from the time left that
// the requests of one route arrive with. A retry arrives with what remains of the caller's time
// limit, so a request with less time left than most others is a retry.
class RequestAgeEstimator
{
public:
  RequestAgeEstimator();

  // Learns from the time left of each request that arrives on the route.
  void OnRequest(Duration aTimeLeft);
  // Estimated time since the first attempt of a caller whose request arrived with aTimeLeft; zero
  // for a first attempt.
  Duration AgeOf(Duration aTimeLeft) const;

private:
  // The time left of the most recent requests.
  RecentDurations recent_;
  std::size_t sinceUpdate_ = 0;
  // Estimated time left of a first attempt.
  Duration firstAttemptTimeLeft_{ 0 };
};

} // namespace latchslip
