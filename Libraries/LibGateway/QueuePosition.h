#pragma once

#include "LibBase/Time.h"

#include <tuple>

namespace latchslip {

// Sort key of a waiting request: by priority, then requests whose answers may still be in time
// before late ones, then promised returns before others, then by deadline. key_ makes it unique.
template<typename TKey>
struct QueuePosition
{
  unsigned priority_ = 0;
  bool isLate_ = false;
  Instant deadline_{ 0 };
  TKey key_{};
  bool isReturn_ = false;

  bool operator<(const QueuePosition& aOther) const
  {
    return std::tie(priority_, isLate_, aOther.isReturn_, deadline_, key_) <
           std::tie(aOther.priority_, aOther.isLate_, isReturn_, aOther.deadline_, aOther.key_);
  }
};

} // namespace latchslip
