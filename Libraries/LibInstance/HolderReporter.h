#pragma once

#include "LibInstance/HeldServer.h"
#include "LibInstance/InstanceContext.h"

#include <functional>
#include <string_view>

namespace latchslip {

// Reports the state of the held servers to the placers, and the release of servers that this
// instance no longer holds. Changes of state are sent at once, load at a fixed interval
// (InstanceTiming::reportInterval_). A report that requires an action of the placer is
// repeated until the placer has acted.
class HolderReporter
{
public:
  using ReportFunction = std::function<void(Instant, const ServerReport&)>;
  using HoldsFunction = std::function<bool(std::string_view aService, std::string_view aServer)>;

  HolderReporter(InstanceContext aContext, ReportFunction aReport);

  // Sends a report about a held server if one is due.
  void Report(Instant aNow, HeldServer& aHeld);
  // Sends a report for every server whose placement still lists this instance as a former
  // holder, once this instance does not hold the server any more.
  void ReportStopped(Instant aNow, const HoldsFunction& aHolds);
  // Makes the next ReportStopped() send at once, since another server has been released.
  void ResetStoppedInterval() { stoppedReportedAt_ = Instant{ 0 }; }

private:
  // Whether the grant has expired and nothing that was dispatched under it can still be
  // running, so that the server's keys may safely move.
  bool IsQuiescent(const HeldServer& aHeld) const;

  InstanceContext context_;
  ReportFunction report_;
  Instant stoppedReportedAt_{ 0 };
};

} // namespace latchslip
