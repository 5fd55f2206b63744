#include "LibDaemon/GlogEventSink.h"

#include <glog/logging.h>

namespace latchslip {

void
GlogEventSink::Record(Event aEvent, std::string_view aDetail)
{
  LOG(INFO) << 'E' << static_cast<int>(aEvent) << ' ' << NameOf(aEvent) << ' ' << aDetail;
}

void
InitializeLogging(const char* aProgram)
{
  FLAGS_logtostderr = true;
  google::InitGoogleLogging(aProgram);
}

} // namespace latchslip
