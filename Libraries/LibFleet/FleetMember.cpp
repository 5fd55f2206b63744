#include "LibFleet/FleetMember.h"

#include "LibFleet/ServicePlacer.h"

#include <algorithm>

namespace latchslip {

namespace {

// Between two questions for a view while the store is out of reach.
constexpr Duration kFetchInterval = milliseconds(500);

} // namespace

FleetMember::FleetMember(FleetMemberSettings aSettings,
                         const RowDecoder& aDecoder,
                         FleetActions& aActions,
                         EventSink& aEvents)
  : settings_(std::move(aSettings))
  , decoder_(aDecoder)
  , actions_(aActions)
  , events_(aEvents)
  , election_(settings_.self_, 0)
  , random_(settings_.seed_)
{
  election_ =
    PlacerElection(settings_.self_, std::uniform_real_distribution<double>(0, 1)(random_));
}

FleetMember::~FleetMember() = default;

void
FleetMember::OnView(Instant aNow, const TableView& aView)
{
  storeHeardAt_ = aNow;
  Apply(aNow, aView);
}

void
FleetMember::Apply(Instant aNow, const TableView& aView)
{
  const bool isNew = !mirror_.IsKnown(aView.table_);
  const auto changes = mirror_.Apply(aView);
  for (const auto& change : changes) {
    switch (aView.table_) {
      case FleetTable::Configuration:
        OnConfigurationRow(change);
        break;
      case FleetTable::Servers:
        OnServerRow(aNow, change);
        break;
      case FleetTable::Fleet:
        if (!change.isRemoved_) {
          OnFleetRow(aNow, change.row_);
        }
        break;
    }
  }
  if (aView.table_ == FleetTable::Servers && (isNew || !changes.empty())) {
    actions_.OnDirectoryChanged();
  }
  if (aView.table_ == FleetTable::Fleet && isNew && !fleetRows_.contains(std::string(kPlacerKey))) {
    election_.OnRow(aNow, std::nullopt);
  }
}

void
FleetMember::OnConfigurationRow(const RowChange& aChange)
{
  if (aChange.isRemoved_) {
    return;
  }
  auto configuration = decoder_.DecodeConfiguration(aChange.row_);
  if (configuration && !configuration.value()) {
    return;
  }
  auto table = configuration ? RouteTable::Create(std::move(*configuration.value()))
                             : FieldResult<RouteTable>(configuration.error());
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
  actions_.OnRoutes(routes_);
  for (const auto& [key, row] : fleetRows_) {
    if (key.starts_with(kOwnershipPrefix)) {
      OnOwnershipRow(row);
    }
  }
}

void
FleetMember::OnServerRow(Instant aNow, const RowChange& aChange)
{
  if (aChange.isRemoved_) {
    directory_.Remove(aNow, aChange.row_.key_);
    return;
  }
  auto record = decoder_.DecodeServer(aChange.row_);
  if (!record) {
    events_.Record(Event::RecordRejected,
                   "server=" + aChange.row_.key_ + " reason=\"" + record.error().Describe() + "\"");
    return;
  }
  const auto& server = record.value();
  events_.Record(Event::ServerListed,
                 "server=" + server.id_ + " service=" + server.service_ + " address=" +
                   server.address_ + " leaving=" + (server.isLeaving_ ? "true" : "false"));
  directory_.Put(aNow, std::move(record).value());
}

void
FleetMember::OnFleetRow(Instant aNow, const Row& aRow)
{
  if (aRow.version_ <= VersionOf(aRow.key_)) {
    return;
  }
  Learn(aRow);
  if (aRow.key_ == kPlacerKey) {
    OnPlacerRow(aNow, aRow);
  } else if (aRow.key_.starts_with(kOwnershipPrefix)) {
    OnOwnershipRow(aRow);
  }
}

void
FleetMember::OnPlacerRow(Instant aNow, const Row& aRow)
{
  auto row = ParsePlacerRow(aRow.value_);
  if (!row) {
    events_.Record(Event::RecordRejected, "row=placer reason=\"" + row.error().Describe() + "\"");
    return;
  }
  const bool wasPlacer = election_.IsPlacer();
  election_.OnRow(aNow, row.value());
  if (wasPlacer && !election_.IsPlacer()) {
    events_.Record(Event::PlacerClaimLost, "placer=" + row.value().instance_);
    StopPlacers();
  }
}

void
FleetMember::OnOwnershipRow(const Row& aRow)
{
  auto ownership = ParseOwnership(aRow.value_);
  if (!ownership) {
    events_.Record(Event::RecordRejected,
                   "row=" + aRow.key_ + " reason=\"" + ownership.error().Describe() + "\"");
    return;
  }
  events_.Record(Event::OwnershipSeen,
                 "service=" + ownership.value().service_ +
                   " row_version=" + std::to_string(aRow.version_) +
                   " ranges=" + std::to_string(ownership.value().ranges_.size()));
  actions_.OnOwnership(ownership.value());
}

RowVersion
FleetMember::VersionOf(const std::string& aKey) const
{
  const auto row = fleetRows_.find(aKey);
  return row == fleetRows_.end() ? 0 : row->second.version_;
}

void
FleetMember::Learn(const Row& aRow)
{
  fleetRows_[aRow.key_] = aRow;
}

void
FleetMember::OnStoreLost(Instant aNow)
{
  if (isStoreLost_) {
    return;
  }
  isStoreLost_ = true;
  nextFetch_ = aNow;
  directory_.OnStoreLost(aNow);
  events_.Record(Event::StoreUnavailable,
                 "heard_ago_us=" + std::to_string((aNow - storeHeardAt_).count()));
}

void
FleetMember::OnStoreRegained(Instant aNow)
{
  if (!isStoreLost_) {
    return;
  }
  isStoreLost_ = false;
  storeHeardAt_ = aNow;
  directory_.OnStoreRegained(aNow);
  events_.Record(Event::StoreRecovered, "");
}

std::vector<std::string>
FleetMember::KeyedServices() const
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

void
FleetMember::CountKey(const std::string& aService, KeyNumber aKey)
{
  counters_[aService].Count(aKey);
}

void
FleetMember::OnTime(Instant aNow)
{
  if (directory_.Expire(aNow)) {
    events_.Record(Event::ServerUnlisted, "servers=" + std::to_string(directory_.All().size()));
    actions_.OnDirectoryChanged();
  }
  if (!isStoreLost_ && routes_ && writes_.empty() && election_.ShouldClaim(aNow)) {
    Claim();
  }
  if (election_.IsPlacer()) {
    RunPlacers(aNow);
  }
  SendWrites(aNow);
  if (aNow >= nextReport_) {
    Report(aNow);
  }
  if (isStoreLost_ && aNow >= nextFetch_) {
    FetchFromPeers(aNow);
  }
}

std::vector<TableView>
FleetMember::ViewsSince(const TableVersions& aVersions) const
{
  std::vector<TableView> views;
  for (std::size_t index = 0; index < kFleetTables; ++index) {
    const auto table = static_cast<FleetTable>(index);
    if (table == FleetTable::Fleet) {
      if (FleetVersion() > aVersions.at(index)) {
        views.push_back(FleetView());
      }
      continue;
    }
    if (mirror_.IsKnown(table) && mirror_.VersionOf(table) > aVersions.at(index)) {
      views.push_back(mirror_.Whole(table));
    }
  }
  return views;
}

void
FleetMember::OnViewsReceived(Instant aNow, const std::vector<TableView>& aViews)
{
  for (const auto& view : aViews) {
    if (view.table_ == FleetTable::Fleet) {
      for (const auto& change : view.rows_) {
        OnFleetRow(aNow, change.row_);
      }
      continue;
    }
    // Once the store answers again, its word on its own tables goes first.
    if (!isStoreLost_) {
      continue;
    }
    events_.Record(Event::ViewFromPeer,
                   "table=" + std::string(kFleetTableNames.NameOf(view.table_)) +
                     " version=" + std::to_string(view.version_));
    Apply(aNow, view);
  }
}

void
FleetMember::FetchFromPeers(Instant aNow)
{
  nextFetch_ = aNow + kFetchInterval;
  auto addresses = instances_;
  addresses.insert(addresses.end(), settings_.seeds_.begin(), settings_.seeds_.end());
  std::erase(addresses, settings_.self_.address_);
  if (addresses.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> draw(0, addresses.size() - 1);
  FetchFrom(addresses[draw(random_)]);
}

void
FleetMember::FetchFrom(const std::string& aAddress)
{
  TableVersions versions{};
  for (std::size_t index = 0; index < kFleetTables; ++index) {
    const auto table = static_cast<FleetTable>(index);
    versions.at(index) = table == FleetTable::Fleet ? FleetVersion() : mirror_.VersionOf(table);
  }
  actions_.FetchViews(aAddress, versions);
}

RowVersion
FleetMember::FleetVersion() const
{
  RowVersion version = 0;
  for (const auto& [key, row] : fleetRows_) {
    version = std::max(version, row.version_);
  }
  return version;
}

TableView
FleetMember::FleetView() const
{
  TableView view{ FleetTable::Fleet, FleetVersion(), true, {} };
  for (const auto& [key, row] : fleetRows_) {
    view.rows_.push_back({ row, false });
  }
  return view;
}

// Tells the others at once what this placer has written.
void
FleetMember::Spread()
{
  const std::vector<TableView> views{ FleetView() };
  for (const auto& address : instances_) {
    if (address != settings_.self_.address_) {
      actions_.SendViews(address, views);
    }
  }
}

} // namespace latchslip
