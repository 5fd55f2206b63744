#include "LibFleet/FleetMember.h"

#include "LibFleet/ServicePlacer.h"
#include "LibStore/StoreEpoch.h"

#include <algorithm>

namespace latchslip {

namespace {

// Interval between fetches of updates while the store is out of reach.
constexpr Duration kFetchInterval = milliseconds(500);
// A placer that answered within this time, two report intervals, still sends updates.
constexpr Duration kPlacerContactTime = milliseconds(1800);
// All instances of a fleet are known to its placer two reports after the first one.
constexpr Duration kRosterSettleTime = milliseconds(1600);
// With this share of a processor an instance is strong enough to be the placer of a large fleet: a
// tenth took seconds to answer the reports of 90 instances.
constexpr double kSufficientCapacity = 0.5;

} // namespace

FleetMember::FleetMember(FleetMemberSettings aSettings,
                         const RowDecoder& aDecoder,
                         FleetActions& aActions,
                         EventSink& aEvents)
  : settings_(std::move(aSettings))
  , actions_(aActions)
  , events_(aEvents)
  , view_(aDecoder, *this, aEvents)
  , random_(settings_.seed_)
  // The first placer reports the largest processor share; until then, compare with the share that
  // is enough for a large fleet.
  , election_(settings_.self_,
              std::uniform_real_distribution<double>(0, 1)(random_),
              CapacityDeficit(DutyCapacity(settings_.processorShare_, settings_.linkMbps_),
                              kSufficientCapacity))
  , limitCoordinator_(settings_.limitWindow_)
{
}

FleetMember::~FleetMember() = default;

void
FleetMember::OnView(Instant aNow, const TableView& aView)
{
  storeContactAt_ = aNow;
  const auto table = static_cast<std::size_t>(aView.table_);
  const auto version = view_.Versions().at(table);
  const auto lastChange = view_.LastChanges().at(table);
  if (aView.version_ < version && !aView.rows_.empty()) {
    events_.Record(Event::OlderViewDropped,
                   "table=" + std::string(kFleetTableNames.NameOf(aView.table_)) + " version=" +
                     DescribeVersion(aView.version_) + " known=" + DescribeVersion(version) +
                     " rows=" + std::to_string(aView.rows_.size()));
  }
  if (!view_.Merge(aNow, aView)) {
    return;
  }
  if (pollMode_ == StorePollMode::Starting) {
    UpdatePollMode(aNow);
  }
  const bool isReader = roster_.IsReader(settings_.self_.address_);
  const bool sendsUpdates = election_.IsPlacer() || isReader;
  if (aView.table_ == FleetTable::Fleet || version == 0 || !sendsUpdates) {
    return;
  }
  auto changes = view_.ChangesSince(aView.table_, version);
  // In a small fleet every instance polls the configuration.
  const bool isPolledByAll = aView.table_ == FleetTable::Configuration && !roster_.HasReaders();
  if (changes.rows_.empty() || isPolledByAll) {
    return;
  }
  FleetUpdate update;
  update.views_.push_back(std::move(changes));
  // The others have the last change, but not the later versions without changes.
  update.views_.back().base_ = lastChange;
  if (election_.IsPlacer()) {
    Broadcast(update);
  } else {
    SendUpdateToHall(update);
  }
}

FleetUpdate
FleetMember::UpdateSince(Instant aNow, const TableVersions& aVersions) const
{
  auto update = view_.UpdateSince(aVersions);
  update.proof_ = freshness_.CurrentProof(aNow);
  update.storeReachability_ = Reachability();
  return update;
}

UpdateKey
FleetMember::KeyOfUpdateSince(const TableVersions& aVersions) const
{
  return { aVersions, view_.Versions(), Reachability() };
}

StoreReachability
FleetMember::Reachability() const
{
  if (pollMode_ == StorePollMode::Off || pollMode_ == StorePollMode::Starting) {
    return StoreReachability::NotPolling;
  }
  return isStoreLost_ ? StoreReachability::Unreachable : StoreReachability::Reachable;
}

void
FleetMember::OnUpdateFetched(Instant aNow,
                             const std::optional<FleetUpdate>& aUpdate,
                             Duration aRoundTrip,
                             const std::string& aFrom)
{
  readerPoller_.OnAnswer(
    aNow, aFrom, aUpdate ? aUpdate->storeReachability_ : StoreReachability::NotPolling);
  if (!aUpdate) {
    return;
  }
  if (pollMode_ == StorePollMode::Off &&
      aUpdate->storeReachability_ == StoreReachability::Unreachable) {
    OnStoreLost(aNow);
  } else if (pollMode_ == StorePollMode::Off &&
             aUpdate->storeReachability_ == StoreReachability::Reachable) {
    OnStoreRegained(aNow);
  }
  OnUpdate(aNow, *aUpdate);
  OnProofReceived(aNow, aUpdate->proof_, aRoundTrip);
}

void
FleetMember::OnUpdate(Instant aNow, const FleetUpdate& aUpdate)
{
  if (aUpdate.pausesUpdates_) {
    placerMonitor_.OnFailure(PlacerFault::UpdatesPaused);
    UpdatePollMode(aNow);
  }
  limits_.OnAdmittedShares(aNow, aUpdate.parts_);
  for (const auto& lease : aUpdate.uncertainLeases_) {
    KeepUncertainLease(aNow, lease);
  }
  // What this instance reads from the store takes precedence for the tables that others write.
  const bool isPolling =
    pollMode_ == StorePollMode::LongWaits || pollMode_ == StorePollMode::ShortWaits;
  const bool ownRowsOnly = isPolling && !isStoreLost_;
  if (!aUpdate.views_.empty() && !ownRowsOnly) {
    events_.Record(Event::ViewFromPeer,
                   "tables=" + std::to_string(aUpdate.views_.size()) +
                     " following=" + std::string(kStorePollModeNames.NameOf(pollMode_)));
  }
  if (!view_.Merge(aNow, aUpdate, ownRowsOnly)) {
    // Some updates were missed; read the changes from the store.
    placerMonitor_.OnFailure(PlacerFault::UpdateMissed);
    UpdatePollMode(aNow);
  }
}

void
FleetMember::KeepUncertainLease(Instant aNow, const UncertainLease& aLease)
{
  auto& until = uncertainLeases_.try_emplace(aLease.server_, Instant::min()).first->second;
  until = std::max(until, aNow + aLease.duration_);
}

void
FleetMember::OnRoutes(Instant aNow, std::shared_ptr<const RouteTable> aRoutes)
{
  limitCoordinator_.SetGroups(aNow, aRoutes->Configuration().groups_);
  actions_.OnRoutes(std::move(aRoutes));
}

void
FleetMember::OnPlacer(Instant aNow, const std::optional<PlacerRow>& aPlacer)
{
  const bool wasPlacer = election_.IsPlacer();
  election_.OnRow(aNow, aPlacer);
  startupDeadline_.OnFleetRead(aNow, aPlacer.has_value());
  placerMonitor_.OnFailure(PlacerFault::PlacerChanged);
  nextReport_ = aNow;
  if (wasPlacer && !election_.IsPlacer()) {
    events_.Record(Event::PlacerClaimLost,
                   "placer=" + (aPlacer ? aPlacer->instance_ : std::string("-")));
    StopPlacers();
  }
}

void
FleetMember::OnStoreLost(Instant aNow)
{
  if (isStoreLost_) {
    return;
  }
  isStoreLost_ = true;
  nextFetch_ = aNow;
  view_.Directory().OnStoreLost(aNow);
  events_.Record(Event::StoreUnavailable,
                 "heard_ago_us=" + std::to_string((aNow - storeContactAt_).count()));
  if (election_.IsPlacer()) {
    FleetUpdate update;
    update.pausesUpdates_ = true;
    Broadcast(update);
  }
}

void
FleetMember::OnStoreRegained(Instant aNow)
{
  if (!isStoreLost_) {
    return;
  }
  isStoreLost_ = false;
  view_.Directory().OnStoreRegained(aNow);
  events_.Record(Event::StoreRecovered,
                 "following=" + std::string(kStorePollModeNames.NameOf(pollMode_)));
}

void
FleetMember::OnServerReportedLeaving(Instant aNow,
                                     const std::string& aServer,
                                     std::uint64_t aIncarnation)
{
  if (!view_.Directory().RecordLeaving(aNow, aServer, aIncarnation)) {
    return;
  }
  const bool isListedAsLeaving = view_.Directory().Find(aServer)->isLeaving_;
  events_.Record(Event::ServerToldLeaving,
                 "server=" + aServer + " listed_so=" + (isListedAsLeaving ? "true" : "false"));
  OnDirectoryChanged();
}

void
FleetMember::OnServerEnded(const std::string& aServer, std::uint64_t aIncarnation)
{
  if (!view_.Directory().RecordEnded(aServer, aIncarnation)) {
    return;
  }
  events_.Record(Event::ServerEndProven,
                 "server=" + aServer + " address=" + view_.Directory().Find(aServer)->address_);
  OnDirectoryChanged();
}

void
FleetMember::OnDirectoryChanged()
{
  for (const auto& [service, placer] : placers_) {
    placer->nextServersAt_ = Instant::min();
  }
  actions_.OnDirectoryChanged();
}

void
FleetMember::CountKey(const std::string& aService, KeyNumber aKey)
{
  counters_[aService].Count(aKey);
}

void
FleetMember::OnTime(Instant aNow)
{
  startupDeadline_.OnStart(aNow);
  if (view_.Directory().Expire(aNow)) {
    events_.Record(Event::ServerUnlisted,
                   "servers=" + std::to_string(view_.Directory().All().size()));
    OnDirectoryChanged();
  }
  if (!isStoreLost_ && writes_.empty() && election_.ShouldClaim(aNow)) {
    ClaimPlacerRole();
  }
  if (election_.IsPlacer()) {
    RunPlacers(aNow);
    SendTables(aNow);
    StoreFleetSize(aNow);
  }
  SendWrites(aNow);
  UpdateLimits(aNow);
  RenewProof(aNow);
  if (aNow >= nextReport_) {
    Report(aNow);
  }
  UpdatePollMode(aNow);
  ReportStaleness(aNow);
  RequestFromReader(aNow);
  // While readers stand in for the placer, only readers are asked: two instances that both depend
  // on others would keep each other from polling the store.
  if (isStoreLost_ && pollMode_ != StorePollMode::Off && aNow >= nextFetch_) {
    FetchFromPeers(aNow);
  }
}

StorePollMode
FleetMember::SelectPollMode(Instant aNow)
{
  if (election_.IsPlacer()) {
    return StorePollMode::ShortWaits;
  }
  if (!IsReady()) {
    const bool isWaiting = pollMode_ == StorePollMode::Starting &&
                           view_.Size() != FleetSize::Small && !startupDeadline_.HasExpired(aNow);
    return isWaiting ? StorePollMode::Starting : StorePollMode::LongWaits;
  }
  if (placerMonitor_.IsReliable(aNow, view_.Versions())) {
    readerPoller_.OnPlacerReliable();
    return PollsConfiguration(aNow) ? StorePollMode::ConfigurationOnly : StorePollMode::Off;
  }
  if (DependsOnReaders()) {
    readerPoller_.OnPlacerUnreliable(aNow);
    return readerPoller_.AreReadersReliable(aNow) ? StorePollMode::Off : StorePollMode::LongWaits;
  }
  // Other instances rely on a reader, so it must notice an outage sooner.
  return roster_.HasReaders() ? StorePollMode::ShortWaits : StorePollMode::LongWaits;
}

bool
FleetMember::PollsConfiguration(Instant aNow) const
{
  if (roster_.HasReaders()) {
    return roster_.IsReader(settings_.self_.address_);
  }
  // The first answers of a placer list only the instances that have reported so far.
  const bool isSettled = rosterSince_ && aNow - *rosterSince_ >= kRosterSettleTime;
  return isSettled || view_.Size() == FleetSize::Small;
}

bool
FleetMember::DependsOnReaders() const
{
  return roster_.HasReaders() && !roster_.IsReader(settings_.self_.address_);
}

FleetPeer
FleetMember::SelfAsPeer() const
{
  return {
    settings_.self_.address_, settings_.hall_, settings_.processorShare_, settings_.linkMbps_
  };
}

void
FleetMember::SendUpdateToHall(const FleetUpdate& aUpdate)
{
  std::vector<FleetPeer> receivers;
  for (const auto& [address, peer] : roster_.Peers()) {
    if (peer.hall_ == settings_.hall_) {
      receivers.push_back(peer);
    }
  }
  actions_.SendUpdate(PlanUpdateTree(std::move(receivers), SelfAsPeer()), aUpdate);
}

void
FleetMember::RequestFromReader(Instant aNow)
{
  if (!DependsOnReaders() || !readerPoller_.IsRequestDue(aNow)) {
    return;
  }
  const auto readers = roster_.ReadersByProximity(settings_.hall_);
  if (const auto address = readerPoller_.NextReader(aNow, readers, random_)) {
    actions_.FetchUpdate(*address, view_.Versions());
  }
}

void
FleetMember::UpdatePollMode(Instant aNow)
{
  const auto mode = SelectPollMode(aNow);
  if (mode == StorePollMode::Off && placerMonitor_.IsReliable(aNow, view_.Versions())) {
    OnStoreRegained(aNow);
  }
  if (mode == pollMode_) {
    return;
  }
  pollMode_ = mode;
  events_.Record(Event::FollowingChanged,
                 "following=" + std::string(kStorePollModeNames.NameOf(mode)) +
                   " store_heard_ago_us=" + std::to_string((aNow - storeContactAt_).count()) + " " +
                   placerMonitor_.Describe(aNow, view_.Versions()));
  actions_.SetPollMode(mode, view_.Versions());
  if (mode == StorePollMode::ConfigurationOnly) {
    OnStoreRegained(aNow);
  }
}

void
FleetMember::ReportStaleness(Instant aNow)
{
  const bool isReachable = election_.IsPlacer() || aNow - placerContactAt_ < kPlacerContactTime;
  const bool isStale = isStoreLost_ && !isReachable;
  if (isStale != isStale_) {
    isStale_ = isStale;
    actions_.OnStalenessChanged(isStale);
  }
}

void
FleetMember::FetchFromPeers(Instant aNow)
{
  nextFetch_ = aNow + kFetchInterval;
  // In a large fleet, the others only have what its readers send them.
  const bool hasReaders = roster_.HasReaders();
  auto addresses = hasReaders ? std::vector<std::string>() : settings_.seeds_;
  for (const auto& [address, peer] : roster_.Peers()) {
    if (!hasReaders || roster_.IsReader(address)) {
      addresses.push_back(address);
    }
  }
  std::erase(addresses, settings_.self_.address_);
  if (addresses.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> draw(0, addresses.size() - 1);
  actions_.FetchUpdate(addresses[draw(random_)], view_.Versions());
}

} // namespace latchslip
