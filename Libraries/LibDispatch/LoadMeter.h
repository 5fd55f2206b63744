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

// Measures the load of one server, of each of its slices and of its hottest key. The hottest
// key is found by the Space-Saving algorithm (Metwally, Agrawal and El Abbadi, 2005), so that
// memory does not grow with the number of keys.
class LoadMeter
{
public:
  // Adds the service time of one finished request.
  void Add(KeyHash aHash, KeyHash aSliceStart, Duration aBusy);

  // Writes the mean load over aSpan, in busy slots, into a report and resets the meter.
  void WriteReport(Duration aSpan, ServerReport& aReport);

private:
  static constexpr std::size_t kCounters = 32;

  struct Counter
  {
    KeyHash hash_ = 0;
    Duration busy_{ 0 };
    // Upper bound of the time that was inherited from displaced keys.
    Duration error_{ 0 };
  };

  Duration total_{ 0 };
  std::map<KeyHash, Duration> slices_;
  std::array<Counter, kCounters> counters_{};
};

} // namespace latchslip
