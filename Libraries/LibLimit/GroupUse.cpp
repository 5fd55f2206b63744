#include "LibLimit/GroupUse.h"

#include "LibConfig/JsonReader.h"

namespace latchslip {

namespace {

constexpr double kMostCount = 1e9;

FieldResult<std::uint32_t>
ReadCount(const JsonReader& aReader, std::string_view aName)
{
  BOOST_OUTCOME_TRY(const auto count, aReader.NumberOr(aName, 0, 0, kMostCount));
  return static_cast<std::uint32_t>(count);
}

} // namespace

std::string
SerializeUseReport(const UseReport& aReport)
{
  boost::json::array uses;
  for (const auto& use : aReport.uses_) {
    uses.push_back(boost::json::object{ { "group", use.group_ },
                                        { "asked", use.asked_ },
                                        { "asked_late", use.askedLate_ },
                                        { "passed", use.passed_ } });
  }
  return boost::json::serialize(
    boost::json::object{ { "address", aReport.address_ }, { "uses", std::move(uses) } });
}

FieldResult<UseReport>
ParseUseReport(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "use report"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  UseReport report;
  BOOST_OUTCOME_TRY(report.address_, reader.Text("address"));
  BOOST_OUTCOME_TRY(const auto* uses, reader.List("uses"));
  for (const auto& entry : *uses) {
    BOOST_OUTCOME_TRY(const auto use, JsonReader::Create(entry, "uses"));
    GroupUse read;
    BOOST_OUTCOME_TRY(read.group_, use.Text("group"));
    BOOST_OUTCOME_TRY(read.asked_, ReadCount(use, "asked"));
    BOOST_OUTCOME_TRY(read.askedLate_, ReadCount(use, "asked_late"));
    BOOST_OUTCOME_TRY(read.passed_, ReadCount(use, "passed"));
    report.uses_.push_back(std::move(read));
  }
  return report;
}

std::string
SerializeParts(const GroupParts& aParts)
{
  boost::json::array parts;
  for (const auto& part : aParts) {
    parts.push_back(boost::json::object{
      { "group", part.group_ }, { "part", part.part_ }, { "late_part", part.latePart_ } });
  }
  return boost::json::serialize(boost::json::object{ { "parts", std::move(parts) } });
}

FieldResult<GroupParts>
ParseParts(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "parts"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  BOOST_OUTCOME_TRY(const auto* list, reader.List("parts"));
  GroupParts parts;
  for (const auto& entry : *list) {
    BOOST_OUTCOME_TRY(const auto item, JsonReader::Create(entry, "parts"));
    GroupPart part;
    BOOST_OUTCOME_TRY(part.group_, item.Text("group"));
    BOOST_OUTCOME_TRY(part.part_, item.NumberOr("part", 1, 0, 1));
    BOOST_OUTCOME_TRY(part.latePart_, item.NumberOr("late_part", 1, 0, 1));
    parts.push_back(std::move(part));
  }
  return parts;
}

} // namespace latchslip
