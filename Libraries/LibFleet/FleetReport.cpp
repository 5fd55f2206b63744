#include "LibFleet/FleetReport.h"

#include "LibConfig/JsonReader.h"
#include "LibFleet/FleetUpdate.h"

#include <charconv>

namespace latchslip {

namespace {

constexpr std::uint64_t kMaxCount = 1'000'000;
// No instance has more processors than this.
constexpr double kMaxProcessors = 1024;
constexpr double kMaxLinkMbps = 1e7;

FieldResult<std::uint64_t>
WholeNumber(const boost::json::value& aValue, std::string_view aField, std::uint64_t aMax)
{
  boost::system::error_code error;
  const auto number = aValue.to_number<std::uint64_t>(error);
  if (error || number > aMax) {
    return FieldError{ std::string(aField), "must be whole numbers up to " + std::to_string(aMax) };
  }
  return number;
}

// Digests are sent as text, since a JSON number is not certain to keep all 64 bits.
FieldResult<std::uint64_t>
ParseDigest(const JsonReader& aReader)
{
  BOOST_OUTCOME_TRY(const auto text, aReader.TextOr("roster", "0"));
  std::uint64_t digest = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, digest);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return FieldError{ "roster", "must be a whole number" };
  }
  return digest;
}

// An instance is encoded as a list of its address, its hall, its processor share and, if stated,
// the rate of its link.
boost::json::array
PeerToJson(const FleetPeer& aPeer)
{
  boost::json::array list{ aPeer.address_, aPeer.hall_, aPeer.processorShare_ };
  if (aPeer.linkMbps_ > 0) {
    list.emplace_back(aPeer.linkMbps_);
  }
  return list;
}

// A number of a peer between 0 and aMost; no value if it is none.
std::optional<double>
PeerNumber(const boost::json::value& aValue, double aMost)
{
  boost::system::error_code error;
  const auto number = aValue.to_number<double>(error);
  return error || number < 0 || number > aMost ? std::nullopt : std::optional(number);
}

FieldResult<FleetPeer>
ParsePeer(const boost::json::value& aValue)
{
  constexpr std::size_t kWithoutLink = 3;
  constexpr std::size_t kWithLink = 4;
  const FieldError malformed{ "joined",
                              "must be lists of an address, a hall and one or two numbers" };
  const auto* list = aValue.if_array();
  if (list == nullptr || (list->size() != kWithoutLink && list->size() != kWithLink) ||
      !(*list)[0].is_string() || !(*list)[1].is_string()) {
    return malformed;
  }
  const auto share = PeerNumber((*list)[2], kMaxProcessors);
  const auto link = list->size() == kWithLink ? PeerNumber((*list)[3], kMaxLinkMbps) : 0.0;
  if (!share || !link) {
    return malformed;
  }
  return FleetPeer{
    std::string((*list)[0].as_string()), std::string((*list)[1].as_string()), *share, *link
  };
}

FieldResult<RosterChange>
ParseRoster(const JsonReader& aReader)
{
  RosterChange change;
  BOOST_OUTCOME_TRY(change.isWhole_, aReader.FlagOr("whole_roster", false));
  BOOST_OUTCOME_TRY(const auto* joined, aReader.List("joined"));
  for (const auto& entry : *joined) {
    BOOST_OUTCOME_TRY(auto peer, ParsePeer(entry));
    change.joined_.push_back(std::move(peer));
  }
  BOOST_OUTCOME_TRY(const auto* left, aReader.List("left"));
  for (const auto& entry : *left) {
    if (!entry.is_string()) {
      return FieldError{ "left", "must be a list of addresses" };
    }
    change.left_.emplace_back(entry.as_string());
  }
  return change;
}

// Counts are encoded as a flat list: key, count, key, count.
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
    BOOST_OUTCOME_TRY(const auto count, WholeNumber(list[index + 1], "key_counts", kMaxCount));
    counts.push_back({ static_cast<KeyNumber>(key), static_cast<std::uint32_t>(count) });
  }
  return counts;
}

// A list of the number of answers, the sum of their times in microseconds, and the rate limit if
// there is one.
FieldResult<ServerWork>
ParseWork(const boost::json::value& aValue)
{
  constexpr std::uint64_t kMaxBusyMicroseconds = 3'600'000'000'000;
  constexpr std::size_t kWithoutLimit = 2;
  constexpr std::size_t kWithLimit = 3;
  const auto* list = aValue.if_array();
  if (list == nullptr || (list->size() != kWithoutLimit && list->size() != kWithLimit)) {
    return FieldError{ "work", "must be lists of answers, their time and a rate limit" };
  }
  ServerWork work;
  BOOST_OUTCOME_TRY(work.answers_, WholeNumber(list->at(0), "work", kMaxCount));
  BOOST_OUTCOME_TRY(const auto busy, WholeNumber(list->at(1), "work", kMaxBusyMicroseconds));
  work.busy_ = Duration(busy);
  if (list->size() == kWithLimit) {
    const auto& limit = list->at(2);
    if (!limit.is_number() || limit.to_number<double>() <= 0) {
      return FieldError{ "work", "must name a rate limit above zero" };
    }
    work.rateLimit_ = limit.to_number<double>();
  }
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
    boost::json::array values{ work.answers_, work.busy_.count() };
    if (work.rateLimit_ < kNoRateLimit) {
      values.emplace_back(work.rateLimit_);
    }
    works[server] = std::move(values);
  }
  return boost::json::serialize(
    boost::json::object{ { "instance", aReport.instance_ },
                         { "address", aReport.address_ },
                         { "processor_share", aReport.processorShare_ },
                         { "link_mbps", aReport.linkMbps_ },
                         { "hall", aReport.hall_ },
                         { "roster", std::to_string(aReport.rosterDigest_) },
                         { "lacks_tables", aReport.lacksTables_ },
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
                    reader.NumberOr("processor_share", 0, 0, kMaxProcessors));
  BOOST_OUTCOME_TRY(report.linkMbps_, reader.NumberOr("link_mbps", 0, 0, kMaxLinkMbps));
  BOOST_OUTCOME_TRY(report.hall_, reader.TextOr("hall", ""));
  BOOST_OUTCOME_TRY(report.rosterDigest_, ParseDigest(reader));
  BOOST_OUTCOME_TRY(report.lacksTables_, reader.FlagOr("lacks_tables", false));
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
  boost::json::array joined;
  for (const auto& peer : aAnswer.roster_.joined_) {
    joined.push_back(PeerToJson(peer));
  }
  const auto& left = aAnswer.roster_.left_;
  boost::json::object document{ { "working", aAnswer.isWorking_ },
                                { "strongest_share", aAnswer.highestCapacity_ },
                                { "versions", VersionsToJson(aAnswer.lastChanges_) },
                                { "whole_roster", aAnswer.roster_.isWhole_ },
                                { "joined", std::move(joined) },
                                { "left", boost::json::array(left.begin(), left.end()) } };
  PutProof(aAnswer.proof_, document);
  return boost::json::serialize(document);
}

FieldResult<ReportAnswer>
ParseReportAnswer(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "report answer"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  ReportAnswer answer;
  BOOST_OUTCOME_TRY(answer.isWorking_, reader.FlagOr("working", false));
  BOOST_OUTCOME_TRY(answer.lastChanges_, VersionsFromJson(value.as_object()));
  BOOST_OUTCOME_TRY(answer.highestCapacity_,
                    reader.NumberOr("strongest_share", 0, 0, kMaxProcessors));
  BOOST_OUTCOME_TRY(answer.roster_, ParseRoster(reader));
  BOOST_OUTCOME_TRY(answer.proof_, ProofFromJson(value.as_object()));
  return answer;
}

} // namespace latchslip
