// The part of FleetMember that is the placer.

#include "LibFleet/FleetMember.h"
#include "LibFleet/ServicePlacer.h"
#include "LibStore/StoreEpoch.h"

#include <algorithm>

namespace latchslip {

namespace {

// An instance that reported within this time takes the receiver for the placer.
constexpr Duration kReportingBound = seconds(2);
// Tables that were told are not told again for so long: whoever starts reads them itself
// before.
constexpr Duration kTablesAgain = seconds(2);
// A write that failed is sent again after this time.
constexpr Duration kWritePause = milliseconds(200);
// All instances of a fleet report to its placer within this time.
constexpr Duration kSizeSettle = seconds(2);
// Servers are taken to differ in speed by this factor from the typical at most,
// so that a noisy mean cannot empty or flood one. Keys that a server has to load first
// take it several times as long.
constexpr double kMostSpeed = 4;
// The part of its rate limit that a server is counted on for. Requests that come unevenly wait
// for a slot, but those that a limit leaves no room for are mostly refused.
constexpr double kCountedOnLimit = 0.6;

} // namespace

// A claim names the owners' rows too: orders must not go out from older ones.
void
FleetMember::Claim()
{
  WaitingWrite write;
  auto& conditions = write.transaction_.conditions_;
  const std::string key(kPlacerKey);
  conditions.push_back({ key, view_.PlacerVersion() });
  // The configuration may not be known yet: it is read by the placer first.
  std::set<std::string> services;
  for (const auto& names : { view_.KeyedServices(), view_.OwnedServices() }) {
    services.insert(names.begin(), names.end());
  }
  for (const auto& service : services) {
    const auto* owned = view_.OwnersOf(service);
    conditions.push_back({ OwnershipKey(service), owned == nullptr ? 0 : owned->version_ });
  }
  write.transaction_.writes_.push_back({ key, SerializePlacerRow(settings_.self_) });
  formerPlacer_ = election_.Current() ? election_.Current()->instance_ : std::string();
  if (!formerPlacer_.empty() && formerPlacer_ != settings_.self_.instance_) {
    events_.Record(Event::PlacerSilent, "placer=" + election_.Current()->instance_);
  }
  writes_.push_back(std::move(write));
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
    placer->placer_.Start(
      aNow, owned == nullptr ? std::nullopt : std::optional(owned->ownership_), doubts_);
    if (owned != nullptr && owned->isFromCopyOnly_) {
      placer->placer_.WaitForLostGrants(aNow);
    }
    if (formerPlacer_ == settings_.self_.instance_) {
      placer->placer_.OnFormerPlacerStopped(aNow);
    }
  }
}

void
FleetMember::StopPlacers()
{
  placers_.clear();
  // The answer to a write under way must not be taken for that of a later one.
  std::erase_if(writes_, [](const WaitingWrite& aWrite) { return !aWrite.isUnderWay_; });
  for (auto& write : writes_) {
    write.isAbandoned_ = true;
  }
}

void
FleetMember::RunPlacers(Instant aNow)
{
  if (!MayOrder(aNow)) {
    return;
  }
  if (view_.IsKnown(FleetTable::Servers)) {
    StartPlacers(aNow);
  }
  for (const auto& [service, placer] : placers_) {
    if (aNow >= placer->placer_.NextTime()) {
      placer->placer_.SetEpoch(view_.Epoch());
      placer->placer_.SetServers(aNow, KeyServersOf(aNow, service));
      placer->placer_.OnTime(aNow, !isStoreLost_);
    }
  }
}

// Another instance may be the placer by now, and counts on this one's silence. As
// long as most of the others report here that did when the store was last heard,
// none can be.
bool
FleetMember::MayOrder(Instant aNow) const
{
  const auto bound = settings_.placer_.renewalAlone_;
  if (aNow - storeHeardAt_ < bound) {
    return true;
  }
  const auto reporting =
    std::count_if(heardInstances_.begin(), heardInstances_.end(), [&](const auto& aEntry) {
      return aEntry.first != settings_.self_.address_ &&
             aNow - aEntry.second.heardAt_ < kReportingBound;
    });
  return othersWithStore_ == 0 || 2 * static_cast<std::size_t>(reporting) > othersWithStore_;
}

std::vector<KeyServer>
FleetMember::KeyServersOf(Instant aNow, const std::string& aService) const
{
  std::vector<KeyServer> servers;
  const auto typical = TypicalWorkTimeOf(aService);
  for (const auto& [id, record] : view_.Directory().All()) {
    if (record.service_ != aService) {
      continue;
    }
    KeyServer server;
    server.id_ = id;
    server.address_ = record.address_;
    server.life_ = record.life_;
    server.isUsable_ = record.AcceptsWork() && !view_.Directory().HasEnded(id);
    if (typical) {
      const double atLimit = kCountedOnLimit * speeds_.RateLimitOf(aNow, id) * ToSeconds(*typical);
      server.weight_ = std::min(record.slots_ * SpeedOf(record, *typical), atLimit);
    }
    servers.push_back(std::move(server));
  }
  return servers;
}

std::optional<Duration>
FleetMember::TypicalWorkTimeOf(const std::string& aService) const
{
  std::vector<Duration> known;
  for (const auto& [id, record] : view_.Directory().All()) {
    if (record.service_ != aService) {
      continue;
    }
    if (const auto time = speeds_.WorkTimeOf(id, record.slots_)) {
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
FleetMember::SpeedOf(const ServerRecord& aServer, Duration aTypical) const
{
  const auto time = speeds_.WorkTimeOf(aServer.id_, aServer.slots_);
  if (!time) {
    return 1;
  }
  const auto count = std::max<Duration::rep>(1, time->count());
  const double speed = static_cast<double>(aTypical.count()) / static_cast<double>(count);
  return std::clamp(speed, 1 / kMostSpeed, kMostSpeed);
}

void
FleetMember::QueueWrite(const KeyOwnership& aOwnership)
{
  WaitingWrite write;
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

// Whoever starts in a small fleet reads the tables at once, as each instance does there;
// in a large one it waits to be told.
void
FleetMember::NoteFleetSize(Instant aNow)
{
  if (!writes_.empty() || isStoreLost_ || !rosterSince_ || aNow < *rosterSince_ + kSizeSettle) {
    return;
  }
  const auto size = roster_.HasReaders() ? FleetSize::Large : FleetSize::Small;
  if (view_.Size() == size) {
    return;
  }
  WaitingWrite write;
  const std::string key(kSizeKey);
  write.transaction_.conditions_ = { { std::string(kPlacerKey), view_.PlacerVersion() },
                                     { key, view_.SizeVersion() } };
  write.transaction_.writes_ = { { key, std::string(kFleetSizeNames.NameOf(size)) } };
  writes_.push_back(std::move(write));
}

void
FleetMember::SendWrites(Instant aNow)
{
  if (writes_.empty() || writes_.front().isUnderWay_ || aNow < writes_.front().retryAt_) {
    return;
  }
  writes_.front().isUnderWay_ = true;
  actions_.Transact(writes_.front().transaction_);
}

void
FleetMember::OnTransactEnded(Instant aNow, const StoreReply& aReply)
{
  if (writes_.empty() || !writes_.front().isUnderWay_) {
    return;
  }
  auto& write = writes_.front();
  write.isUnderWay_ = false;
  if (write.isAbandoned_) {
    writes_.erase(writes_.begin());
    return;
  }
  switch (aReply.status_) {
    case StoreStatus::Unsure:
      events_.Record(Event::StoreUnsure, "row=" + write.transaction_.writes_.front().key_);
      [[fallthrough]];
    case StoreStatus::Unavailable:
      // The same write again is safe: at most one of the two meets its conditions.
      write.retryAt_ = aNow + kWritePause;
      return;
    case StoreStatus::Done:
    case StoreStatus::Conflict:
      break;
  }
  storeHeardAt_ = aNow;
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
FleetMember::OnWriteDone(Instant aNow, const WaitingWrite& aWrite, const StoreReply& aReply)
{
  const auto& written = aWrite.transaction_.writes_.front();
  const auto* stored = FindRow(aReply.rows_, written.key_);
  const RowVersion version = stored == nullptr ? 0 : stored->version_;
  if (aWrite.ownership_) {
    OnOwnershipWritten(aNow, version, aWrite);
  } else if (aWrite.Key() == kPlacerKey) {
    OnClaimed(aNow, { written.key_, version, written.value_ });
  } else {
    view_.TakeFleetRow(aNow, { written.key_, version, written.value_ });
  }
}

void
FleetMember::OnClaimed(Instant aNow, const Row& aRow)
{
  events_.Record(Event::PlacerClaimed, "row_version=" + DescribeVersion(aRow.version_));
  view_.TakeFleetRow(aNow, aRow);
  rosterSince_ = aNow;
  // Those that reported to the former placer will report here.
  for (const auto& [address, peer] : roster_.Peers()) {
    heardInstances_.try_emplace(address, HeardInstance{ aNow, peer.processorShare_ });
  }
  StartLimitCoordinator(aNow);
  FleetNews news;
  news.placer_ = aRow;
  Spread(news);
  RunPlacers(aNow);
}

// What the others have is what the write followed on. This instance may have read
// its own write from the store before the write was answered.
void
FleetMember::OnOwnershipWritten(Instant aNow, RowVersion aVersion, const WaitingWrite& aWrite)
{
  const auto& ownership = *aWrite.ownership_;
  FleetNews news;
  // After the store's return the others may know the owners as of other versions.
  const bool isFirstOfEpoch =
    aWrite.former_ && aWrite.former_->ownership_.epoch_ < ownership.epoch_;
  if (aWrite.former_ && !isFirstOfEpoch) {
    const auto& former = *aWrite.former_;
    news.owners_.push_back(
      { former.version_, aVersion, ChangesBetween(former.ownership_, ownership) });
  } else {
    news.owners_.push_back({ 0, aVersion, ownership });
  }
  view_.TakeOwnership(aVersion, ownership);
  Spread(news);
  if (const auto placer = placers_.find(ownership.service_); placer != placers_.end()) {
    placer->second->placer_.OnWritten(aNow);
  }
}

void
FleetMember::OnWriteConflict(Instant aNow, const WaitingWrite& aWrite, const StoreReply& aReply)
{
  std::string versions;
  for (const auto& condition : aWrite.transaction_.conditions_) {
    const auto* found = FindRow(aReply.rows_, condition.key_);
    versions += " row=" + condition.key_ + " expected=" + DescribeVersion(condition.version_) +
                " found=" + DescribeVersion(found == nullptr ? 0 : found->version_);
  }
  events_.Record(Event::StoreConflict, "write=" + aWrite.Key() + versions);
  for (const auto& row : aReply.rows_) {
    view_.TakeFleetRow(aNow, row);
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
FleetMember::SpreadDoubt(Instant aNow, const HoldDoubt& aDoubt)
{
  NoteDoubt(aNow, aDoubt);
  FleetNews news;
  news.doubts_.push_back(aDoubt);
  Spread(news);
}

void
FleetMember::Spread(const FleetNews& aNews)
{
  std::vector<FleetPeer> receivers;
  for (const auto& [address, peer] : roster_.Peers()) {
    receivers.push_back(peer);
  }
  actions_.SendNews(PlanNewsTree(std::move(receivers), SelfAsPeer()), aNews);
}

void
FleetMember::SpreadTables(Instant aNow)
{
  if (!IsReady() || lacking_.empty()) {
    return;
  }
  std::vector<FleetPeer> receivers;
  for (const auto& address : std::exchange(lacking_, {})) {
    const auto peer = roster_.Peers().find(address);
    const auto heard = heardInstances_.find(address);
    if (peer == roster_.Peers().end() || heard == heardInstances_.end()) {
      continue;
    }
    auto& toldAt = heard->second.tablesToldAt_;
    if (aNow >= toldAt + kTablesAgain) {
      toldAt = aNow;
      receivers.push_back(peer->second);
    }
  }
  if (!receivers.empty()) {
    actions_.SendNews(PlanNewsTree(std::move(receivers), SelfAsPeer()), view_.NewsSince({}));
  }
}

void
FleetMember::OnOrderEnded(Instant aNow,
                          const std::string& aService,
                          OrderNumber aOrder,
                          const OrderOutcome& aOutcome)
{
  if (const auto placer = placers_.find(aService); placer != placers_.end()) {
    placer->second->placer_.OnOrderEnded(aNow, aOrder, aOutcome);
  }
}

} // namespace latchslip
