#pragma once

#include "LibBase/Event.h"

namespace latchslip {

// Writes each event as one line of glog: "E203 HolderAssigned server=...".
class GlogEventSink : public EventSink
{
public:
  void Record(Event aEvent, std::string_view aDetail) override;
};

// Sends the log to standard error, since instances have no disks.
void
InitializeLogging(const char* aProgram);

} // namespace latchslip
