#include "LibLimit/GroupUsage.h"

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
SerializeUsageReport(const UsageReport& aReport)
{
  boost::json::array uses;
  for (const auto& use : aReport.usages_) {
    uses.push_back(boost::json::object{ { "group", use.group_ },
                                        { "asked", use.asked_ },
                                        { "asked_late", use.askedLate_ },
                                        { "passed", use.admitted_ } });
  }
  return boost::json::serialize(
    boost::json::object{ { "address", aReport.address_ }, { "uses", std::move(uses) } });
}

FieldResult<UsageReport>
ParseUsageReport(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "use report"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  UsageReport report;
  BOOST_OUTCOME_TRY(report.address_, reader.Text("address"));
  BOOST_OUTCOME_TRY(const auto* uses, reader.List("uses"));
  for (const auto& entry : *uses) {
    BOOST_OUTCOME_TRY(const auto use, JsonReader::Create(entry, "uses"));
    GroupUsage read;
    BOOST_OUTCOME_TRY(read.group_, use.Text("group"));
    BOOST_OUTCOME_TRY(read.asked_, ReadCount(use, "asked"));
    BOOST_OUTCOME_TRY(read.askedLate_, ReadCount(use, "asked_late"));
    BOOST_OUTCOME_TRY(read.admitted_, ReadCount(use, "passed"));
    report.usages_.push_back(std::move(read));
  }
  return report;
}

std::string
SerializeAdmittedShares(const AdmittedShares& aParts)
{
  boost::json::array parts;
  for (const auto& part : aParts) {
    parts.push_back(boost::json::object{
      { "group", part.group_ }, { "part", part.share_ }, { "late_part", part.lateShare_ } });
  }
  return boost::json::serialize(boost::json::object{ { "parts", std::move(parts) } });
}

FieldResult<AdmittedShares>
ParseAdmittedShares(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "parts"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  BOOST_OUTCOME_TRY(const auto* list, reader.List("parts"));
  AdmittedShares parts;
  for (const auto& entry : *list) {
    BOOST_OUTCOME_TRY(const auto item, JsonReader::Create(entry, "parts"));
    AdmittedShare part;
    BOOST_OUTCOME_TRY(part.group_, item.Text("group"));
    BOOST_OUTCOME_TRY(part.share_, item.NumberOr("part", 1, 0, 1));
    BOOST_OUTCOME_TRY(part.lateShare_, item.NumberOr("late_part", 1, 0, 1));
    parts.push_back(std::move(part));
  }
  return parts;
}

} // namespace latchslip
