#pragma once

#include "LibAdmission/ReturnCalendar.h"
#include "LibBase/Time.h"
#include "LibDaemon/LineLog.h"
#include "LibDaemon/LoopMonitor.h"
#include "LibDaemon/ResponseMonitor.h"
#include "LibFleet/FleetStore.h"
#include "LibGateway/RequestStatistics.h"

#include <cstdint>
#include <map>
#include <string>

namespace latchslip {

// Counts responses and latencies of one gateway instance and renders all of its metrics in
// the Prometheus text format.
class GatewayMetrics
{
public:
  // Records a response sent to a client; aLatency is the time the request spent in this
  // instance.
  void OnAnswer(unsigned aStatus, Duration aLatency);

  // Renders the metrics page. aLog supplies the event counters, aStatistics the counters per
  // route, group and server, aCalls the store calls, aLoop the load of the event loop, aReturns
  // the promised returns of this dispatcher, aResponses what servers send beyond
  // responses; aGauges are further values by name.
  std::string Render(const LineLog& aLog,
                     const RequestStatistics& aStatistics,
                     const StoreCallCounts& aCalls,
                     const LoopMonitor& aLoop,
                     const ReturnCounts& aReturns,
                     const ResponseMonitor& aResponses,
                     const std::map<std::string, double>& aGauges) const;

private:
  std::map<unsigned, std::uint64_t> answers_;
  LatencyHistogram latency_;
};

} // namespace latchslip
