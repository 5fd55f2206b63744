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

// The tables of the store that every instance follows.
enum class FleetTable
{
  // The routing configuration, as the operators wrote it.
  Configuration,
  // The records of the backend servers.
  Servers,
  // The rows of the instances: who owns which keys, and who is the placer.
  Fleet,
};

inline constexpr NameTable<FleetTable, 3> kFleetTableNames{
  { "configuration", "servers", "fleet" }
};

inline constexpr std::size_t kFleetTables = kFleetTableNames.names_.size();

// A row that changed or, with isRemoved_, is there no more.
struct RowChange
{
  Row row_;
  bool isRemoved_ = false;
};

// Rows of one table as of one version of the store.
struct TableView
{
  FleetTable table_ = FleetTable::Fleet;
  // The store's version at which the view holds.
  RowVersion version_ = 0;
  // All rows of the table; else only what changed after base_.
  bool isWhole_ = false;
  RowVersion base_ = 0;
  std::vector<RowChange> rows_;
};

// A copy of the tables that an instance follows, from the store or from other
// instances. It only gets newer.
class RowMirror
{
public:
  // Takes a view and returns what it changed; nothing when the copy is as new. No
  // value when the view begins after what the copy has.
  std::optional<std::vector<RowChange>> Apply(const TableView& aView);

  RowVersion VersionOf(FleetTable aTable) const { return Of(aTable).version_; }
  // The version of the last change that is known; the table may be as of a later
  // one that brought none.
  RowVersion LastChangeOf(FleetTable aTable) const { return Of(aTable).lastChange_; }
  bool IsKnown(FleetTable aTable) const { return Of(aTable).isKnown_; }
  // The row of that key; null when there is none.
  const Row* Find(FleetTable aTable, const std::string& aKey) const;
  // What somebody lacks who has the table as of that version, to be given to another
  // instance: the changes, or the whole table when they are not remembered.
  TableView Since(FleetTable aTable, RowVersion aVersion) const;

private:
  struct Table
  {
    RowVersion version_ = 0;
    RowVersion lastChange_ = 0;
    bool isKnown_ = false;
    std::map<std::string, Row> rows_;
    // The latest changes, as they came, and the version after which none is lacking.
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
