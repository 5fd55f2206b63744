#pragma once

#include "LibBase/Event.h"

namespace latchslip {

// Logs each event as one glog line: "E203 HolderAssigned server=...".
class GlogEventSink : public EventSink
{
public:
  void Record(Event aEvent, std::string_view aDetail) override;
};

// Initializes glog to write to standard error, because instances have no disks.
void
InitializeLogging(const char* aProgram);

} // namespace latchslip
