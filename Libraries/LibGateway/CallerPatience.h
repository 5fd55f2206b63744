#pragma once

#include "LibGateway/RecentDurations.h"

#include <cstddef>

namespace latchslip {

// How long the callers of one route wait in all, told from the times that their requests
// have left. A request that has less left than most was tried before: its caller has
// waited since its first try.
class CallerPatience
{
public:
  CallerPatience();

  void OnRequest(Duration aTimeLeft);
  // How long ago the caller of a request with that much time left first tried.
  Duration AgeOf(Duration aTimeLeft) const;

private:
  // The times of the last requests.
  RecentDurations recent_;
  std::size_t sinceLearnt_ = 0;
  // What callers have left at their first try.
  Duration whole_{ 0 };
};

} // namespace latchslip
