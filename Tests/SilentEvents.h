#pragma once

#include "LibBase/Event.h"

namespace latchslip {

// For tests that look at decisions, not at the log.
class SilentEvents : public EventSink
{
public:
  void Record(Event, std::string_view) override {}
};

} // namespace latchslip
