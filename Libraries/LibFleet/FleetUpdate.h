#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibFleet/ConfigurationProof.h"
#include "LibFleet/FleetStore.h"
#include "LibKeys/KeyOwnership.h"
#include "LibLimit/GroupUsage.h"

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// The owners of one service's keys, or the changes of them.
struct OwnershipUpdate
{
  // Version of the row that the changes apply to; 0 if ownership_ is complete.
  RowVersion base_ = 0;
  RowVersion version_ = 0;
  KeyOwnership ownership_;
};

// An uncertain lease: a server may hold keys for that time from now, because a grant that it has
// not acknowledged may still reach it.
struct UncertainLease
{
  std::string server_;
  Duration duration_{ 0 };
};

// Whether the sender of an update reaches the store.
enum class StoreReachability
{
  // The sender doesn't poll the store; it receives updates from other instances.
  NotPolling,
  // The sender polls the store without success.
  Unreachable,
  // The sender polls the store, and the store answers.
  Reachable,
};

inline constexpr NameTable<StoreReachability, 3> kStoreReachabilityNames{
  { "none", "lost", "heard" }
};

// An update: changes of the store's tables that one instance sends to another. Serialized as JSON.
struct FleetUpdate
{
  // The sender is the placer and cannot reach the store: it sends no updates until it reaches the
  // store again.
  bool pausesUpdates_ = false;
  // Set only in responses to a fetch.
  StoreReachability storeReachability_ = StoreReachability::NotPolling;
  // Changes of the configuration and of the server records.
  std::vector<TableView> views_;
  // The placer row, if it changed.
  std::optional<Row> placer_;
  std::vector<OwnershipUpdate> owners_;
  std::vector<UncertainLease> uncertainLeases_;
  // Set only in responses to a fetch, whose receiver can tell how old it is on arrival.
  std::optional<ConfigurationProof> proof_;
  // Admitted shares of the groups that exceed their limits.
  AdmittedShares parts_;
};

std::string
SerializeUpdate(const FleetUpdate& aUpdate);
FieldResult<FleetUpdate>
ParseUpdate(std::string_view aText);

std::string
SerializeVersions(const TableVersions& aVersions);
FieldResult<TableVersions>
ParseVersions(std::string_view aText);

// A proof as a member of a larger JSON document; no value if the document has none.
void
PutProof(const std::optional<ConfigurationProof>& aProof, boost::json::object& aDocument);
FieldResult<std::optional<ConfigurationProof>>
ProofFromJson(const boost::json::object& aDocument);

// Table versions as a member of a larger JSON document.
boost::json::array
VersionsToJson(const TableVersions& aVersions);
FieldResult<TableVersions>
VersionsFromJson(const boost::json::object& aDocument);

} // namespace latchslip
