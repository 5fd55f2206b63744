#pragma once

#include "LibBase/Event.h"

#include <map>

namespace latchslip {

// Counts recorded events by kind.
class CountingEventSink : public EventSink
{
public:
  void Record(Event aEvent, std::string_view) override { ++counts_[aEvent]; }
  int CountOf(Event aEvent) const
  {
    const auto count = counts_.find(aEvent);
    return count == counts_.end() ? 0 : count->second;
  }

private:
  std::map<Event, int> counts_;
};

} // namespace latchslip
