#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Result.h"
#include "LibStore/Row.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace latchslip {

// The tables of the store that every instance keeps a copy of.
enum class FleetTable
{
  // The routing configuration, as the operators wrote it.
  Configuration,
  // The records of the backend servers.
  Servers,
  // The instances' own rows: owners of keys, the placer and the size of the fleet.
  Fleet,
};

inline constexpr NameTable<FleetTable, 3> kFleetTableNames{
  { "configuration", "servers", "fleet" }
};

inline constexpr std::size_t kFleetTables = kFleetTableNames.names_.size();

// A row that was written or, with isRemoved_, removed.
struct RowChange
{
  Row row_;
  bool isRemoved_ = false;
};

// A snapshot or a set of changes of one table.
struct TableView
{
  FleetTable table_ = FleetTable::Fleet;
  // The store's version as of which rows_ is complete.
  RowVersion version_ = 0;
  // Whether rows_ is the whole table; else it holds only the changes after base_.
  bool isWhole_ = false;
  RowVersion base_ = 0;
  std::vector<RowChange> rows_;
};

// A copy of the store's tables, fed with snapshots and changes from the store or from other
// instances. Versions never go back. It remembers the latest changes, so that it can pass them to
// other instances.
class TableReplica
{
public:
  // Applies a view and returns the resulting changes; none if the copy is as new as the view. No
  // value if the view's changes begin after the version of the copy.
  std::optional<std::vector<RowChange>> Apply(const TableView& aView);

  RowVersion VersionOf(FleetTable aTable) const { return Of(aTable).version_; }
  // Version of the last known change. VersionOf may be later, as the store's version moves on
  // without changes of this table.
  RowVersion LastChangeOf(FleetTable aTable) const { return Of(aTable).lastChange_; }
  bool IsKnown(FleetTable aTable) const { return Of(aTable).isKnown_; }
  // The row of that key; null if there is none.
  const Row* Find(FleetTable aTable, const std::string& aKey) const;
  // The changes since aVersion, to be sent to another instance; the whole table if they are no
  // longer remembered.
  TableView Since(FleetTable aTable, RowVersion aVersion) const;

private:
  struct Table
  {
    RowVersion version_ = 0;
    RowVersion lastChange_ = 0;
    bool isKnown_ = false;
    std::map<std::string, Row> rows_;
    // The latest changes in order of arrival; changesFrom_ is the version after which none is
    // missing.
    std::deque<RowChange> changes_;
    RowVersion changesFrom_ = 0;
  };

  const Table& Of(FleetTable aTable) const { return tables_.at(static_cast<std::size_t>(aTable)); }
  static void Remember(Table& aTable, const std::vector<RowChange>& aChanges);
  TableView Whole(FleetTable aTable) const;
  static void ApplyWhole(Table& aTable, const TableView& aView, std::vector<RowChange>& aChanges);

  std::array<Table, kFleetTables> tables_;
};

} // namespace latchslip
