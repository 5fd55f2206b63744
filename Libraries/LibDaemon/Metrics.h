#pragma once

#include "LibBase/Time.h"
#include "LibInstance/Messages.h"

#include <array>
#include <memory>
#include <string>

namespace latchslip {

// Counts and latencies of the requests of one instance.
class Metrics
{
public:
  Metrics();
  ~Metrics();

  void OnAnswer(const WorkAnswer& aAnswer, Duration aLatency);
  // The lines of the metrics page, "name value".
  std::string Render() const;

private:
  struct Latency;
  std::array<std::uint64_t, 3> outcomes_{};
  std::array<std::uint64_t, kReasonNames.names_.size()> reasons_{};
  std::unique_ptr<Latency> latency_;
};

} // namespace latchslip
