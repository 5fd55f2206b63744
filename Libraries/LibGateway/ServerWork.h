#pragma once

#include "LibBase/Time.h"
#include "LibGateway/RateLimit.h"

#include <cstdint>

namespace latchslip {

// Work that a server did for one instance, or for all, within some time.
struct ServerWork
{
  // Requests that it answered, or did not answer within their time limits.
  std::uint64_t answers_ = 0;
  // Sum of the times that these requests spent at the server.
  Duration busy_{ 0 };
  // Rate limit in requests per second that it last advertised for all instances; kNoRateLimit if
  // it has none.
  double rateLimit_ = kNoRateLimit;

  bool operator==(const ServerWork&) const = default;
};

} // namespace latchslip
