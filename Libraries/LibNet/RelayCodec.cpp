#include "LibNet/RelayCodec.h"

#include "LibNet/CapnpMessage.h"
#include "LibNet/Generated/Relay.capnp.h"
#include "LibNet/ResponseSyntax.h"

#include <algorithm>
#include <cstring>
#include <vector>

namespace latchslip {

namespace {

// Traversal limit for a malicious or corrupt message; bodies are bounded by the HTTP listener.
constexpr std::uint64_t kMaxWords = 16ULL * 1024 * 1024;

std::string
ToBytes(capnp::MessageBuilder& aBuilder)
{
  const auto words = capnp::messageToFlatArray(aBuilder);
  const auto chars = words.asChars();
  return { chars.begin(), chars.size() };
}

// Copies the bytes to where they are aligned, as ReadMessage requires.
std::vector<std::uint64_t>
Align(std::string_view aBytes)
{
  std::vector<std::uint64_t> words(aBytes.size() / sizeof(std::uint64_t));
  std::memcpy(words.data(), aBytes.data(), words.size() * sizeof(std::uint64_t));
  return words;
}

std::span<const std::uint8_t>
BytesOf(const std::vector<std::uint64_t>& aWords)
{
  return { reinterpret_cast<const std::uint8_t*>(aWords.data()),
           aWords.size() * sizeof(std::uint64_t) };
}

void
WriteHeaders(capnp::List<wire::HttpHeader>::Builder aOut, const std::vector<HttpHeader>& aHeaders)
{
  for (unsigned index = 0; index < aOut.size(); ++index) {
    aOut[index].setName(ToText(aHeaders[index].first));
    aOut[index].setValue(ToText(aHeaders[index].second));
  }
}

std::vector<HttpHeader>
ReadHeaders(capnp::List<wire::HttpHeader>::Reader aIn)
{
  std::vector<HttpHeader> headers;
  headers.reserve(aIn.size());
  for (const auto header : aIn) {
    headers.emplace_back(FromText(header.getName()), FromText(header.getValue()));
  }
  return headers;
}

capnp::Data::Reader
ToData(const std::shared_ptr<const std::string>& aBody)
{
  return aBody
           ? capnp::Data::Reader(reinterpret_cast<const kj::byte*>(aBody->data()), aBody->size())
           : capnp::Data::Reader();
}

std::shared_ptr<const std::string>
FromData(capnp::Data::Reader aData)
{
  const auto chars = aData.asChars();
  return std::make_shared<const std::string>(chars.begin(), chars.size());
}

RelayRequest
ReadRequest(wire::RelayRequest::Reader aIn)
{
  RelayRequest request;
  request.server_ = FromText(aIn.getServer());
  request.address_ = FromText(aIn.getAddress());
  request.isCommand_ = aIn.getIsCommand();
  request.expiresAt_ = Instant(aIn.getExpiresAtMicros());
  request.options_.timeout_ = Duration(aIn.getTimeoutMicros());
  request.options_.connectTimeout_ = Duration(aIn.getConnectTimeoutMicros());
  request.options_.ackTimeout_ = Duration(aIn.getAckTimeoutMicros());
  request.options_.maxIdleTime_ = Duration(aIn.getMaxIdleMicros());
  request.options_.echoHeader_ = FromText(aIn.getEchoHeader());
  request.options_.usesOwnConnection_ = aIn.getUsesOwnConnection();
  request.request_.method_ = FromText(aIn.getMethod());
  request.request_.target_ = FromText(aIn.getTarget());
  request.request_.headers_ = ReadHeaders(aIn.getHeaders());
  request.request_.body_ = FromData(aIn.getBody());
  return request;
}

// Checks the response of a complete exchange as if it had been received from the server.
FieldResult<void>
CheckResponse(const HttpResponse& aResponse)
{
  if (!IsStatus(aResponse.status_)) {
    return FieldError{ "status", "is none of HTTP" };
  }
  const auto& headers = aResponse.headers_;
  const bool areValid = std::all_of(headers.begin(), headers.end(), [](const HttpHeader& aHeader) {
    return IsFieldName(aHeader.first) && IsFieldValue(aHeader.second);
  });
  if (!areValid || !IsFieldValue(aResponse.contentType_)) {
    return FieldError{ "headers", "have a name or a value that HTTP does not allow" };
  }
  return outcome::success();
}

FieldResult<RelayAnswer>
ReadAnswer(wire::RelayAnswer::Reader aIn)
{
  if (aIn.getPath() >= kPathResultNames.names_.size()) {
    return FieldError{ "path", "has a value that this release does not support" };
  }
  if (aIn.getEnd() > static_cast<std::uint8_t>(ExchangeEnd::Broken)) {
    return FieldError{ "end", "has a value that this release does not support" };
  }
  RelayAnswer answer;
  answer.clock_ = Instant(aIn.getClockMicros());
  answer.path_ = static_cast<PathResult>(aIn.getPath());
  auto& exchange = answer.exchange_;
  exchange.end_ = static_cast<ExchangeEnd>(aIn.getEnd());
  exchange.isRefused_ = aIn.getIsRefused();
  exchange.isTimeout_ = aIn.getIsTimeout();
  exchange.isConnectionLost_ = aIn.getIsConnectionLost();
  exchange.problem_ = FromText(aIn.getProblem());
  exchange.response_.status_ = aIn.getStatus();
  exchange.response_.contentType_ = FromText(aIn.getContentType());
  exchange.response_.isFramed_ = aIn.getIsFramed();
  exchange.response_.headers_ = ReadHeaders(aIn.getHeaders());
  exchange.response_.body_ = FromData(aIn.getBody());
  if (exchange.end_ == ExchangeEnd::Complete) {
    BOOST_OUTCOME_TRY(CheckResponse(exchange.response_));
  }
  return answer;
}

} // namespace

std::string
EncodeRelayRequest(const RelayRequest& aRequest)
{
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<wire::RelayRequest>();
  out.setServer(ToText(aRequest.server_));
  out.setAddress(ToText(aRequest.address_));
  out.setIsCommand(aRequest.isCommand_);
  out.setExpiresAtMicros(aRequest.expiresAt_.count());
  out.setTimeoutMicros(aRequest.options_.timeout_.count());
  out.setConnectTimeoutMicros(aRequest.options_.connectTimeout_.count());
  out.setAckTimeoutMicros(aRequest.options_.ackTimeout_.count());
  out.setMaxIdleMicros(aRequest.options_.maxIdleTime_.count());
  out.setEchoHeader(ToText(aRequest.options_.echoHeader_));
  out.setUsesOwnConnection(aRequest.options_.usesOwnConnection_);
  out.setMethod(ToText(aRequest.request_.method_));
  out.setTarget(ToText(aRequest.request_.target_));
  const auto& headers = aRequest.request_.headers_;
  WriteHeaders(out.initHeaders(static_cast<unsigned>(headers.size())), headers);
  out.setBody(ToData(aRequest.request_.body_));
  return ToBytes(builder);
}

FieldResult<RelayRequest>
DecodeRelayRequest(std::string_view aBytes)
{
  const auto words = Align(aBytes);
  return ReadMessage<wire::RelayRequest>(
    BytesOf(words),
    kMaxWords,
    [](wire::RelayRequest::Reader aIn) { return FieldResult<RelayRequest>(ReadRequest(aIn)); },
    [](const char* aProblem) {
      return FieldResult<RelayRequest>(FieldError{ "relay request", aProblem });
    });
}

std::string
EncodeRelayAnswer(const RelayAnswer& aAnswer)
{
  capnp::MallocMessageBuilder builder;
  auto out = builder.initRoot<wire::RelayAnswer>();
  const auto& exchange = aAnswer.exchange_;
  out.setClockMicros(aAnswer.clock_.count());
  out.setPath(static_cast<std::uint8_t>(aAnswer.path_));
  out.setEnd(static_cast<std::uint8_t>(exchange.end_));
  out.setIsRefused(exchange.isRefused_);
  out.setIsTimeout(exchange.isTimeout_);
  out.setIsConnectionLost(exchange.isConnectionLost_);
  out.setProblem(ToText(exchange.problem_));
  out.setStatus(exchange.response_.status_);
  out.setContentType(ToText(exchange.response_.contentType_));
  out.setIsFramed(exchange.response_.isFramed_);
  const auto& headers = exchange.response_.headers_;
  WriteHeaders(out.initHeaders(static_cast<unsigned>(headers.size())), headers);
  out.setBody(ToData(exchange.response_.body_));
  return ToBytes(builder);
}

FieldResult<RelayAnswer>
DecodeRelayAnswer(std::string_view aBytes)
{
  const auto words = Align(aBytes);
  return ReadMessage<wire::RelayAnswer>(
    BytesOf(words), kMaxWords, ReadAnswer, [](const char* aProblem) {
      return FieldResult<RelayAnswer>(FieldError{ "relay answer", aProblem });
    });
}

} // namespace latchslip
