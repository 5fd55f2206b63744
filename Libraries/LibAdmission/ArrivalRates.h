#pragma once

#include "LibBase/Time.h"

#include <map>

namespace latchslip {

// Rates of arriving requests by priority, as exponential averages over kTimeConstant. The averages
// are corrected for the time since the first arrival, so that they do not start too low.
class ArrivalRates
{
public:
  static constexpr Duration kTimeConstant = seconds(2);

  // Counts one request. 0 is the most urgent priority.
  void OnArrival(Instant aNow, unsigned aPriority);
  // Requests per second of aPriority and of all more urgent priorities.
  double RateUpTo(Instant aNow, unsigned aPriority) const;
  // Requests per second of all priorities.
  double TotalRate(Instant aNow) const;

private:
  struct Average
  {
    // Sum of the arrivals at updatedAt_, each weighted by its age.
    double weight_ = 0;
    Instant updatedAt_{ 0 };
  };

  static double WeightAt(Instant aNow, const Average& aAverage);
  // Factor from a sum of weights to requests per second.
  double RatePerWeight(Instant aNow) const;
  void RemoveDecayed(Instant aNow);

  std::map<unsigned, Average> averages_;
  Instant firstArrival_ = Instant::max();
};

} // namespace latchslip
