#pragma once

#include "LibBase/Event.h"
#include "LibBase/NameTable.h"
#include "LibFleet/FleetUpdate.h"
#include "LibFleet/PlacerElection.h"
#include "LibFleet/TableReplica.h"
#include "LibGateway/RoutingTable.h"
#include "LibGateway/ServerDirectory.h"
#include "LibKeys/KeyOwnership.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace latchslip {

// Key of the row that names the placer.
inline constexpr std::string_view kPlacerKey = "placer";
// Key of the row with the fleet's size class.
inline constexpr std::string_view kSizeKey = "size";
// Key prefix of the rows with the owners of a service's keys.
inline constexpr std::string_view kOwnershipPrefix = "ownership/";

// The fleet's size class, stored for instances that start and don't have a roster yet.
enum class FleetSize
{
  // Each instance reads the store itself.
  Small,
  // Readers poll the store on behalf of the others.
  Large,
};

inline constexpr NameTable<FleetSize, 2> kFleetSizeNames{ { "small", "large" } };

// Key of the row with the owners of that service's keys.
std::string
OwnershipKey(const std::string& aService);

// Decodes rows whose format the platform defines.
class RowDecoder
{
public:
  virtual ~RowDecoder() = default;

  // No value if that row of the configuration table is not a configuration.
  virtual FieldResult<std::optional<RoutingConfiguration>> DecodeConfiguration(
    const Row& aRow) const = 0;
  virtual FieldResult<ServerRecord> DecodeServer(const Row& aRow) const = 0;
  // The data hall that is drained as long as the configuration table has a row of that key; no
  // value for other keys.
  virtual std::optional<std::string> DecodeDrainedHall(std::string_view aKey) const = 0;
};

// Receives the changes of a FleetView.
class FleetViewListener
{
public:
  virtual ~FleetViewListener() = default;

  virtual void OnRoutes(Instant aNow, std::shared_ptr<const RouteTable> aRoutes) = 0;
  virtual void OnDirectoryChanged() = 0;
  virtual void OnOwnership(const KeyOwnership& aOwnership) = 0;
  virtual void OnPlacer(Instant aNow, const std::optional<PlacerRow>& aPlacer) = 0;
};

// An instance's copy of the store's tables: routes, servers, owners of keys and placer. It merges
// what the store and other instances send, and never goes back to an older version. Rows that
// cannot be decoded are logged, and the last good configuration stays in force. If the store is
// restored from an older copy, its rows have higher versions (a later epoch) but may be older in
// content. In that case the configuration in force stays, the withdrawal of a server's leaving
// state is delayed, and the later key owners are kept until the placer writes them again.
class FleetView
{
public:
  struct OwnedService
  {
    // Version of the row in the store; 0 if there is none.
    RowVersion version_ = 0;
    // The owners, which may be later than those in that row.
    KeyOwnership ownership_;
    // The row was written before the store's last restore, and this instance has no information on
    // writes that it may lack.
    bool isFromCopyOnly_ = false;
  };

  FleetView(const RowDecoder& aDecoder, FleetViewListener& aListener, EventSink& aEvents);

  // Applies a table or changes read from the store; false if the changes begin after the known
  // version.
  bool Merge(Instant aNow, const TableView& aView);
  // Applies an update of another instance; false if some changes in it begin after the known
  // version. With aOwnRowsOnly, only the fleet's own rows are applied.
  bool Merge(Instant aNow, const FleetUpdate& aUpdate, bool aOwnRowsOnly);
  // Applies a row of the fleet table.
  void ApplyFleetRow(Instant aNow, const Row& aRow);
  // Applies owners that this instance wrote, or received, as version aVersion of their row.
  void ApplyOwnership(RowVersion aVersion, const KeyOwnership& aOwnership);
  // The changes of a table since aVersion.
  TableView ChangesSince(FleetTable aTable, RowVersion aVersion) const
  {
    return replica_.Since(aTable, aVersion);
  }
  // All changes since aVersions.
  FleetUpdate UpdateSince(const TableVersions& aVersions) const;

  // Version of the configuration's row in the store; 0 if there is none, or it could not be
  // decoded.
  RowVersion ConfigurationVersion() const;
  // The latest known epoch of the store.
  StoreEpoch Epoch() const { return epoch_.value_or(0); }
  // The version up to which each table is known.
  TableVersions Versions() const;
  // Version of the last known change of each table.
  TableVersions LastChanges() const;
  bool IsKnown(FleetTable aTable) const { return replica_.IsKnown(aTable); }
  const std::shared_ptr<const RouteTable>& Routes() const { return routes_; }
  ServerDirectory& Directory() { return directory_; }
  const ServerDirectory& Directory() const { return directory_; }
  // Owners of that service's keys; null if it never had any.
  const OwnedService* OwnersOf(const std::string& aService) const;
  // Version of the placer row; 0 if there is none.
  RowVersion PlacerVersion() const { return placer_ ? placer_->version_ : 0; }
  // When that version of the row became known here, which is after the claim that wrote it.
  Instant PlacerVersionSince() const { return placerVersionSince_; }
  // The stored size class; no value if there is none.
  std::optional<FleetSize> Size() const;
  // Version of the size row; 0 if there is none.
  RowVersion SizeVersion() const { return size_ ? size_->version_ : 0; }
  // The keyed services of the configuration.
  std::vector<std::string> KeyedServices() const;
  // The services whose keys have or had owners.
  std::vector<std::string> OwnedServices() const;

private:
  void OnConfigurationRow(Instant aNow, const RowChange& aChange);
  void OnHallDrain(Instant aNow, const std::string& aHall, bool aIsOver);
  void OnServerRow(Instant aNow, const RowChange& aChange);
  FieldResult<ServerRecord> DecodeServer(const Row& aRow) const;
  void OnPlacerRow(Instant aNow, const Row& aRow);
  void OnOwnershipRow(const Row& aRow);
  bool ApplyOwnershipUpdate(const OwnershipUpdate& aUpdate);
  // Detects that the store was restored, by the epoch of a version.
  void UpdateEpoch(Instant aNow, RowVersion aVersion);
  void ApplyFleetRows(Instant aNow, const TableView& aView);
  // Drops the rows of the fleet that a whole table of a later epoch lacks.
  void DropLostRows(Instant aNow, const TableView& aView);

  const RowDecoder& decoder_;
  FleetViewListener& listener_;
  EventSink& events_;
  // The configuration and the server records.
  TableReplica replica_;
  ServerDirectory directory_;
  // No value before the first version is known.
  std::optional<StoreEpoch> epoch_;
  std::shared_ptr<const RouteTable> routes_;
  // Key of the last configuration row; empty if that row could not be decoded.
  std::string configurationKey_;
  std::optional<Row> placer_;
  Instant placerVersionSince_ = Instant::min();
  std::optional<Row> size_;
  std::map<std::string, OwnedService> owners_;
};

} // namespace latchslip
