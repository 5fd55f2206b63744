#pragma once

#include "LibBase/Event.h"

namespace latchslip {

// Discards events, for tests that don't check them.
class NullEventSink : public EventSink
{
public:
  void Record(Event, std::string_view) override {}
};

} // namespace latchslip
