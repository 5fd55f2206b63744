#pragma once

#include "LibBase/Time.h"

#include <array>
#include <cstdint>

namespace latchslip {

// Latency histogram with fixed buckets, exported as a metric.
class LatencyHistogram
{
public:
  // Upper bounds of the buckets in milliseconds, from a fast refusal to the longest time limit of
  // our users.
  static constexpr std::array<double, 10> kBounds{
    5, 20, 50, 100, 200, 400, 800, 1600, 4000, 15000
  };

  void Add(Duration aLatency);
  // Counts by bucket; one more than there are bounds, for latencies above the last bound.
  const std::array<std::uint64_t, kBounds.size() + 1>& Buckets() const { return buckets_; }
  // Sum of all latencies in milliseconds.
  double Sum() const { return sum_; }

private:
  std::array<std::uint64_t, kBounds.size() + 1> buckets_{};
  double sum_ = 0;
};

} // namespace latchslip
