#pragma once

#include "LibBase/Time.h"
#include "LibInstance/Messages.h"

#include <array>
#include <memory>
#include <string>

namespace latchslip {

// Request counters and latency statistics of one instance.
class Metrics
{
public:
  Metrics();
  ~Metrics();

  void OnAnswer(const WorkAnswer& aAnswer, Duration aLatency);
  // Renders the counters as lines "name value" for the metrics page; latencies in microseconds.
  std::string Render() const;

private:
  struct Latency;
  std::array<std::uint64_t, 3> outcomes_{};
  std::array<std::uint64_t, kReasonNames.names_.size()> reasons_{};
  std::unique_ptr<Latency> latency_;
};

} // namespace latchslip
