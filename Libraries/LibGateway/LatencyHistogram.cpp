#include "LibGateway/LatencyHistogram.h"

#include <algorithm>

namespace latchslip {

void
LatencyHistogram::Add(Duration aLatency)
{
  const auto latency = ToMilliseconds(aLatency);
  const auto* bucket = std::lower_bound(kBounds.begin(), kBounds.end(), latency);
  ++buckets_.at(static_cast<std::size_t>(bucket - kBounds.begin()));
  sum_ += latency;
}

} // namespace latchslip
