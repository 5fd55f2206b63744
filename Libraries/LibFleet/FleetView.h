#pragma once

#include "LibBase/Event.h"
#include "LibBase/NameTable.h"
#include "LibFleet/FleetNews.h"
#include "LibFleet/PlacerElection.h"
#include "LibFleet/RowMirror.h"
#include "LibGateway/RoutingTable.h"
#include "LibGateway/ServerDirectory.h"
#include "LibKeys/KeyOwnership.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace latchslip {

// The key of the row that names the placer.
inline constexpr std::string_view kPlacerKey = "placer";
// The key of the row that says how large the fleet is.
inline constexpr std::string_view kSizeKey = "size";
// The keys of the rows that say who owns the keys of a service begin so.
inline constexpr std::string_view kOwnershipPrefix = "ownership/";

// How large a fleet is, for whoever starts and knows nobody yet.
enum class FleetSize
{
  // Each instance reads the store itself.
  Small,
  // A few read it for all.
  Large,
};

inline constexpr NameTable<FleetSize, 2> kFleetSizeNames{ { "small", "large" } };

// The key of the row that says who owns the keys of a service.
std::string
OwnershipKey(const std::string& aService);

// Turns the text of rows that others write into types.
class RowDecoder
{
public:
  virtual ~RowDecoder() = default;

  // No value for rows of that table that hold no configuration.
  virtual FieldResult<std::optional<RoutingConfiguration>> DecodeConfiguration(
    const Row& aRow) const = 0;
  virtual FieldResult<ServerRecord> DecodeServer(const Row& aRow) const = 0;
  // The data hall that is being drained while a row of that key stands in the table of
  // the configuration; no value for other keys.
  virtual std::optional<std::string> DecodeDrainedHall(std::string_view aKey) const = 0;
};

// Hears what changes in a view.
class FleetViewListener
{
public:
  virtual ~FleetViewListener() = default;

  virtual void OnRoutes(Instant aNow, std::shared_ptr<const RouteTable> aRoutes) = 0;
  virtual void OnDirectoryChanged() = 0;
  virtual void OnOwnership(const KeyOwnership& aOwnership) = 0;
  virtual void OnPlacer(Instant aNow, const std::optional<PlacerRow>& aPlacer) = 0;
};

// What an instance knows of the store's tables: the routes, the servers, the
// owners of keys and the placer. It takes the store's word and that of other
// instances, and only gets newer. Rows that cannot be read are logged, and the
// last that could be read stay in force. When the store comes back from an older
// copy, its rows are newer in order and may be older in what they say: a
// configuration in force stays, what takes back that a server leaves waits, and of
// the owners of keys the later ones stay, to be written again.
class FleetView
{
public:
  struct OwnedService
  {
    // Of the row in the store; 0 when there is none.
    RowVersion version_ = 0;
    // What is known of the owners, which may be more than stands in that row.
    KeyOwnership ownership_;
    // The row is from before the store's last return, and nothing here tells what it may
    // lack.
    bool isFromCopyOnly_ = false;
  };

  FleetView(const RowDecoder& aDecoder, FleetViewListener& aListener, EventSink& aEvents);

  // Takes a view of the store; false when it begins after what is known.
  bool Take(Instant aNow, const TableView& aView);
  // Takes news of another instance; false when some of them begin after what is
  // known. With aOwnRowsOnly, tables that are not the fleet's own are left out.
  bool Take(Instant aNow, const FleetNews& aNews, bool aOwnRowsOnly);
  // A row of the fleet as it stands in the store.
  void TakeFleetRow(Instant aNow, const Row& aRow);
  // What this instance has written itself.
  void TakeOwnership(RowVersion aVersion, const KeyOwnership& aOwnership);
  // What of a table somebody lacks who has it as of that version.
  TableView ChangesSince(FleetTable aTable, RowVersion aVersion) const
  {
    return mirror_.Since(aTable, aVersion);
  }
  // All that somebody who has these versions lacks.
  FleetNews NewsSince(const TableVersions& aVersions) const;

  // The version of the configuration's row in the store; 0 when there is none, or one that
  // could not be read.
  RowVersion ConfigurationVersion() const;
  // The latest epoch of the store that is known.
  StoreEpoch Epoch() const { return epoch_.value_or(0); }
  // As of which version of the store each table is known.
  TableVersions Versions() const;
  // The last change of each table that is known.
  TableVersions LastChanges() const;
  bool IsKnown(FleetTable aTable) const { return mirror_.IsKnown(aTable); }
  const std::shared_ptr<const RouteTable>& Routes() const { return routes_; }
  ServerDirectory& Directory() { return directory_; }
  const ServerDirectory& Directory() const { return directory_; }
  // Null when nobody was ever named owner of that service's keys.
  const OwnedService* OwnersOf(const std::string& aService) const;
  // The version of the row that names the placer; 0 when there is none.
  RowVersion PlacerVersion() const { return placer_ ? placer_->version_ : 0; }
  // No value when it does not stand in the store.
  std::optional<FleetSize> Size() const;
  // The version of the row that says it; 0 when there is none.
  RowVersion SizeVersion() const { return size_ ? size_->version_ : 0; }
  // The services of the configuration that are divided by key.
  std::vector<std::string> KeyedServices() const;
  // The services of whose keys somebody was ever named owner.
  std::vector<std::string> OwnedServices() const;

private:
  void OnConfigurationRow(Instant aNow, const RowChange& aChange);
  void OnHallDrain(Instant aNow, const std::string& aHall, bool aIsOver);
  void OnServerRow(Instant aNow, const RowChange& aChange);
  FieldResult<ServerRecord> DecodeServer(const Row& aRow) const;
  void OnPlacerRow(Instant aNow, const Row& aRow);
  void OnOwnershipRow(const Row& aRow);
  bool TakeOwners(const OwnershipNews& aNews);
  void NoteEpoch(Instant aNow, RowVersion aVersion);
  void TakeFleetRows(Instant aNow, const TableView& aView);
  // Forgets the own rows that a view of the whole table in a later epoch lacks.
  void ForgetLostRows(Instant aNow, const TableView& aView);

  const RowDecoder& decoder_;
  FleetViewListener& listener_;
  EventSink& events_;
  // The tables that others write.
  RowMirror mirror_;
  ServerDirectory directory_;
  // No value before any version is known.
  std::optional<StoreEpoch> epoch_;
  std::shared_ptr<const RouteTable> routes_;
  // The key of the last row that was a configuration; empty when it could not be read.
  std::string configurationKey_;
  std::optional<Row> placer_;
  std::optional<Row> size_;
  std::map<std::string, OwnedService> owners_;
};

} // namespace latchslip
