#include "LibStore/StoreJson.h"

#include "LibConfig/JsonReader.h"

namespace latchslip {

namespace {

constexpr double kMaxVersion = 9e15;

boost::json::array
ToJson(const std::vector<RowStamp>& aStamps)
{
  boost::json::array array;
  for (const auto& stamp : aStamps) {
    array.push_back(boost::json::object{ { "key", stamp.key_ }, { "version", stamp.version_ } });
  }
  return array;
}

FieldResult<std::vector<RowStamp>>
ReadStamps(const JsonReader& aReader, std::string_view aName)
{
  BOOST_OUTCOME_TRY(const auto* list, aReader.List(aName));
  std::vector<RowStamp> stamps;
  for (const auto& entry : *list) {
    BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(entry, aReader.PathOf(aName)));
    RowStamp stamp;
    BOOST_OUTCOME_TRY(stamp.key_, reader.Text("key"));
    BOOST_OUTCOME_TRY(const auto version, reader.NumberOr("version", 0, 0, kMaxVersion));
    stamp.version_ = static_cast<RowVersion>(version);
    stamps.push_back(std::move(stamp));
  }
  return stamps;
}

} // namespace

std::string
SerializeTransaction(const Transaction& aTransaction)
{
  boost::json::array writes;
  for (const auto& write : aTransaction.writes_) {
    writes.push_back(boost::json::object{ { "key", write.key_ }, { "value", write.value_ } });
  }
  return boost::json::serialize(boost::json::object{
    { "conditions", ToJson(aTransaction.conditions_) }, { "writes", std::move(writes) } });
}

FieldResult<Transaction>
ParseTransaction(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "transaction"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  Transaction transaction;
  BOOST_OUTCOME_TRY(transaction.conditions_, ReadStamps(reader, "conditions"));
  BOOST_OUTCOME_TRY(const auto* writes, reader.List("writes"));
  for (const auto& entry : *writes) {
    BOOST_OUTCOME_TRY(const auto write, JsonReader::Create(entry, "writes"));
    RowWrite row;
    BOOST_OUTCOME_TRY(row.key_, write.Text("key"));
    BOOST_OUTCOME_TRY(row.value_, write.Text("value"));
    transaction.writes_.push_back(std::move(row));
  }
  return transaction;
}

std::string
SerializeStamps(const std::vector<RowStamp>& aStamps)
{
  return boost::json::serialize(boost::json::object{ { "stamps", ToJson(aStamps) } });
}

FieldResult<std::vector<RowStamp>>
ParseStamps(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "stamps"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  return ReadStamps(reader, "stamps");
}

std::string
SerializeRows(const std::vector<Row>& aRows)
{
  boost::json::array rows;
  for (const auto& row : aRows) {
    boost::json::object entry{ { "key", row.key_ }, { "version", row.version_ } };
    if (!row.value_.empty()) {
      entry["value"] = row.value_;
    }
    rows.push_back(std::move(entry));
  }
  return boost::json::serialize(boost::json::object{ { "rows", std::move(rows) } });
}

FieldResult<std::vector<Row>>
ParseRows(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "rows"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  BOOST_OUTCOME_TRY(const auto* list, reader.List("rows"));
  std::vector<Row> rows;
  for (const auto& entry : *list) {
    BOOST_OUTCOME_TRY(const auto member, JsonReader::Create(entry, "rows"));
    Row row;
    BOOST_OUTCOME_TRY(row.key_, member.Text("key"));
    BOOST_OUTCOME_TRY(const auto version, member.NumberOr("version", 0, 0, kMaxVersion));
    BOOST_OUTCOME_TRY(row.value_, member.TextOr("value", ""));
    row.version_ = static_cast<RowVersion>(version);
    rows.push_back(std::move(row));
  }
  return rows;
}

} // namespace latchslip
