#pragma once

#include "LibInstance/HeldServer.h"
#include "LibInstance/InstanceContext.h"

#include <functional>
#include <string_view>

namespace latchslip {

// Tells the placers what this instance knows of the servers that it holds, and
// that it has let go of those it held before. News goes out at once, load at
// intervals, and what the placer must act on is repeated until it has.
class HolderReporter
{
public:
  using ReportFunction = std::function<void(Instant, const ServerReport&)>;
  using HoldsFunction = std::function<bool(std::string_view aService, std::string_view aServer)>;

  HolderReporter(InstanceContext aContext, ReportFunction aReport);

  void Report(Instant aNow, HeldServer& aHeld);
  // For every server whose placement still waits for this instance to stop.
  void ReportStopped(Instant aNow, const HoldsFunction& aHolds);
  // Another server was let go of: the next ReportStopped says so at once.
  void ForgetStopped() { stoppedReportedAt_ = Instant{ 0 }; }

private:
  bool IsCertainlyWithheld(const HeldServer& aHeld) const;

  InstanceContext context_;
  ReportFunction report_;
  Instant stoppedReportedAt_{ 0 };
};

} // namespace latchslip
