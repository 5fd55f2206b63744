#include "LibNet/ServerProtocol.h"

#include "LibConfig/JsonReader.h"

#include <charconv>

namespace latchslip {

namespace {

// Reads a 64-bit number written as a JSON string, because JSON numbers may lose their low bits.
FieldResult<std::uint64_t>
ReadNumber(const JsonReader& aReader, std::string_view aName)
{
  BOOST_OUTCOME_TRY(const auto text, aReader.Text(aName));
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
    return FieldError{ aReader.PathOf(aName), "must be a whole number written as text" };
  }
  return number;
}

} // namespace

std::uint64_t
ParseNumber(std::string_view aText, std::uint64_t aDefault)
{
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  const bool isWhole =
    !aText.empty() && parsed.ec == std::errc{} && parsed.ptr == aText.data() + aText.size();
  return isWhole ? number : aDefault;
}

HttpRequest
MakeGrantRequest(const GrantCommand& aCommand)
{
  boost::json::array ranges;
  for (const auto& [first, last] : aCommand.ranges_) {
    ranges.push_back(boost::json::array{ std::to_string(first), std::to_string(last) });
  }
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = "/grant";
  request.body_ = std::make_shared<const std::string>(boost::json::serialize(
    boost::json::object{ { "service", aCommand.service_ },
                         { "fence", std::to_string(aCommand.fence_) },
                         { "generation", std::to_string(aCommand.generation_) },
                         { "boot", std::to_string(aCommand.bootId_) },
                         { "valid_until", std::to_string(aCommand.validUntil_) },
                         { "ranges", std::move(ranges) } }));
  return request;
}

FieldResult<GrantCommand>
ParseGrantRequest(std::string_view aBody)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aBody, "grant"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  GrantCommand command;
  BOOST_OUTCOME_TRY(command.fence_, ReadNumber(reader, "fence"));
  BOOST_OUTCOME_TRY(command.generation_, ReadNumber(reader, "generation"));
  BOOST_OUTCOME_TRY(command.bootId_, ReadNumber(reader, "boot"));
  BOOST_OUTCOME_TRY(const auto until, ReadNumber(reader, "valid_until"));
  command.validUntil_ = static_cast<std::int64_t>(until);
  BOOST_OUTCOME_TRY(const auto* ranges, reader.List("ranges"));
  for (const auto& entry : *ranges) {
    const bool isPair = entry.is_array() && entry.get_array().size() == 2 &&
                        entry.get_array()[0].is_string() && entry.get_array()[1].is_string();
    if (!isPair) {
      return FieldError{ "ranges", "must hold pairs of numbers written as text" };
    }
    command.ranges_.emplace_back(ParseNumber(entry.get_array()[0].get_string(), 0),
                                 ParseNumber(entry.get_array()[1].get_string(), 0));
  }
  return command;
}

std::string
SerializeGrantReply(const GrantReply& aReply)
{
  return boost::json::serialize(
    boost::json::object{ { "accepted", aReply.accepted_ },
                         { "boot", std::to_string(aReply.bootId_) },
                         { "clock", std::to_string(aReply.clock_) },
                         { "fence", std::to_string(aReply.fence_) },
                         { "generation", std::to_string(aReply.generation_) },
                         { "foreign_running", std::to_string(aReply.foreignRunning_) },
                         { "released_running", std::to_string(aReply.releasedRunning_) } });
}

FieldResult<GrantReply>
ParseGrantReply(std::string_view aBody)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aBody, "grant reply"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  GrantReply reply;
  BOOST_OUTCOME_TRY(reply.accepted_, reader.FlagOr("accepted", false));
  BOOST_OUTCOME_TRY(reply.bootId_, ReadNumber(reader, "boot"));
  BOOST_OUTCOME_TRY(const auto clock, ReadNumber(reader, "clock"));
  BOOST_OUTCOME_TRY(reply.fence_, ReadNumber(reader, "fence"));
  BOOST_OUTCOME_TRY(reply.generation_, ReadNumber(reader, "generation"));
  BOOST_OUTCOME_TRY(const auto foreign, ReadNumber(reader, "foreign_running"));
  BOOST_OUTCOME_TRY(const auto released, ReadNumber(reader, "released_running"));
  reply.clock_ = static_cast<std::int64_t>(clock);
  reply.foreignRunning_ = static_cast<unsigned>(foreign);
  reply.releasedRunning_ = static_cast<unsigned>(released);
  return reply;
}

HttpRequest
MakeWorkRequest(const WorkCommand& aCommand)
{
  HttpRequest request;
  request.method_ = "POST";
  request.target_ = "/work/" + EncodeSegment(aCommand.request_.key_);
  request.headers_ = { { std::string(kFenceHeader), std::to_string(aCommand.fence_) },
                       { std::string(kWorkHeader), std::to_string(aCommand.id_) },
                       { std::string(kValidUntilHeader), std::to_string(aCommand.validUntil_) },
                       { std::string(kGroupHeader), aCommand.request_.group_ } };
  if (!aCommand.request_.requestId_.empty()) {
    request.headers_.emplace_back(std::string(kRequestIdHeader), aCommand.request_.requestId_);
  }
  request.body_ = aCommand.request_.body_;
  return request;
}

WorkReply
ToWorkReply(const WorkCommand& aCommand, const HttpResponse& aResponse)
{
  WorkReply reply;
  if (aResponse.Header(kWorkHeader) != std::to_string(aCommand.id_)) {
    // The response belongs to another request and must not reach this caller.
    reply.outcome_ = WorkOutcome::Broken;
    return reply;
  }
  const auto notRun = aResponse.Header(kNotRunHeader);
  reply.retryAfter_ = milliseconds(ParseNumber(aResponse.Header(kRetryAfterHeader), 0));
  reply.status_ = aResponse.status_;
  reply.body_ = aResponse.body_;
  reply.contentType_ = aResponse.contentType_;
  if (notRun.empty()) {
    reply.outcome_ = WorkOutcome::Answered;
  } else if (notRun == "shed") {
    reply.outcome_ = WorkOutcome::Shed;
  } else if (notRun == "expired") {
    reply.outcome_ = WorkOutcome::Expired;
  } else if (notRun == "cancelled") {
    reply.outcome_ = WorkOutcome::Cancelled;
  } else {
    reply.outcome_ = WorkOutcome::Refused;
  }
  return reply;
}

} // namespace latchslip
