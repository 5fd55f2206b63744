#include "LibInstance/HeldServer.h"

#include <algorithm>

namespace latchslip {

namespace {

std::vector<HashRange>
PlacedRanges(const Placement& aPlacement, ServerIndex aIndex)
{
  std::vector<HashRange> ranges;
  for (std::size_t index = 0; index < aPlacement.slices_.size(); ++index) {
    const auto& slice = aPlacement.slices_[index];
    if (slice.owner_ != aIndex || slice.IsMoving()) {
      continue;
    }
    const auto last = aPlacement.LastHashOf(index);
    const bool adjoins = !ranges.empty() && ranges.back().second + 1 == slice.start_;
    if (adjoins) {
      ranges.back().second = last;
    } else {
      ranges.emplace_back(slice.start_, last);
    }
  }
  return ranges;
}

} // namespace

HeldServer::HeldServer(const ServiceDeclaration& aService,
                       const ServerDeclaration& aServer,
                       const GrantTiming& aTiming)
  : service_(aService.name_)
  , server_(aServer.name_)
  , address_(aServer.address_)
  , checksGrants_(aService.checksGrants_)
  , grantManager_(aService.name_, aServer.name_, aService.checksGrants_, aTiming)
  , queue_(aService.slots_)
{
}

void
HeldServer::Configure(const Declaration& aConfiguration)
{
  const auto* service = aConfiguration.FindService(service_);
  if (service == nullptr) {
    return;
  }
  std::vector<SharingIntent> intents;
  std::copy_if(aConfiguration.intents_.begin(),
               aConfiguration.intents_.end(),
               std::back_inserter(intents),
               [&](const auto& aIntent) { return aIntent.service_ == service_; });
  queue_.Configure(service->slots_, intents);
  const auto* declared = service->FindServer(server_);
  if (declared != nullptr) {
    address_ = declared->address_;
  }
}

void
HeldServer::ApplyPlacement(const PlacedService& aPlaced, ServerIndex aIndex)
{
  const auto& server = aPlaced.placement_.servers_[aIndex];
  grantManager_.SetDesiredRanges(server.fence_,
                                 aPlaced.version_,
                                 PlacedRanges(aPlaced.placement_, aIndex),
                                 server.formerHolders_.empty());
}

bool
HeldServer::MayHaveRunningWork() const
{
  return grantManager_.ForeignRunning() > 0 ||
         std::any_of(workItems_.begin(), workItems_.end(), [](const auto& aEntry) {
           const auto phase = aEntry.second.phase_;
           return phase == HeldWork::Phase::Running || phase == HeldWork::Phase::Abandoned;
         });
}

std::vector<WorkId>
HeldServer::PendingWork() const
{
  std::vector<WorkId> ids;
  for (const auto& [id, work] : workItems_) {
    if (work.phase_ == HeldWork::Phase::Waiting || work.phase_ == HeldWork::Phase::Claiming) {
      ids.push_back(id);
    }
  }
  return ids;
}

std::vector<WorkId>
HeldServer::AbandonedBefore(Instant aMoment) const
{
  std::vector<WorkId> ids;
  for (const auto& [id, work] : workItems_) {
    if (work.phase_ == HeldWork::Phase::Abandoned && work.abandonedAt_ < aMoment) {
      ids.push_back(id);
    }
  }
  return ids;
}

bool
HeldServer::HasWorkOutsideRanges(const Placement& aPlacement, ServerIndex aIndex) const
{
  return std::any_of(workItems_.begin(), workItems_.end(), [&](const auto& aEntry) {
    const auto& work = aEntry.second;
    const auto& slice = aPlacement.slices_[aPlacement.SliceIndexOf(work.hash_)];
    const bool isInside = slice.owner_ == aIndex && !slice.IsMoving();
    const bool isAtServer =
      work.phase_ == HeldWork::Phase::Running || work.phase_ == HeldWork::Phase::Abandoned;
    return !isInside && isAtServer;
  });
}

ServerReport
HeldServer::ComposeReport(Instant aNow,
                          const InstanceId& aSelf,
                          const Placement& aPlacement,
                          ServerIndex aIndex)
{
  ServerReport report;
  report.service_ = service_;
  report.server_ = server_;
  report.holder_ = aSelf;
  report.fence_ = grantManager_.CurrentFence();
  report.sequence_ = ++reportSequence_;
  report.isReachable_ = grantManager_.IsReachable(aNow);
  report.isUnconfirmed_ = !grantManager_.IsConfirmed();
  if (!HasWorkOutsideRanges(aPlacement, aIndex)) {
    report.releasedVersion_ = grantManager_.ReleasedVersion();
  }
  return report;
}

} // namespace latchslip
