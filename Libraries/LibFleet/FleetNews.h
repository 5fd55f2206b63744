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

// Who owns the keys of one service, or what changed in it.
struct OwnershipNews
{
  // The row's version before the changes; 0 when the ownership is whole.
  RowVersion base_ = 0;
  RowVersion version_ = 0;
  KeyOwnership ownership_;
};

// A server that may hold keys for some time by an order that it takes late.
struct HoldDoubt
{
  std::string server_;
  Duration holds_{ 0 };
};

// What the sender of news sees of the store itself.
enum class StoreSight
{
  // Others tell it what changes.
  None,
  // It follows the store, but cannot reach it.
  Lost,
  Heard,
};

inline constexpr NameTable<StoreSight, 3> kStoreSightNames{ { "none", "lost", "heard" } };

// What one instance tells another of the store's tables.
struct FleetNews
{
  // The sender is the placer but cannot reach the store: it will not tell what
  // changes from now on.
  bool isLastForNow_ = false;
  // Only told to those who ask.
  StoreSight sight_ = StoreSight::None;
  // Of the tables that others write.
  std::vector<TableView> views_;
  // The row that names the placer.
  std::optional<Row> placer_;
  std::vector<OwnershipNews> owners_;
  std::vector<HoldDoubt> doubts_;
  // Only told to those who ask, who know how old it is then.
  std::optional<ConfigurationProof> proof_;
  // Of the groups that ask for more than their limits.
  AdmittedShares parts_;
};

std::string
SerializeNews(const FleetNews& aNews);
FieldResult<FleetNews>
ParseNews(std::string_view aText);

std::string
SerializeVersions(const TableVersions& aVersions);
FieldResult<TableVersions>
ParseVersions(std::string_view aText);

// A proof as a member of a larger document; no value when it has none.
void
PutProof(const std::optional<ConfigurationProof>& aProof, boost::json::object& aDocument);
FieldResult<std::optional<ConfigurationProof>>
ProofFromJson(const boost::json::object& aDocument);

// The versions as a member of a larger document.
boost::json::array
VersionsToJson(const TableVersions& aVersions);
FieldResult<TableVersions>
VersionsFromJson(const boost::json::object& aDocument);

} // namespace latchslip
