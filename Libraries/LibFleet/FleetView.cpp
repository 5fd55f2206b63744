#include "LibFleet/FleetView.h"

#include "LibStore/StoreEpoch.h"

#include <algorithm>
#include <set>

namespace latchslip {

std::string
OwnershipKey(const std::string& aService)
{
  return std::string(kOwnershipPrefix) + aService;
}

FleetView::FleetView(const RowDecoder& aDecoder, FleetViewListener& aListener, EventSink& aEvents)
  : decoder_(aDecoder)
  , listener_(aListener)
  , events_(aEvents)
{
}

bool
FleetView::Merge(Instant aNow, const TableView& aView)
{
  UpdateEpoch(aNow, aView.version_);
  const bool isNew = !replica_.IsKnown(aView.table_);
  const auto changes = replica_.Apply(aView);
  if (!changes) {
    return false;
  }
  if (isNew && aView.table_ == FleetTable::Servers) {
    directory_.OnFirstList(aNow);
  }
  for (const auto& change : *changes) {
    switch (aView.table_) {
      case FleetTable::Configuration:
        OnConfigurationRow(aNow, change);
        break;
      case FleetTable::Servers:
        OnServerRow(aNow, change);
        break;
      case FleetTable::Fleet:
        break;
    }
  }
  if (aView.table_ == FleetTable::Fleet) {
    ApplyFleetRows(aNow, aView);
  }
  if (aView.table_ == FleetTable::Servers && (isNew || !changes->empty())) {
    listener_.OnDirectoryChanged();
  }
  if (aView.table_ == FleetTable::Fleet && isNew && !placer_) {
    listener_.OnPlacer(aNow, std::nullopt);
  }
  return true;
}

void
FleetView::UpdateEpoch(Instant aNow, RowVersion aVersion)
{
  const auto epoch = EpochOf(aVersion);
  if (epoch_ && epoch <= *epoch_) {
    return;
  }
  if (epoch_) {
    events_.Record(Event::StoreCameBack,
                   "epoch=" + std::to_string(epoch) + " before=" + std::to_string(*epoch_));
    directory_.OnStoreRolledBack(aNow);
  }
  epoch_ = epoch;
}

void
FleetView::ApplyFleetRows(Instant aNow, const TableView& aView)
{
  for (const auto& change : aView.rows_) {
    if (!change.isRemoved_) {
      ApplyFleetRow(aNow, change.row_);
    }
  }
  if (aView.isWhole_) {
    DropLostRows(aNow, aView);
  }
}

void
FleetView::DropLostRows(Instant aNow, const TableView& aView)
{
  std::set<std::string> present;
  for (const auto& change : aView.rows_) {
    present.insert(change.row_.key_);
  }
  const auto isLost = [&](const std::string& aKey, RowVersion aVersion) {
    return aVersion != 0 && EpochOf(aVersion) < EpochOf(aView.version_) && !present.contains(aKey);
  };
  if (isLost(std::string(kSizeKey), SizeVersion())) {
    size_.reset();
  }
  for (auto& [service, owned] : owners_) {
    if (isLost(OwnershipKey(service), owned.version_)) {
      owned.version_ = 0;
    }
  }
  if (isLost(std::string(kPlacerKey), PlacerVersion())) {
    placer_.reset();
    listener_.OnPlacer(aNow, std::nullopt);
  }
}

bool
FleetView::Merge(Instant aNow, const FleetUpdate& aUpdate, bool aOwnRowsOnly)
{
  bool isWhole = true;
  if (!aOwnRowsOnly) {
    for (const auto& view : aUpdate.views_) {
      isWhole = Merge(aNow, view) && isWhole;
    }
  }
  if (aUpdate.placer_) {
    ApplyFleetRow(aNow, *aUpdate.placer_);
  }
  for (const auto& update : aUpdate.owners_) {
    isWhole = ApplyOwnershipUpdate(update) && isWhole;
  }
  return isWhole;
}

bool
FleetView::ApplyOwnershipUpdate(const OwnershipUpdate& aUpdate)
{
  const auto& service = aUpdate.ownership_.service_;
  const auto known = owners_.find(service);
  const RowVersion version = known == owners_.end() ? 0 : known->second.version_;
  if (aUpdate.version_ <= version) {
    return true;
  }
  if (aUpdate.base_ > version) {
    return false;
  }
  ApplyOwnership(aUpdate.version_,
                 aUpdate.base_ == 0 ? aUpdate.ownership_
                                    : Overlay(known->second.ownership_, aUpdate.ownership_));
  return true;
}

void
FleetView::ApplyOwnership(RowVersion aVersion, const KeyOwnership& aOwnership)
{
  const auto [entry, isFirst] = owners_.try_emplace(aOwnership.service_);
  auto& owned = entry->second;
  if (aVersion <= owned.version_) {
    return;
  }
  const bool isLaterEpoch = !isFirst && EpochOf(aVersion) > EpochOf(owned.version_);
  if (isLaterEpoch && !aOwnership.IsLaterThan(owned.ownership_)) {
    // The row comes from a restored copy. Writes that it lacks may have moved keys, and servers
    // have seen the fences of those writes.
    owned.version_ = aVersion;
    events_.Record(Event::OwnersKept,
                   "service=" + aOwnership.service_ + " row_version=" + DescribeVersion(aVersion) +
                     " row_fence=" + std::to_string(aOwnership.lastFence_) +
                     " known_fence=" + std::to_string(owned.ownership_.lastFence_));
    return;
  }
  owned = { aVersion, aOwnership, isFirst && aOwnership.epoch_ < EpochOf(aVersion) };
  events_.Record(Event::OwnershipSeen,
                 "service=" + aOwnership.service_ + " row_version=" + DescribeVersion(aVersion) +
                   " ranges=" + std::to_string(aOwnership.ranges_.size()));
  listener_.OnOwnership(owned.ownership_);
}

void
FleetView::ApplyFleetRow(Instant aNow, const Row& aRow)
{
  if (aRow.key_ == kPlacerKey) {
    OnPlacerRow(aNow, aRow);
  } else if (aRow.key_ == kSizeKey) {
    size_ = aRow.version_ > SizeVersion() ? aRow : size_;
  } else if (aRow.key_.starts_with(kOwnershipPrefix)) {
    OnOwnershipRow(aRow);
  }
}

void
FleetView::OnConfigurationRow(Instant aNow, const RowChange& aChange)
{
  if (const auto hall = decoder_.DecodeDrainedHall(aChange.row_.key_)) {
    OnHallDrain(aNow, *hall, aChange.isRemoved_);
    return;
  }
  if (aChange.isRemoved_) {
    return;
  }
  auto configuration = decoder_.DecodeConfiguration(aChange.row_);
  if (configuration && !configuration.value()) {
    return;
  }
  auto table = configuration ? RouteTable::Create(std::move(*configuration.value()))
                             : FieldResult<RouteTable>(configuration.error());
  configurationKey_ = table ? aChange.row_.key_ : std::string();
  if (!table) {
    events_.Record(Event::RoutesRejected, "reason=\"" + table.error().Describe() + "\"");
    return;
  }
  const auto version = table.value().Configuration().version_;
  if (routes_ && version <= routes_->Configuration().version_) {
    return;
  }
  routes_ = std::make_shared<const RouteTable>(std::move(table).value());
  events_.Record(Event::RoutesInForce,
                 "version=" + std::to_string(version) +
                   " routes=" + std::to_string(routes_->Configuration().routes_.size()));
  listener_.OnRoutes(aNow, routes_);
}

void
FleetView::OnHallDrain(Instant aNow, const std::string& aHall, bool aIsOver)
{
  events_.Record(aIsOver ? Event::HallRestored : Event::HallDrained, "hall=" + aHall);
  if (aIsOver) {
    directory_.RestoreHall(aNow, aHall);
  } else {
    directory_.DrainHall(aHall);
  }
  listener_.OnDirectoryChanged();
}

void
FleetView::OnServerRow(Instant aNow, const RowChange& aChange)
{
  if (aChange.isRemoved_) {
    directory_.Remove(aNow, aChange.row_.key_);
    return;
  }
  auto record = DecodeServer(aChange.row_);
  if (!record) {
    // A server whose record cannot be decoded is not used, even if an earlier record was valid.
    directory_.Remove(aNow, aChange.row_.key_);
    events_.Record(Event::RecordRejected,
                   "server=" + aChange.row_.key_ + " reason=\"" + record.error().Describe() + "\"");
    return;
  }
  const auto& server = record.value();
  events_.Record(Event::ServerListed,
                 "server=" + server.id_ + " service=" + server.service_ + " address=" +
                   server.address_ + " leaving=" + (server.isLeaving_ ? "true" : "false") +
                   " slow_start_left_us=" + std::to_string(server.slowStartLeft_.count()));
  directory_.Put(aNow, std::move(record).value());
}

// A record of an earlier incarnation than the known one was written late, or by a clock that was
// set back. Using it might grant keys to a server that has them from another grant.
FieldResult<ServerRecord>
FleetView::DecodeServer(const Row& aRow) const
{
  BOOST_OUTCOME_TRY(auto record, decoder_.DecodeServer(aRow));
  const auto* known = directory_.FindAny(record.id_);
  if (known != nullptr && record.incarnation_ < known->incarnation_) {
    return FieldError{ "life", "is earlier than one that is known" };
  }
  return record;
}

void
FleetView::OnPlacerRow(Instant aNow, const Row& aRow)
{
  if (aRow.version_ <= PlacerVersion()) {
    return;
  }
  auto row = ParsePlacerRow(aRow.value_);
  if (!row) {
    events_.Record(Event::RecordRejected, "row=placer reason=\"" + row.error().Describe() + "\"");
    return;
  }
  // Whether this is the same claim, with the version that it has after a restore of the store.
  const bool isSame = placer_ && placer_->value_ == aRow.value_;
  placer_ = aRow;
  placerVersionSince_ = aNow;
  if (!isSame) {
    listener_.OnPlacer(aNow, row.value());
  }
}

void
FleetView::OnOwnershipRow(const Row& aRow)
{
  const auto service = aRow.key_.substr(kOwnershipPrefix.size());
  if (const auto* known = OwnersOf(service); known != nullptr && aRow.version_ <= known->version_) {
    return;
  }
  auto ownership = ParseOwnership(aRow.value_);
  if (!ownership || ownership.value().service_ != service) {
    const auto problem = ownership ? "names another service" : ownership.error().Describe();
    events_.Record(Event::RecordRejected, "row=" + aRow.key_ + " reason=\"" + problem + "\"");
    return;
  }
  ApplyOwnership(aRow.version_, ownership.value());
}

RowVersion
FleetView::ConfigurationVersion() const
{
  const auto* row = replica_.Find(FleetTable::Configuration, configurationKey_);
  return row == nullptr ? 0 : row->version_;
}

FleetUpdate
FleetView::UpdateSince(const TableVersions& aVersions) const
{
  FleetUpdate update;
  for (const auto table : { FleetTable::Configuration, FleetTable::Servers }) {
    const auto index = static_cast<std::size_t>(table);
    const auto has = aVersions.at(index);
    if (replica_.IsKnown(table) && (has == 0 || replica_.LastChangeOf(table) > has)) {
      update.views_.push_back(replica_.Since(table, has));
    }
  }
  const auto known = aVersions.at(static_cast<std::size_t>(FleetTable::Fleet));
  if (PlacerVersion() > known) {
    update.placer_ = placer_;
  }
  for (const auto& [service, owned] : owners_) {
    if (owned.version_ > known) {
      update.owners_.push_back({ 0, owned.version_, owned.ownership_ });
    }
  }
  return update;
}

TableVersions
FleetView::Versions() const
{
  RowVersion fleet = PlacerVersion();
  for (const auto& [service, owned] : owners_) {
    fleet = std::max(fleet, owned.version_);
  }
  return { replica_.VersionOf(FleetTable::Configuration),
           replica_.VersionOf(FleetTable::Servers),
           fleet };
}

TableVersions
FleetView::LastChanges() const
{
  auto versions = Versions();
  for (const auto table : { FleetTable::Configuration, FleetTable::Servers }) {
    versions.at(static_cast<std::size_t>(table)) = replica_.LastChangeOf(table);
  }
  return versions;
}

const FleetView::OwnedService*
FleetView::OwnersOf(const std::string& aService) const
{
  const auto owned = owners_.find(aService);
  return owned == owners_.end() ? nullptr : &owned->second;
}

std::optional<FleetSize>
FleetView::Size() const
{
  return size_ ? kFleetSizeNames.ValueOf(size_->value_) : std::nullopt;
}

std::vector<std::string>
FleetView::OwnedServices() const
{
  std::vector<std::string> services;
  for (const auto& [service, owned] : owners_) {
    services.push_back(service);
  }
  return services;
}

std::vector<std::string>
FleetView::KeyedServices() const
{
  std::vector<std::string> services;
  if (!routes_) {
    return services;
  }
  for (const auto& service : routes_->Configuration().services_) {
    if (service.isKeyed_) {
      services.push_back(service.name_);
    }
  }
  return services;
}

} // namespace latchslip
