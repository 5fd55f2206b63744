#include "LibFleet/FleetReport.h"

#include "LibConfig/JsonReader.h"
#include "LibFleet/FleetNews.h"

namespace latchslip {

namespace {

constexpr std::uint64_t kMostCount = 1'000'000;
// No instance has more processors than this.
constexpr double kMostProcessors = 1024;

FieldResult<std::uint64_t>
WholeNumber(const boost::json::value& aValue, std::string_view aField, std::uint64_t aMost)
{
  boost::system::error_code error;
  const auto number = aValue.to_number<std::uint64_t>(error);
  if (error || number > aMost) {
    return FieldError{ std::string(aField),
                       "must be whole numbers up to " + std::to_string(aMost) };
  }
  return number;
}

// Counts are listed flat: key, count, key, count.
FieldResult<std::vector<KeyCount>>
ParseCounts(const boost::json::value& aValue)
{
  if (!aValue.is_array() || aValue.as_array().size() % 2 != 0) {
    return FieldError{ "key_counts", "must be lists of keys and counts" };
  }
  std::vector<KeyCount> counts;
  const auto& list = aValue.as_array();
  for (std::size_t index = 0; index < list.size(); index += 2) {
    BOOST_OUTCOME_TRY(const auto key, WholeNumber(list[index], "key_counts", kLastKey));
    BOOST_OUTCOME_TRY(const auto count, WholeNumber(list[index + 1], "key_counts", kMostCount));
    counts.push_back({ static_cast<KeyNumber>(key), static_cast<std::uint32_t>(count) });
  }
  return counts;
}

// Answers, and the microseconds that they took together.
FieldResult<ServerWork>
ParseWork(const boost::json::value& aValue)
{
  constexpr std::uint64_t kMostBusy = 3'600'000'000'000;
  if (!aValue.is_array() || aValue.as_array().size() != 2) {
    return FieldError{ "work", "must be pairs of answers and their time" };
  }
  ServerWork work;
  BOOST_OUTCOME_TRY(work.answers_, WholeNumber(aValue.as_array()[0], "work", kMostCount));
  BOOST_OUTCOME_TRY(const auto busy, WholeNumber(aValue.as_array()[1], "work", kMostBusy));
  work.busy_ = Duration(busy);
  return work;
}

const boost::json::object*
ObjectAt(const boost::json::value& aValue, std::string_view aName)
{
  const auto* found = aValue.as_object().if_contains(aName);
  return found == nullptr ? nullptr : found->if_object();
}

} // namespace

std::string
SerializeReport(const InstanceReport& aReport)
{
  boost::json::object counts;
  for (const auto& [service, keys] : aReport.keyCounts_) {
    boost::json::array list;
    for (const auto& key : keys) {
      list.push_back(key.key_);
      list.push_back(key.count_);
    }
    counts[service] = std::move(list);
  }
  boost::json::object works;
  for (const auto& [server, work] : aReport.work_) {
    works[server] = boost::json::array{ work.answers_, work.busy_.count() };
  }
  return boost::json::serialize(boost::json::object{ { "instance", aReport.instance_ },
                                                     { "address", aReport.address_ },
                                                     { "processor_share", aReport.processorShare_ },
                                                     { "key_counts", std::move(counts) },
                                                     { "work", std::move(works) } });
}

FieldResult<InstanceReport>
ParseReport(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "report"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  InstanceReport report;
  BOOST_OUTCOME_TRY(report.instance_, reader.Text("instance"));
  BOOST_OUTCOME_TRY(report.address_, reader.Text("address"));
  BOOST_OUTCOME_TRY(report.processorShare_,
                    reader.NumberOr("processor_share", 0, 0, kMostProcessors));
  if (const auto* counts = ObjectAt(value, "key_counts")) {
    for (const auto& entry : *counts) {
      BOOST_OUTCOME_TRY(report.keyCounts_[std::string(entry.key())], ParseCounts(entry.value()));
    }
  }
  if (const auto* works = ObjectAt(value, "work")) {
    for (const auto& entry : *works) {
      BOOST_OUTCOME_TRY(report.work_[std::string(entry.key())], ParseWork(entry.value()));
    }
  }
  return report;
}

std::string
SerializeReportAnswer(const ReportAnswer& aAnswer)
{
  return boost::json::serialize(boost::json::object{
    { "working", aAnswer.isWorking_ },
    { "strongest_share", aAnswer.strongestShare_ },
    { "versions", VersionsToJson(aAnswer.lastChanges_) },
    { "instances", boost::json::array(aAnswer.instances_.begin(), aAnswer.instances_.end()) } });
}

FieldResult<ReportAnswer>
ParseReportAnswer(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "report answer"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  ReportAnswer answer;
  BOOST_OUTCOME_TRY(answer.isWorking_, reader.FlagOr("working", false));
  BOOST_OUTCOME_TRY(answer.lastChanges_, VersionsFromJson(value.as_object()));
  BOOST_OUTCOME_TRY(answer.strongestShare_,
                    reader.NumberOr("strongest_share", 0, 0, kMostProcessors));
  BOOST_OUTCOME_TRY(const auto* instances, reader.List("instances"));
  for (const auto& instance : *instances) {
    if (!instance.is_string()) {
      return FieldError{ "instances", "must be a list of addresses" };
    }
    answer.instances_.emplace_back(instance.as_string());
  }
  return answer;
}

} // namespace latchslip
