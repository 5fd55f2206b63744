#include "LibGateway/ServiceState.h"

namespace latchslip {

namespace {

// Assumed latency of a service without any answer yet.
constexpr Duration kAssumedLatency = milliseconds(50);

} // namespace

Duration
TypicalLatency(const std::vector<ServerCandidate>& aServers)
{
  Duration sum{ 0 };
  Duration::rep count = 0;
  for (const auto& server : aServers) {
    const auto latency = server.load_->MeanLatency();
    if (server.record_->AcceptsWork() && latency > Duration(0)) {
      sum += latency;
      ++count;
    }
  }
  return count == 0 ? kAssumedLatency : Duration(sum / count);
}

} // namespace latchslip
