#pragma once

#include "LibBase/Time.h"
#include "LibGateway/RateLimit.h"

#include <cstdint>

namespace latchslip {

// What a server did for one instance, or for all, in some time.
struct ServerWork
{
  // Requests that it answered, or did not answer within all the time they had.
  std::uint64_t answers_ = 0;
  // How long they were there, one after the other.
  Duration busy_{ 0 };
  // Requests a second that it takes from all instances, as it last named them;
  // kNoRateLimit when it names no limit.
  double rateLimit_ = kNoRateLimit;

  bool operator==(const ServerWork&) const = default;
};

} // namespace latchslip
