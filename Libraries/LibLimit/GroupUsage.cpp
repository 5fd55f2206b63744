#include "LibLimit/GroupUsage.h"

#include "LibConfig/JsonReader.h"

namespace latchslip {

namespace {

constexpr double kMaxCount = 1e9;

FieldResult<std::uint32_t>
ReadCount(const JsonReader& aReader, std::string_view aName)
{
  BOOST_OUTCOME_TRY(const auto count, aReader.NumberOr(aName, 0, 0, kMaxCount));
  return static_cast<std::uint32_t>(count);
}

} // namespace

std::string
SerializeUsageReport(const UsageReport& aReport)
{
  boost::json::array usages;
  for (const auto& usage : aReport.usages_) {
    usages.push_back(boost::json::object{ { "group", usage.group_ },
                                          { "asked", usage.requests_ },
                                          { "asked_late", usage.lateRequests_ },
                                          { "passed", usage.admitted_ } });
  }
  return boost::json::serialize(
    boost::json::object{ { "address", aReport.address_ }, { "uses", std::move(usages) } });
}

FieldResult<UsageReport>
ParseUsageReport(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "usage report"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  UsageReport report;
  BOOST_OUTCOME_TRY(report.address_, reader.Text("address"));
  BOOST_OUTCOME_TRY(const auto* usages, reader.List("uses"));
  for (const auto& entry : *usages) {
    BOOST_OUTCOME_TRY(const auto usage, JsonReader::Create(entry, "uses"));
    GroupUsage read;
    BOOST_OUTCOME_TRY(read.group_, usage.Text("group"));
    BOOST_OUTCOME_TRY(read.requests_, ReadCount(usage, "asked"));
    BOOST_OUTCOME_TRY(read.lateRequests_, ReadCount(usage, "asked_late"));
    BOOST_OUTCOME_TRY(read.admitted_, ReadCount(usage, "passed"));
    report.usages_.push_back(std::move(read));
  }
  return report;
}

std::string
SerializeAdmittedShares(const AdmittedShares& aShares)
{
  boost::json::array shares;
  for (const auto& share : aShares) {
    shares.push_back(boost::json::object{
      { "group", share.group_ }, { "part", share.share_ }, { "late_part", share.lateShare_ } });
  }
  return boost::json::serialize(boost::json::object{ { "parts", std::move(shares) } });
}

FieldResult<AdmittedShares>
ParseAdmittedShares(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "parts"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  BOOST_OUTCOME_TRY(const auto* list, reader.List("parts"));
  AdmittedShares shares;
  for (const auto& entry : *list) {
    BOOST_OUTCOME_TRY(const auto item, JsonReader::Create(entry, "parts"));
    AdmittedShare share;
    BOOST_OUTCOME_TRY(share.group_, item.Text("group"));
    BOOST_OUTCOME_TRY(share.share_, item.NumberOr("part", 1, 0, 1));
    BOOST_OUTCOME_TRY(share.lateShare_, item.NumberOr("late_part", 1, 0, 1));
    shares.push_back(std::move(share));
  }
  return shares;
}

} // namespace latchslip
