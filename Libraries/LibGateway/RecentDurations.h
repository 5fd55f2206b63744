#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <vector>

namespace latchslip {

// The last durations of something that goes on, as many as fit.
class RecentDurations
{
public:
  explicit RecentDurations(std::size_t aMost)
    : most_(aMost)
  {
  }

  // Overwrites the oldest when there is no place left.
  void Add(Duration aDuration);
  std::size_t Count() const { return durations_.size(); }
  // The one that aRank of them are not longer than; aRank is less than Count.
  Duration Ranked(std::size_t aRank) const;

private:
  std::size_t most_;
  std::vector<Duration> durations_;
  // The oldest, once there is no place left.
  std::size_t oldest_ = 0;
};

} // namespace latchslip
