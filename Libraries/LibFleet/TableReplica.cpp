#include "LibFleet/TableReplica.h"

#include "LibStore/StoreEpoch.h"

#include <algorithm>
#include <set>

namespace latchslip {

namespace {

// Number of changes that are remembered, enough for all servers of a large fleet that write their
// records.
constexpr std::size_t kMaxChanges = 1024;

} // namespace

std::optional<std::vector<RowChange>>
TableReplica::Apply(const TableView& aView)
{
  std::vector<RowChange> changes;
  auto& table = tables_.at(static_cast<std::size_t>(aView.table_));
  if (table.isKnown_ && aView.version_ <= table.version_) {
    return changes;
  }
  if (!aView.isWhole_ && (!table.isKnown_ || table.version_ < aView.base_)) {
    return std::nullopt;
  }
  if (aView.isWhole_) {
    ApplyWhole(table, aView, changes);
  } else {
    for (const auto& change : aView.rows_) {
      const auto known = table.rows_.find(change.row_.key_);
      if (known != table.rows_.end() && change.row_.version_ <= known->second.version_) {
        continue;
      }
      if (change.isRemoved_) {
        table.rows_.erase(change.row_.key_);
      } else {
        table.rows_[change.row_.key_] = change.row_;
      }
      changes.push_back(change);
    }
  }
  if (table.isKnown_) {
    Remember(table, changes);
  } else {
    table.changesFrom_ = aView.version_;
  }
  for (const auto& change : changes) {
    table.lastChange_ = std::max(table.lastChange_, change.row_.version_);
  }
  table.isKnown_ = true;
  table.version_ = aView.version_;
  return changes;
}

void
TableReplica::ApplyWhole(Table& aTable, const TableView& aView, std::vector<RowChange>& aChanges)
{
  std::set<std::string> present;
  for (const auto& change : aView.rows_) {
    present.insert(change.row_.key_);
    auto& row = aTable.rows_[change.row_.key_];
    // After a restore of the store from a copy, most rows are unchanged except for the epoch in
    // their version.
    const bool isSameWrite =
      NumberOf(row.version_) == NumberOf(change.row_.version_) && row.value_ == change.row_.value_;
    if (!isSameWrite) {
      aChanges.push_back(change);
    }
    row = change.row_;
  }
  for (auto row = aTable.rows_.begin(); row != aTable.rows_.end();) {
    if (present.contains(row->first)) {
      ++row;
      continue;
    }
    // The version of the removal is not known; the version of the view is an upper bound.
    aChanges.push_back({ row->second, true });
    aChanges.back().row_.version_ = aView.version_;
    row = aTable.rows_.erase(row);
  }
}

void
TableReplica::Remember(Table& aTable, const std::vector<RowChange>& aChanges)
{
  aTable.changes_.insert(aTable.changes_.end(), aChanges.begin(), aChanges.end());
  while (aTable.changes_.size() > kMaxChanges) {
    aTable.changesFrom_ = std::max(aTable.changesFrom_, aTable.changes_.front().row_.version_);
    aTable.changes_.pop_front();
  }
}

TableView
TableReplica::Since(FleetTable aTable, RowVersion aVersion) const
{
  const auto& table = Of(aTable);
  if (aVersion == 0 || aVersion < table.changesFrom_) {
    return Whole(aTable);
  }
  TableView view{ aTable, table.version_, false, aVersion, {} };
  for (const auto& change : table.changes_) {
    if (change.row_.version_ > aVersion) {
      view.rows_.push_back(change);
    }
  }
  return view;
}

const Row*
TableReplica::Find(FleetTable aTable, const std::string& aKey) const
{
  const auto& rows = Of(aTable).rows_;
  const auto row = rows.find(aKey);
  return row == rows.end() ? nullptr : &row->second;
}

TableView
TableReplica::Whole(FleetTable aTable) const
{
  TableView view{ aTable, VersionOf(aTable), true, 0, {} };
  for (const auto& [key, row] : Of(aTable).rows_) {
    view.rows_.push_back({ row, false });
  }
  return view;
}

} // namespace latchslip
