#include "LibFleet/FleetUpdate.h"

#include "LibConfig/JsonReader.h"
#include "LibFleet/VersionReader.h"

namespace latchslip {

namespace {

boost::json::object
ToJson(const RowChange& aChange)
{
  boost::json::object row{ { "key", aChange.row_.key_ }, { "version", aChange.row_.version_ } };
  if (aChange.isRemoved_) {
    row["removed"] = true;
  } else {
    row["value"] = aChange.row_.value_;
  }
  return row;
}

FieldResult<RowChange>
ParseRow(const boost::json::value& aValue)
{
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(aValue, "rows"));
  RowChange change;
  BOOST_OUTCOME_TRY(change.row_.key_, reader.Text("key"));
  BOOST_OUTCOME_TRY(change.row_.value_, reader.TextOr("value", ""));
  BOOST_OUTCOME_TRY(change.row_.version_, ReadVersion(aValue.as_object(), "version"));
  BOOST_OUTCOME_TRY(change.isRemoved_, reader.FlagOr("removed", false));
  return change;
}

boost::json::object
ToJson(const TableView& aView)
{
  boost::json::array rows;
  for (const auto& change : aView.rows_) {
    rows.push_back(ToJson(change));
  }
  return { { "table", kFleetTableNames.NameOf(aView.table_) },
           { "version", aView.version_ },
           { "whole", aView.isWhole_ },
           { "base", aView.base_ },
           { "rows", std::move(rows) } };
}

FieldResult<TableView>
ParseView(const boost::json::value& aValue)
{
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(aValue, "views"));
  TableView view;
  BOOST_OUTCOME_TRY(const auto name, reader.Text("table"));
  const auto table = kFleetTableNames.ValueOf(name);
  if (!table) {
    return FieldError{ "table", "is not a known table: " + name };
  }
  view.table_ = *table;
  BOOST_OUTCOME_TRY(view.version_, ReadVersion(aValue.as_object(), "version"));
  BOOST_OUTCOME_TRY(view.isWhole_, reader.FlagOr("whole", false));
  BOOST_OUTCOME_TRY(view.base_, ReadVersion(aValue.as_object(), "base"));
  BOOST_OUTCOME_TRY(const auto* rows, reader.List("rows"));
  for (const auto& entry : *rows) {
    BOOST_OUTCOME_TRY(auto change, ParseRow(entry));
    view.rows_.push_back(std::move(change));
  }
  return view;
}

FieldResult<OwnershipUpdate>
ParseOwners(const boost::json::value& aValue)
{
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(aValue, "owners"));
  OwnershipUpdate update;
  BOOST_OUTCOME_TRY(update.base_, ReadVersion(aValue.as_object(), "base"));
  BOOST_OUTCOME_TRY(update.version_, ReadVersion(aValue.as_object(), "version"));
  BOOST_OUTCOME_TRY(const auto text, reader.Text("ownership"));
  BOOST_OUTCOME_TRY(update.ownership_, ParseOwnership(text));
  return update;
}

} // namespace

std::string
SerializeUpdate(const FleetUpdate& aUpdate)
{
  boost::json::array views;
  for (const auto& view : aUpdate.views_) {
    views.push_back(ToJson(view));
  }
  boost::json::array owners;
  for (const auto& update : aUpdate.owners_) {
    owners.push_back(boost::json::object{ { "base", update.base_ },
                                          { "version", update.version_ },
                                          { "ownership", SerializeOwnership(update.ownership_) } });
  }
  boost::json::object document{ { "last_for_now", aUpdate.pausesUpdates_ },
                                { "store",
                                  kStoreReachabilityNames.NameOf(aUpdate.storeReachability_) },
                                { "views", std::move(views) },
                                { "owners", std::move(owners) } };
  if (!aUpdate.uncertainLeases_.empty()) {
    boost::json::object leases;
    for (const auto& lease : aUpdate.uncertainLeases_) {
      leases[lease.server_] = lease.duration_.count();
    }
    document["doubts_us"] = std::move(leases);
  }
  if (aUpdate.placer_) {
    document["placer"] = ToJson(RowChange{ *aUpdate.placer_, false });
  }
  PutProof(aUpdate.proof_, document);
  if (!aUpdate.parts_.empty()) {
    document["parts"] = SerializeAdmittedShares(aUpdate.parts_);
  }
  return boost::json::serialize(document);
}

FieldResult<FleetUpdate>
ParseUpdate(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "news"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  FleetUpdate update;
  BOOST_OUTCOME_TRY(update.pausesUpdates_, reader.FlagOr("last_for_now", false));
  BOOST_OUTCOME_TRY(const auto reachability, reader.TextOr("store", "none"));
  const auto known = kStoreReachabilityNames.ValueOf(reachability);
  if (!known) {
    return FieldError{ "store", "must be none, lost or heard" };
  }
  update.storeReachability_ = *known;
  BOOST_OUTCOME_TRY(const auto* views, reader.List("views"));
  for (const auto& entry : *views) {
    BOOST_OUTCOME_TRY(auto view, ParseView(entry));
    update.views_.push_back(std::move(view));
  }
  BOOST_OUTCOME_TRY(const auto* owners, reader.List("owners"));
  for (const auto& entry : *owners) {
    BOOST_OUTCOME_TRY(auto ownership, ParseOwners(entry));
    update.owners_.push_back(std::move(ownership));
  }
  if (const auto* leases = value.as_object().if_contains("doubts_us")) {
    BOOST_OUTCOME_TRY(const auto entries, JsonReader::Create(*leases, "doubts_us"));
    for (const auto& entry : leases->as_object()) {
      constexpr double kMaxUncertainMicroseconds = 3.6e9;
      BOOST_OUTCOME_TRY(const auto holds,
                        entries.NumberOr(entry.key(), 0, 0, kMaxUncertainMicroseconds));
      update.uncertainLeases_.push_back(
        { std::string(entry.key()), Duration(static_cast<Duration::rep>(holds)) });
    }
  }
  if (const auto* placer = value.as_object().if_contains("placer")) {
    BOOST_OUTCOME_TRY(auto change, ParseRow(*placer));
    update.placer_ = std::move(change.row_);
  }
  BOOST_OUTCOME_TRY(update.proof_, ProofFromJson(value.as_object()));
  if (value.as_object().contains("parts")) {
    BOOST_OUTCOME_TRY(const auto parts, reader.Text("parts"));
    BOOST_OUTCOME_TRY(update.parts_, ParseAdmittedShares(parts));
  }
  return update;
}

void
PutProof(const std::optional<ConfigurationProof>& aProof, boost::json::object& aDocument)
{
  if (aProof) {
    aDocument["proof"] =
      boost::json::object{ { "version", aProof->version_ }, { "age_us", aProof->age_.count() } };
  }
}

FieldResult<std::optional<ConfigurationProof>>
ProofFromJson(const boost::json::object& aDocument)
{
  const auto* member = aDocument.if_contains("proof");
  if (member == nullptr) {
    return std::optional<ConfigurationProof>();
  }
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(*member, "proof"));
  constexpr double kMaxAgeMicroseconds = 9e15;
  ConfigurationProof proof;
  BOOST_OUTCOME_TRY(proof.version_, ReadVersion(member->as_object(), "version"));
  // A proof without an age must not count as fresh.
  BOOST_OUTCOME_TRY(const auto age,
                    reader.NumberOr("age_us", kMaxAgeMicroseconds, 0, kMaxAgeMicroseconds));
  proof.age_ = Duration(static_cast<Duration::rep>(age));
  return std::optional(proof);
}

boost::json::array
VersionsToJson(const TableVersions& aVersions)
{
  return boost::json::array(aVersions.begin(), aVersions.end());
}

FieldResult<TableVersions>
VersionsFromJson(const boost::json::object& aDocument)
{
  const FieldError malformed{ "versions", "must be a list of a whole number for each table" };
  const auto* found = aDocument.if_contains("versions");
  const auto* list = found == nullptr ? nullptr : found->if_array();
  TableVersions versions{};
  if (list == nullptr || list->size() != versions.size()) {
    return malformed;
  }
  for (std::size_t index = 0; index < versions.size(); ++index) {
    boost::system::error_code error;
    versions.at(index) = (*list)[index].to_number<RowVersion>(error);
    if (error) {
      return malformed;
    }
  }
  return versions;
}

std::string
SerializeVersions(const TableVersions& aVersions)
{
  return boost::json::serialize(boost::json::object{ { "versions", VersionsToJson(aVersions) } });
}

FieldResult<TableVersions>
ParseVersions(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "versions"));
  BOOST_OUTCOME_TRY(JsonReader::Create(value, ""));
  return VersionsFromJson(value.as_object());
}

} // namespace latchslip
