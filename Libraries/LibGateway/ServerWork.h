#pragma once

#include "LibBase/Time.h"

#include <cstdint>

namespace latchslip {

// What a server did for one instance, or for all, in some time.
struct ServerWork
{
  // Requests that it answered, or did not answer within all the time they had.
  std::uint64_t answers_ = 0;
  // How long they were there, one after the other.
  Duration busy_{ 0 };

  bool operator==(const ServerWork&) const = default;
};

} // namespace latchslip
