#include "LibStandIn/RecordFile.h"

#include "LibConfig/JsonReader.h"
#include "LibNet/ServerProtocol.h"

namespace latchslip {

namespace {

FieldResult<std::uint64_t>
ReadNumber(const JsonReader& aReader, std::string_view aName)
{
  BOOST_OUTCOME_TRY(const auto text, aReader.Text(aName));
  return ParseNumber(text, 0);
}

FieldResult<Instant>
ReadInstant(const JsonReader& aReader, std::string_view aName)
{
  BOOST_OUTCOME_TRY(const auto number, ReadNumber(aReader, aName));
  return Instant(static_cast<std::int64_t>(number));
}

FieldResult<ExecutionRecord>
ReadExecution(const JsonReader& aReader)
{
  ExecutionRecord record;
  BOOST_OUTCOME_TRY(record.requestId_, aReader.TextOr("request", ""));
  BOOST_OUTCOME_TRY(record.group_, aReader.TextOr("group", ""));
  BOOST_OUTCOME_TRY(record.hash_, ReadNumber(aReader, "hash"));
  BOOST_OUTCOME_TRY(record.fence_, ReadNumber(aReader, "fence"));
  BOOST_OUTCOME_TRY(record.startedAt_, ReadInstant(aReader, "started"));
  BOOST_OUTCOME_TRY(record.endedAt_, ReadInstant(aReader, "ended"));
  return record;
}

FieldResult<OwnershipRecord>
ReadOwnership(const JsonReader& aReader)
{
  OwnershipRecord record;
  BOOST_OUTCOME_TRY(record.fence_, ReadNumber(aReader, "fence"));
  BOOST_OUTCOME_TRY(record.from_, ReadInstant(aReader, "from"));
  BOOST_OUTCOME_TRY(record.until_, ReadInstant(aReader, "until"));
  BOOST_OUTCOME_TRY(const auto* ranges, aReader.List("ranges"));
  for (const auto& range : *ranges) {
    if (range.is_array() && range.get_array().size() == 2) {
      record.ranges_.emplace_back(ParseNumber(range.get_array()[0].get_string(), 0),
                                  ParseNumber(range.get_array()[1].get_string(), 0));
    }
  }
  return record;
}

FieldResult<void>
ReadLine(std::string_view aLine, ServerRecords& aRecords)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aLine, "record"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  BOOST_OUTCOME_TRY(const auto kind, reader.Text("kind"));
  if (kind == "server") {
    BOOST_OUTCOME_TRY(aRecords.service_, reader.Text("service"));
    BOOST_OUTCOME_TRY(aRecords.server_, reader.Text("server"));
    BOOST_OUTCOME_TRY(const auto slots, ReadNumber(reader, "slots"));
    BOOST_OUTCOME_TRY(aRecords.checksGrants_, reader.FlagOr("checks_orders", true));
    aRecords.slots_ = static_cast<unsigned>(slots);
  } else if (kind == "execution") {
    BOOST_OUTCOME_TRY(auto record, ReadExecution(reader));
    BOOST_OUTCOME_TRY(const auto most, ReadNumber(reader, "most_running"));
    aRecords.executions_.push_back(std::move(record));
    aRecords.maxRunning_ = most;
  } else {
    BOOST_OUTCOME_TRY(auto record, ReadOwnership(reader));
    auto& known = aRecords.ownerships_;
    if (!known.empty() && known.back().from_ == record.from_) {
      known.back() = std::move(record);
    } else {
      known.push_back(std::move(record));
    }
  }
  return outcome::success();
}

} // namespace

std::string
SerializeHeader(const ServerRecords& aRecords)
{
  return boost::json::serialize(boost::json::object{ { "kind", "server" },
                                                     { "service", aRecords.service_ },
                                                     { "server", aRecords.server_ },
                                                     { "slots", std::to_string(aRecords.slots_) },
                                                     { "checks_orders", aRecords.checksGrants_ } });
}

std::string
SerializeExecution(const ExecutionRecord& aExecution, std::size_t aMaxRunning)
{
  boost::json::object line{ { "kind", "execution" },
                            { "hash", std::to_string(aExecution.hash_) },
                            { "fence", std::to_string(aExecution.fence_) },
                            { "started", std::to_string(aExecution.startedAt_.count()) },
                            { "ended", std::to_string(aExecution.endedAt_.count()) },
                            { "most_running", std::to_string(aMaxRunning) } };
  if (!aExecution.requestId_.empty()) {
    line["request"] = aExecution.requestId_;
  }
  if (!aExecution.group_.empty()) {
    line["group"] = aExecution.group_;
  }
  return boost::json::serialize(line);
}

std::string
SerializeOwnership(const OwnershipRecord& aOwnership)
{
  boost::json::array ranges;
  for (const auto& [first, last] : aOwnership.ranges_) {
    ranges.push_back(boost::json::array{ std::to_string(first), std::to_string(last) });
  }
  return boost::json::serialize(
    boost::json::object{ { "kind", "ownership" },
                         { "fence", std::to_string(aOwnership.fence_) },
                         { "from", std::to_string(aOwnership.from_.count()) },
                         { "until", std::to_string(aOwnership.until_.count()) },
                         { "ranges", std::move(ranges) } });
}

FieldResult<ServerRecords>
ParseServerRecords(std::string_view aText)
{
  ServerRecords records;
  std::size_t start = 0;
  while (start < aText.size()) {
    const auto end = aText.find('\n', start);
    if (end == std::string_view::npos) {
      break;
    }
    BOOST_OUTCOME_TRY(ReadLine(aText.substr(start, end - start), records));
    start = end + 1;
  }
  return records;
}

} // namespace latchslip
