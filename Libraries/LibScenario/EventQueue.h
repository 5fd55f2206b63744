#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace latchslip {

// The hand-turned clock of a scenario: actions in the order of their moments,
// and of their making where moments are equal.
class EventQueue
{
public:
  Instant Now() const { return now_; }

  void At(Instant aMoment, std::function<void()> aAction)
  {
    actions_.emplace(std::pair(std::max(aMoment, now_), ++sequence_), std::move(aAction));
  }

  void After(Duration aDelay, std::function<void()> aAction)
  {
    At(now_ + aDelay, std::move(aAction));
  }

  // Carries out everything up to a moment and leaves the clock there.
  void RunUntil(Instant aMoment)
  {
    while (!actions_.empty() && actions_.begin()->first.first <= aMoment) {
      auto first = actions_.extract(actions_.begin());
      now_ = first.key().first;
      first.mapped()();
    }
    now_ = aMoment;
  }

private:
  Instant now_{ seconds(1) };
  std::uint64_t sequence_ = 0;
  std::map<std::pair<Instant, std::uint64_t>, std::function<void()>> actions_;
};

} // namespace latchslip
