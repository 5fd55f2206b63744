#pragma once

#include "LibBase/Time.h"

#include <array>
#include <cstdint>

namespace latchslip {

// How often something took how long.
class LatencyHistogram
{
public:
  // Upper bounds of the buckets in milliseconds: from a quick refusal to the longest
  // time limits of our users.
  static constexpr std::array<double, 10> kBounds{
    5, 20, 50, 100, 200, 400, 800, 1600, 4000, 15000
  };

  void Add(Duration aLatency);
  // One more than there are bounds, for what is beyond the last.
  const std::array<std::uint64_t, kBounds.size() + 1>& Buckets() const { return buckets_; }
  // In milliseconds.
  double Sum() const { return sum_; }

private:
  std::array<std::uint64_t, kBounds.size() + 1> buckets_{};
  double sum_ = 0;
};

} // namespace latchslip
