#include "LibInstance/HolderReporter.h"

#include <algorithm>

namespace latchslip {

HolderReporter::HolderReporter(InstanceContext aContext, ReportFunction aReport)
  : context_(aContext)
  , report_(std::move(aReport))
{
}

bool
HolderReporter::IsQuiescent(const HeldServer& aHeld) const
{
  if (aHeld.grantManager_.State() != GrantState::Withheld) {
    return false;
  }
  // A server that checks grants aborts its work when its grant expires. Any other server
  // finishes its work however long it was frozen, so its keys must not move before that work
  // has ended or the process is known to be gone.
  const auto* service = context_.view_.Configuration().FindService(aHeld.service_);
  const bool isDeclared = service != nullptr && service->FindServer(aHeld.server_) != nullptr;
  return aHeld.checksGrants_ || aHeld.isConnectionRefused_ || !isDeclared ||
         (aHeld.grantManager_.IsConfirmed() && !aHeld.MayHaveRunningWork());
}

void
HolderReporter::ReportStopped(Instant aNow, const HoldsFunction& aHolds)
{
  if (aNow - stoppedReportedAt_ < context_.timing_.reportRepeatInterval_ &&
      stoppedReportedAt_ != Instant{ 0 }) {
    return;
  }
  const auto& self = context_.membership_.Self();
  for (const auto& service : context_.view_.Configuration().services_) {
    const auto* placed = context_.view_.FindPlacement(service.name_);
    if (placed == nullptr) {
      continue;
    }
    for (const auto& server : placed->placement_.servers_) {
      const bool isAwaited =
        std::find(server.formerHolders_.begin(), server.formerHolders_.end(), self) !=
        server.formerHolders_.end();
      if (!isAwaited || aHolds(service.name_, server.name_)) {
        continue;
      }
      ServerReport report;
      report.service_ = service.name_;
      report.server_ = server.name_;
      report.holder_ = self;
      report.hasStopped_ = true;
      report_(aNow, report);
      stoppedReportedAt_ = aNow;
    }
  }
}

void
HolderReporter::Report(Instant aNow, HeldServer& aHeld)
{
  const auto* placed = context_.view_.FindPlacement(aHeld.service_);
  if (placed == nullptr || aHeld.isStopping_) {
    return;
  }
  const auto index = placed->placement_.FindServer(aHeld.server_);
  if (!index) {
    return;
  }
  const auto& last = aHeld.lastReport_;
  const bool isLoadDue = aNow - aHeld.loadReportedAt_ >= context_.timing_.reportInterval_;
  const bool isWithheld = IsQuiescent(aHeld);
  const bool isRepeatDue =
    isWithheld && aNow - aHeld.reportedAt_ >= context_.timing_.reportRepeatInterval_;
  const bool isNewlyReleased = aHeld.grantManager_.ReleasedVersion() == placed->version_ &&
                               last.releasedVersion_ != placed->version_ &&
                               !aHeld.HasWorkOutsideRanges(placed->placement_, *index);
  const bool hasChanged = isNewlyReleased || last.isWithheld_ != isWithheld ||
                          last.isReachable_ != aHeld.grantManager_.IsReachable(aNow) ||
                          last.isUnconfirmed_ == aHeld.grantManager_.IsConfirmed() ||
                          last.fence_ != aHeld.grantManager_.CurrentFence();
  if (!isLoadDue && !isRepeatDue && !hasChanged) {
    return;
  }
  auto report = aHeld.ComposeReport(aNow, context_.membership_.Self(), placed->placement_, *index);
  report.isWithheld_ = isWithheld;
  if (isLoadDue) {
    aHeld.loadMeter_.WriteReport(aNow - aHeld.loadReportedAt_, report);
    aHeld.loadReportedAt_ = aNow;
  }
  aHeld.reportedAt_ = aNow;
  aHeld.lastReport_ = report;
  report_(aNow, report);
}

} // namespace latchslip
