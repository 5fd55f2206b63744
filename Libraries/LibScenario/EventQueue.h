#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace latchslip {

// Event queue and simulated clock of a discrete-event simulation. Time advances only in
// RunUntil. Actions run in order of their due time; actions with the same due time run in the
// order in which they were scheduled, so a run is deterministic.
class EventQueue
{
public:
  Instant Now() const { return now_; }

  // Schedules an action at a time. A time in the past counts as now.
  void ScheduleAt(Instant aTime, std::function<void()> aAction)
  {
    actions_.emplace(std::pair(std::max(aTime, now_), ++sequence_), std::move(aAction));
  }

  void ScheduleAfter(Duration aDelay, std::function<void()> aAction)
  {
    ScheduleAt(now_ + aDelay, std::move(aAction));
  }

  // Runs all actions that are due up to and including aTime, also those scheduled meanwhile, and
  // sets the clock to aTime.
  void RunUntil(Instant aTime)
  {
    while (!actions_.empty() && actions_.begin()->first.first <= aTime) {
      auto first = actions_.extract(actions_.begin());
      now_ = first.key().first;
      first.mapped()();
    }
    now_ = aTime;
  }

private:
  Instant now_{ seconds(1) };
  std::uint64_t sequence_ = 0;
  std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> actions_;
};

} // namespace latchslip
