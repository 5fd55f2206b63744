#pragma once

#include "LibBase/KeyHash.h"
#include "LibBase/Time.h"
#include "LibPlacement/Placement.h"
#include "LibPlacement/ServerReport.h"

#include <array>
#include <cstddef>
#include <map>
#include <vector>

namespace latchslip {

// Measures how busy one server, each of its slices and its hottest key are.
// Memory does not grow with keys: the busiest are found with the space-saving
// counters of Metwally, Agrawal and El Abbadi (2005).
class LoadMeter
{
public:
  void Add(KeyHash aHash, KeyHash aSliceStart, Duration aBusy);

  // Writes the mean load since the last call into a report and starts afresh.
  void Fill(Duration aSpan, ServerReport& aReport);

private:
  static constexpr std::size_t kCounters = 32;

  struct Counter
  {
    KeyHash hash_ = 0;
    Duration busy_{ 0 };
    // The most that the counter may owe to keys it displaced.
    Duration error_{ 0 };
  };

  Duration total_{ 0 };
  std::map<KeyHash, Duration> slices_;
  std::array<Counter, kCounters> counters_{};
};

} // namespace latchslip
