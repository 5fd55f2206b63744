#include "LibFleet/RowMirror.h"

#include <algorithm>
#include <set>

namespace latchslip {

std::optional<std::vector<RowChange>>
RowMirror::Apply(const TableView& aView)
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
  for (const auto& change : changes) {
    table.lastChange_ = std::max(table.lastChange_, change.row_.version_);
  }
  table.isKnown_ = true;
  table.version_ = aView.version_;
  return changes;
}

void
RowMirror::ApplyWhole(Table& aTable, const TableView& aView, std::vector<RowChange>& aChanges)
{
  std::set<std::string> present;
  for (const auto& change : aView.rows_) {
    present.insert(change.row_.key_);
    auto& row = aTable.rows_[change.row_.key_];
    if (row.version_ != change.row_.version_) {
      row = change.row_;
      aChanges.push_back(change);
    }
  }
  for (auto row = aTable.rows_.begin(); row != aTable.rows_.end();) {
    if (present.contains(row->first)) {
      ++row;
      continue;
    }
    aChanges.push_back({ row->second, true });
    row = aTable.rows_.erase(row);
  }
}

const Row*
RowMirror::Find(FleetTable aTable, const std::string& aKey) const
{
  const auto& rows = Of(aTable).rows_;
  const auto row = rows.find(aKey);
  return row == rows.end() ? nullptr : &row->second;
}

TableView
RowMirror::Whole(FleetTable aTable) const
{
  TableView view{ aTable, VersionOf(aTable), true, 0, {} };
  for (const auto& [key, row] : Of(aTable).rows_) {
    view.rows_.push_back({ row, false });
  }
  return view;
}

} // namespace latchslip
