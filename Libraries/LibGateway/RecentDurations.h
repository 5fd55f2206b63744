#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <vector>

namespace latchslip {

// Ring buffer of the most recent durations, with rank queries.
class RecentDurations
{
public:
  explicit RecentDurations(std::size_t aCapacity)
    : capacity_(aCapacity)
  {
  }

  // Overwrites the oldest duration when the buffer is full.
  void Add(Duration aDuration);
  std::size_t Count() const { return durations_.size(); }
  // The duration of rank aRank in ascending order, from 0; aRank must be less than Count().
  Duration Ranked(std::size_t aRank) const;

private:
  std::size_t capacity_;
  std::vector<Duration> durations_;
  // Index of the oldest duration once the buffer is full.
  std::size_t oldest_ = 0;
};

} // namespace latchslip
