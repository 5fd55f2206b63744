#include "LibDaemon/GatewayMetrics.h"

#include <algorithm>
#include <sstream>

namespace latchslip {

void
GatewayMetrics::OnAnswer(unsigned aStatus, Duration aLatency)
{
  constexpr double kMillisecond = 1000;
  const auto latency = static_cast<double>(aLatency.count()) / kMillisecond;
  const auto* bucket = std::lower_bound(kBuckets.begin(), kBuckets.end(), latency);
  ++answers_[aStatus];
  ++latencies_.at(static_cast<std::size_t>(bucket - kBuckets.begin()));
  latencySum_ += latency;
}

std::string
GatewayMetrics::Render(const LineLog& aLog, const std::map<std::string, double>& aGauges) const
{
  std::ostringstream text;
  text << "# TYPE latchslip_answers_total counter\n";
  for (const auto& [status, count] : answers_) {
    text << "latchslip_answers_total{status=\"" << status << "\"} " << count << '\n';
  }
  text << "# TYPE latchslip_latency_ms histogram\n";
  std::uint64_t total = 0;
  for (std::size_t index = 0; index < kBuckets.size(); ++index) {
    total += latencies_.at(index);
    text << "latchslip_latency_ms_bucket{le=\"" << kBuckets.at(index) << "\"} " << total << '\n';
  }
  total += latencies_.back();
  text << "latchslip_latency_ms_bucket{le=\"+Inf\"} " << total << '\n';
  text << "latchslip_latency_ms_sum " << latencySum_ << '\n';
  text << "latchslip_latency_ms_count " << total << '\n';
  text << "# TYPE latchslip_events_total counter\n";
  for (const auto& entry : AllEvents()) {
    if (const auto count = aLog.CountOf(entry.event_); count > 0) {
      text << "latchslip_events_total{event=\"" << entry.name_ << "\"} " << count << '\n';
    }
  }
  text << "# TYPE latchslip_log_lines_dropped_total counter\n";
  text << "latchslip_log_lines_dropped_total " << aLog.Dropped() << '\n';
  for (const auto& [name, value] : aGauges) {
    text << "# TYPE latchslip_" << name << " gauge\nlatchslip_" << name << ' ' << value << '\n';
  }
  return text.str();
}

} // namespace latchslip
