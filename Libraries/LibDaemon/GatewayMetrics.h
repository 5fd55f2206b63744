#pragma once

#include "LibBase/Time.h"
#include "LibDaemon/LineLog.h"

#include <array>
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

  // aLog gives the counts of events; aGauges are further values by name.
  std::string Render(const LineLog& aLog, const std::map<std::string, double>& aGauges) const;

private:
  // Upper bounds of the latency's buckets in milliseconds: from a quick refusal to
  // the longest time limits of our users.
  static constexpr std::array<double, 10> kBuckets{
    5, 20, 50, 100, 200, 400, 800, 1600, 4000, 15000
  };

  std::map<unsigned, std::uint64_t> answers_;
  // One more for what is beyond the last bound.
  std::array<std::uint64_t, kBuckets.size() + 1> latencies_{};
  double latencySum_ = 0;
};

} // namespace latchslip
