#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace latchslip {

// Capacity that is expected for returns.
struct ReturnForecast
{
  // Expected throughput, in requests per second.
  double throughput_ = 0;
  // Expected new requests that take precedence, per second.
  double newRequests_ = 0;
  // Time that the requests queued ahead take.
  Duration queueTime_{ 0 };
};

// The numbers of promised returns in slices of time, and the search for a slice with spare
// capacity.
//
// The forecast is a token bucket: it starts with the queue as debt, each slice adds the throughput
// less the new requests, and each promised return takes one token. The bucket holds one token, or
// what one slice adds if that is more: unused capacity cannot be stored, but a slow server has less
// than one token in a slice.
class ReturnSlices
{
public:
  static constexpr Duration kSlice = milliseconds(100);
  // No return later than this is promised: the load is not known further ahead.
  static constexpr Duration kHorizon = seconds(3);

  void Add(Instant aMoment, bool aIsLate);
  void Remove(Instant aMoment, bool aIsLate);
  // First moment, within the horizon, with spare capacity for one more return; no value if there is
  // none. Late returns do not count against one that is in time.
  std::optional<Instant> FindSpare(Instant aNow,
                                   const ReturnForecast& aForecast,
                                   bool aIsLate) const;

private:
  using Slice = std::int64_t;

  struct Count
  {
    unsigned inTime_ = 0;
    unsigned late_ = 0;
  };

  static Slice SliceOf(Instant aMoment) { return aMoment / kSlice; }
  // Whether each return, with one more in aSlice, has a token.
  bool Fits(Instant aNow, const ReturnForecast& aForecast, bool aIsLate, Slice aSlice) const;
  // Number of the returns in aSlice that take precedence over one of the given lateness or equal
  // it. Returns that are overdue count in the present slice, aFirst.
  unsigned Returns(Slice aSlice, Slice aFirst, bool aIsLate) const;

  std::map<Slice, Count> counts_;
};

} // namespace latchslip
