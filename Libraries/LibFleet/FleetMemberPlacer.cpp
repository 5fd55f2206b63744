// The placer role of FleetMember: claims the role, runs the placers of the keyed services, writes
// their results to the store and pushes updates to the other instances.

#include "LibFleet/FleetMember.h"
#include "LibFleet/ServicePlacer.h"
#include "LibStore/StoreEpoch.h"

#include <algorithm>

namespace latchslip {

namespace {

// An instance that reported within this time regards the receiver as the placer.
constexpr Duration kReporterTimeout = seconds(2);
// The same under the short isolation bound: almost two report intervals. It leaves half of that
// bound for the news of another placer to reach the reporting instances.
constexpr Duration kShortReporterTimeout = milliseconds(1500);
// Tables are not sent to the same instance again within this time; an instance that didn't receive
// them reads them itself before that.
constexpr Duration kTablesResendInterval = seconds(2);
// Delay before a failed write is retried.
constexpr Duration kWriteRetryDelay = milliseconds(200);
// Interval between estimates of the servers' weights; keys are moved by them at most as often.
constexpr Duration kServersRefreshInterval = milliseconds(500);
// All instances of a fleet have reported to its placer within this time.
constexpr Duration kSizeSettleTime = seconds(2);
// Bound on the factor between a server's speed and the median, so that a noisy mean cannot remove
// all keys from a server or flood it. Keys that a server has to load first take it several times as
// long.
constexpr double kMaxSpeedFactor = 4;
// The share of a server's rate limit that placement counts on. Requests that arrive in bursts wait
// for a slot, but those beyond a rate limit are mostly refused.
constexpr double kUsableRateLimitShare = 0.6;

} // namespace

// A claim is conditional on the owners' rows too, so that no commands are sent on the basis of
// older ones.
void
FleetMember::ClaimPlacerRole()
{
  PendingWrite write;
  auto& conditions = write.transaction_.conditions_;
  const std::string key(kPlacerKey);
  conditions.push_back({ key, view_.PlacerVersion() });
  // The configuration may not be known yet: the placer is the first to read it.
  std::set<std::string> services;
  for (const auto& names : { view_.KeyedServices(), view_.OwnedServices() }) {
    services.insert(names.begin(), names.end());
  }
  for (const auto& service : services) {
    const auto* owned = view_.OwnersOf(service);
    conditions.push_back({ OwnershipKey(service), owned == nullptr ? 0 : owned->version_ });
  }
  write.transaction_.writes_.push_back({ key, SerializePlacerRow(settings_.self_) });
  formerPlacerStoppedAt_.reset();
  formerClaim_ = view_.PlacerVersion();
  formerClaimSeenAt_ = view_.PlacerVersionSince();
  formerPlacer_ = election_.Current() ? election_.Current()->instance_ : std::string();
  if (!formerPlacer_.empty() && formerPlacer_ != settings_.self_.instance_) {
    events_.Record(Event::PlacerSilent, "placer=" + election_.Current()->instance_);
  }
  writes_.push_back(std::move(write));
}

// A former placer that has not written the row itself says nothing about the placers before it: one
// of them may have written it and still run.
std::optional<KeyOwnership>
FleetMember::OwnershipToTakeOver(const std::string& aService) const
{
  const auto* owned = view_.OwnersOf(aService);
  if (owned == nullptr) {
    return std::nullopt;
  }
  auto ownership = owned->ownership_;
  ownership.hasShortIsolation_ = ownership.hasShortIsolation_ && owned->version_ > formerClaim_;
  return ownership;
}

void
FleetMember::StartPlacers(Instant aNow)
{
  for (const auto& service : view_.KeyedServices()) {
    if (placers_.contains(service)) {
      continue;
    }
    const auto* owned = view_.OwnersOf(service);
    auto& placer = placers_[service];
    placer = std::make_unique<ServicePlacer>(*this, service);
    placer->placer_.SetEpoch(view_.Epoch());
    placer->placer_.SetLoadManagement(UsesLoadManagement());
    placer->placer_.Start(aNow, OwnershipToTakeOver(service), uncertainLeases_);
    if (owned != nullptr && owned->isFromCopyOnly_) {
      placer->placer_.BlockUntilLostGrantsExpire(aNow);
    }
    if (formerPlacer_ == settings_.self_.instance_) {
      placer->placer_.OnFormerPlacerStopped(aNow, formerClaimSeenAt_);
    } else if (formerPlacerStoppedAt_ && UsesLoadManagement()) {
      placer->placer_.OnFormerPlacerStopped(*formerPlacerStoppedAt_, formerClaimSeenAt_);
    }
  }
}

void
FleetMember::StopPlacers()
{
  placers_.clear();
  // Keep the write in flight, so that its result is not taken for that of a later one.
  std::erase_if(writes_, [](const PendingWrite& aWrite) { return !aWrite.isInFlight_; });
  for (auto& write : writes_) {
    write.isAbandoned_ = true;
  }
}

void
FleetMember::RunPlacers(Instant aNow)
{
  if (!MaySendCommands(aNow)) {
    return;
  }
  const LoopTaskScope task(actions_.TaskObserver(), LoopTask::PlaceKeys);
  if (view_.IsKnown(FleetTable::Servers)) {
    StartPlacers(aNow);
  }
  for (const auto& [service, placer] : placers_) {
    if (aNow >= placer->placer_.NextTime()) {
      placer->placer_.SetEpoch(view_.Epoch());
      placer->placer_.SetLoadManagement(UsesLoadManagement());
      if (aNow >= placer->nextServersAt_) {
        placer->nextServersAt_ = aNow + kServersRefreshInterval;
        placer->placer_.SetServers(aNow, KeyServersOf(aNow, service));
      }
      placer->placer_.OnTime(aNow, !isStoreLost_);
    }
  }
}

bool
FleetMember::UsesLoadManagement() const
{
  return view_.Routes() != nullptr && view_.Routes()->UsesLoadManagement();
}

// Another instance may be the placer by now, and relies on this one having stopped. That is
// impossible as long as most of the other instances that reported here when the store was last
// reachable still do.
bool
FleetMember::MaySendCommands(Instant aNow) const
{
  const bool isShort = std::any_of(placers_.begin(), placers_.end(), [](const auto& aEntry) {
    return aEntry.second->placer_.HasShortIsolation();
  });
  const auto& timing = settings_.placer_;
  const auto bound = isShort ? timing.shortIsolatedRenewalTime_ : timing.isolatedRenewalTime_;
  const auto reporterTimeout = isShort ? kShortReporterTimeout : kReporterTimeout;
  if (aNow - storeContactAt_ < bound) {
    return true;
  }
  const auto reporting =
    std::count_if(reporters_.begin(), reporters_.end(), [&](const auto& aEntry) {
      return aEntry.first != settings_.self_.address_ &&
             aNow - aEntry.second.lastReportAt_ < reporterTimeout;
    });
  return reportersAtStoreContact_ == 0 ||
         2 * static_cast<std::size_t>(reporting) > reportersAtStoreContact_;
}

std::vector<KeyServer>
FleetMember::KeyServersOf(Instant aNow, const std::string& aService) const
{
  std::vector<KeyServer> servers;
  const auto median = MedianServiceTimeOf(aService);
  for (const auto& [id, record] : view_.Directory().All()) {
    if (record.service_ != aService) {
      continue;
    }
    KeyServer server;
    server.id_ = id;
    server.address_ = record.address_;
    server.incarnation_ = record.incarnation_;
    server.isUsable_ = record.AcceptsWork() && !view_.Directory().HasEnded(id);
    if (median) {
      const double atLimit =
        kUsableRateLimitShare * speeds_.RateLimitOf(aNow, id) * ToSeconds(*median);
      server.weight_ = std::min(record.slots_ * SpeedOf(record, *median), atLimit);
    }
    servers.push_back(std::move(server));
  }
  return servers;
}

std::optional<Duration>
FleetMember::MedianServiceTimeOf(const std::string& aService) const
{
  std::vector<Duration> known;
  for (const auto& [id, record] : view_.Directory().All()) {
    if (record.service_ != aService) {
      continue;
    }
    if (const auto time = speeds_.ServiceTimeOf(id, record.slots_)) {
      known.push_back(*time);
    }
  }
  if (known.empty()) {
    return std::nullopt;
  }
  const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
  std::nth_element(known.begin(), middle, known.end());
  return *middle;
}

double
FleetMember::SpeedOf(const ServerRecord& aServer, Duration aMedian) const
{
  const auto time = speeds_.ServiceTimeOf(aServer.id_, aServer.slots_);
  if (!time) {
    return 1;
  }
  const auto count = std::max<Duration::rep>(1, time->count());
  const double speed = static_cast<double>(aMedian.count()) / static_cast<double>(count);
  return std::clamp(speed, 1 / kMaxSpeedFactor, kMaxSpeedFactor);
}

void
FleetMember::QueueWrite(const KeyOwnership& aOwnership)
{
  PendingWrite write;
  write.ownership_ = aOwnership;
  const auto row = OwnershipKey(aOwnership.service_);
  const auto* owned = view_.OwnersOf(aOwnership.service_);
  if (owned != nullptr) {
    write.former_ = *owned;
  }
  write.transaction_.conditions_ = { { std::string(kPlacerKey), view_.PlacerVersion() },
                                     { row, owned == nullptr ? 0 : owned->version_ } };
  write.transaction_.writes_ = { { row, SerializeOwnership(aOwnership) } };
  writes_.push_back(std::move(write));
}

// An instance that starts reads the tables from the store at once in a small fleet, where every
// instance does, and waits for the placer's tables in a large one.
void
FleetMember::StoreFleetSize(Instant aNow)
{
  if (!writes_.empty() || isStoreLost_ || !rosterSince_ || aNow < *rosterSince_ + kSizeSettleTime) {
    return;
  }
  const auto size = roster_.HasReaders() ? FleetSize::Large : FleetSize::Small;
  if (view_.Size() == size) {
    return;
  }
  PendingWrite write;
  const std::string key(kSizeKey);
  write.transaction_.conditions_ = { { std::string(kPlacerKey), view_.PlacerVersion() },
                                     { key, view_.SizeVersion() } };
  write.transaction_.writes_ = { { key, std::string(kFleetSizeNames.NameOf(size)) } };
  writes_.push_back(std::move(write));
}

void
FleetMember::SendWrites(Instant aNow)
{
  if (writes_.empty() || writes_.front().isInFlight_ || aNow < writes_.front().retryAt_) {
    return;
  }
  writes_.front().isInFlight_ = true;
  actions_.Transact(writes_.front().transaction_);
}

void
FleetMember::OnTransactEnded(Instant aNow, const StoreReply& aReply)
{
  if (writes_.empty() || !writes_.front().isInFlight_) {
    return;
  }
  auto& write = writes_.front();
  write.isInFlight_ = false;
  if (write.isAbandoned_) {
    writes_.erase(writes_.begin());
    return;
  }
  switch (aReply.status_) {
    case StoreStatus::Indeterminate:
      events_.Record(Event::StoreUnsure, "row=" + write.transaction_.writes_.front().key_);
      [[fallthrough]];
    case StoreStatus::Unavailable:
      // Retrying the same write is safe: the conditions hold for at most one of the two.
      write.retryAt_ = aNow + kWriteRetryDelay;
      return;
    case StoreStatus::Done:
    case StoreStatus::Conflict:
      break;
  }
  storeContactAt_ = aNow;
  const auto ended = std::move(write);
  writes_.erase(writes_.begin());
  const auto& written = ended.transaction_.writes_.front();
  const auto* stored = FindRow(aReply.rows_, written.key_);
  const bool isOwn = stored != nullptr && stored->value_ == written.value_;
  if (aReply.status_ == StoreStatus::Done || isOwn) {
    OnWriteDone(aNow, ended, aReply);
  } else {
    OnWriteConflict(aNow, ended, aReply);
  }
}

void
FleetMember::OnWriteDone(Instant aNow, const PendingWrite& aWrite, const StoreReply& aReply)
{
  const auto& written = aWrite.transaction_.writes_.front();
  const auto* stored = FindRow(aReply.rows_, written.key_);
  const RowVersion version = stored == nullptr ? 0 : stored->version_;
  if (aWrite.ownership_) {
    OnOwnershipWritten(aNow, version, aWrite);
  } else if (aWrite.Key() == kPlacerKey) {
    OnClaimed(aNow, { written.key_, version, written.value_ });
  } else {
    view_.ApplyFleetRow(aNow, { written.key_, version, written.value_ });
  }
}

void
FleetMember::OnClaimed(Instant aNow, const Row& aRow)
{
  events_.Record(Event::PlacerClaimed, "row_version=" + DescribeVersion(aRow.version_));
  view_.ApplyFleetRow(aNow, aRow);
  rosterSince_ = aNow;
  // Instances that reported to the former placer will report here.
  for (const auto& [address, peer] : roster_.Peers()) {
    reporters_.try_emplace(address, Reporter{ aNow, peer.DutyCapacity() });
  }
  StartLimitCoordinator(aNow);
  FleetUpdate update;
  update.placer_ = aRow;
  Broadcast(update);
  RunPlacers(aNow);
}

// The other instances have the owners that the write replaced. This instance may have read its own
// write from the store before the write was acknowledged, so its current view is not the base.
void
FleetMember::OnOwnershipWritten(Instant aNow, RowVersion aVersion, const PendingWrite& aWrite)
{
  const auto& ownership = *aWrite.ownership_;
  FleetUpdate update;
  // After a restore of the store, the other instances may have the owners as of other versions.
  const bool isFirstOfEpoch =
    aWrite.former_ && aWrite.former_->ownership_.epoch_ < ownership.epoch_;
  if (aWrite.former_ && !isFirstOfEpoch) {
    const auto& former = *aWrite.former_;
    update.owners_.push_back(
      { former.version_, aVersion, ChangesBetween(former.ownership_, ownership) });
  } else {
    update.owners_.push_back({ 0, aVersion, ownership });
  }
  view_.ApplyOwnership(aVersion, ownership);
  Broadcast(update);
  if (const auto placer = placers_.find(ownership.service_); placer != placers_.end()) {
    placer->second->placer_.OnWritten(aNow);
  }
}

void
FleetMember::OnWriteConflict(Instant aNow, const PendingWrite& aWrite, const StoreReply& aReply)
{
  std::string versions;
  for (const auto& condition : aWrite.transaction_.conditions_) {
    const auto* found = FindRow(aReply.rows_, condition.key_);
    versions += " row=" + condition.key_ + " expected=" + DescribeVersion(condition.version_) +
                " found=" + DescribeVersion(found == nullptr ? 0 : found->version_);
  }
  events_.Record(Event::StoreConflict, "write=" + aWrite.Key() + versions);
  for (const auto& row : aReply.rows_) {
    view_.ApplyFleetRow(aNow, row);
  }
  if (aWrite.Key() == kPlacerKey) {
    election_.OnClaimFailed(aNow);
  }
  if (!aWrite.ownership_) {
    return;
  }
  const auto& service = aWrite.ownership_->service_;
  const auto* owned = view_.OwnersOf(service);
  if (const auto placer = placers_.find(service); placer != placers_.end() && owned != nullptr) {
    placer->second->placer_.OnWriteFailed(aNow, owned->ownership_);
  }
}

void
FleetMember::BroadcastUncertainLease(Instant aNow, const UncertainLease& aLease)
{
  KeepUncertainLease(aNow, aLease);
  FleetUpdate update;
  update.uncertainLeases_.push_back(aLease);
  Broadcast(update);
}

void
FleetMember::Broadcast(const FleetUpdate& aUpdate)
{
  std::vector<FleetPeer> receivers;
  for (const auto& [address, peer] : roster_.Peers()) {
    receivers.push_back(peer);
  }
  actions_.SendUpdate(PlanUpdateTree(std::move(receivers), SelfAsPeer()), aUpdate);
}

void
FleetMember::SendTables(Instant aNow)
{
  if (!IsReady() || awaitingTables_.empty()) {
    return;
  }
  std::vector<FleetPeer> receivers;
  for (const auto& address : std::exchange(awaitingTables_, {})) {
    const auto peer = roster_.Peers().find(address);
    const auto reporter = reporters_.find(address);
    if (peer == roster_.Peers().end() || reporter == reporters_.end()) {
      continue;
    }
    auto& sentAt = reporter->second.tablesSentAt_;
    if (aNow >= sentAt + kTablesResendInterval) {
      sentAt = aNow;
      receivers.push_back(peer->second);
    }
  }
  if (!receivers.empty()) {
    actions_.SendUpdate(PlanUpdateTree(std::move(receivers), SelfAsPeer()), view_.UpdateSince({}));
  }
}

void
FleetMember::OnCommandEnded(Instant aNow,
                            const std::string& aService,
                            CommandNumber aCommand,
                            const CommandOutcome& aOutcome)
{
  if (const auto placer = placers_.find(aService); placer != placers_.end()) {
    placer->second->placer_.OnCommandEnded(aNow, aCommand, aOutcome);
  }
}

} // namespace latchslip
