#include "LibFleet/RowMirror.h"

#include "LibConfig/JsonReader.h"

#include <set>

namespace latchslip {

namespace {

// Versions are whole numbers, which a double holds exactly up to here.
constexpr double kMostVersion = 9e15;

FieldResult<RowChange>
ParseRow(const boost::json::value& aValue)
{
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(aValue, "rows"));
  RowChange change;
  BOOST_OUTCOME_TRY(change.row_.key_, reader.Text("key"));
  BOOST_OUTCOME_TRY(change.row_.value_, reader.TextOr("value", ""));
  BOOST_OUTCOME_TRY(const auto version, reader.NumberOr("version", 0, 0, kMostVersion));
  change.row_.version_ = static_cast<RowVersion>(version);
  return change;
}

FieldResult<TableView>
ParseView(const boost::json::value& aValue)
{
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(aValue, "views"));
  TableView view;
  view.isWhole_ = true;
  BOOST_OUTCOME_TRY(const auto name, reader.Text("table"));
  const auto table = kFleetTableNames.ValueOf(name);
  if (!table) {
    return FieldError{ "table", "is not a known table: " + name };
  }
  view.table_ = *table;
  BOOST_OUTCOME_TRY(const auto version, reader.NumberOr("version", 0, 0, kMostVersion));
  view.version_ = static_cast<RowVersion>(version);
  BOOST_OUTCOME_TRY(const auto* rows, reader.List("rows"));
  for (const auto& entry : *rows) {
    BOOST_OUTCOME_TRY(auto change, ParseRow(entry));
    view.rows_.push_back(std::move(change));
  }
  return view;
}

} // namespace

std::vector<RowChange>
RowMirror::Apply(const TableView& aView)
{
  std::vector<RowChange> changes;
  auto& table = tables_.at(static_cast<std::size_t>(aView.table_));
  if (table.isKnown_ ? aView.version_ <= table.version_ : !aView.isWhole_) {
    return changes;
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
  TableView view{ aTable, VersionOf(aTable), true, {} };
  for (const auto& [key, row] : Of(aTable).rows_) {
    view.rows_.push_back({ row, false });
  }
  return view;
}

std::string
SerializeViews(const std::vector<TableView>& aViews)
{
  boost::json::array views;
  for (const auto& view : aViews) {
    boost::json::array rows;
    for (const auto& change : view.rows_) {
      rows.push_back(boost::json::object{ { "key", change.row_.key_ },
                                          { "value", change.row_.value_ },
                                          { "version", change.row_.version_ } });
    }
    views.push_back(boost::json::object{ { "table", kFleetTableNames.NameOf(view.table_) },
                                         { "version", view.version_ },
                                         { "rows", std::move(rows) } });
  }
  return boost::json::serialize(boost::json::object{ { "views", std::move(views) } });
}

FieldResult<std::vector<TableView>>
ParseViews(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "views"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  BOOST_OUTCOME_TRY(const auto* entries, reader.List("views"));
  std::vector<TableView> views;
  for (const auto& entry : *entries) {
    BOOST_OUTCOME_TRY(auto view, ParseView(entry));
    views.push_back(std::move(view));
  }
  return views;
}

} // namespace latchslip
