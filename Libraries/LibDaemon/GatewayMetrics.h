#pragma once

#include "LibBase/Time.h"
#include "LibDaemon/LineLog.h"
#include "LibFleet/FleetStore.h"
#include "LibGateway/RequestStatistics.h"

#include <cstdint>
#include <map>
#include <string>

namespace latchslip {

// Counters and latencies of one gateway instance, as the usual text of metrics.
class GatewayMetrics
{
public:
  // An answer that went to a client, after that time in this instance.
  void OnAnswer(unsigned aStatus, Duration aLatency);

  // aLog gives the counts of events, aTally those by route and server, aCalls the
  // calls of the store; aGauges are further values by name.
  std::string Render(const LineLog& aLog,
                     const RequestStatistics& aTally,
                     const StoreCallCounts& aCalls,
                     const std::map<std::string, double>& aGauges) const;

private:
  std::map<unsigned, std::uint64_t> answers_;
  LatencyHistogram latency_;
};

} // namespace latchslip
