#include "LibDaemon/RelayService.h"

#include "LibNet/MonotonicClock.h"
#include "LibNet/RelayCodec.h"

namespace latchslip {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kBadRequest = 400;
// Bounds of what is relayed at once, so that instances that are cut off don't take away the memory
// of the others. A single larger body is relayed if nothing else is.
constexpr std::size_t kMaxInFlight = 256;
constexpr std::size_t kMaxBytes = 8UL * 1024 * 1024;

HttpResponse
MakeAnswer(PathResult aPath, HttpExchange aExchange)
{
  RelayAnswer answer;
  answer.clock_ = MonotonicNow();
  answer.path_ = aPath;
  answer.exchange_ = std::move(aExchange);
  auto response = MakeHttpResponse(kOk, EncodeRelayAnswer(answer));
  response.contentType_ = "application/octet-stream";
  return response;
}

HttpResponse
MakeDeclined()
{
  HttpExchange exchange;
  exchange.end_ = ExchangeEnd::NotSent;
  exchange.problem_ = "declined";
  return MakeAnswer(PathResult::NotTried, std::move(exchange));
}

} // namespace

RelayService::RelayService(HttpClient& aAttempts,
                           HttpClient& aCommands,
                           const ServerDirectory& aDirectory,
                           ServerPaths& aPaths,
                           std::function<bool()> aIsStopping,
                           ResponseMonitor& aResponses,
                           EventSink& aEvents)
  : attempts_(aAttempts)
  , commands_(aCommands)
  , directory_(aDirectory)
  , paths_(aPaths)
  , isStopping_(std::move(aIsStopping))
  , responses_(aResponses)
  , events_(aEvents)
{
}

void
RelayService::OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond)
{
  const auto request = DecodeRelayRequest(*aRequest.body_);
  if (!request) {
    events_.Record(Event::PeerRefused, "reason=\"" + request.error().Describe() + "\"");
    aRespond(MakeHttpResponse(kBadRequest, request.error().Describe()));
    return;
  }
  if (!MayRelay(MonotonicNow(), request.value())) {
    aRespond(MakeDeclined());
    return;
  }
  Begin(aId, request.value(), std::move(aRespond));
}

bool
RelayService::HasRoom(std::size_t aBytes) const
{
  return running_.empty() || (running_.size() < kMaxInFlight && bytes_ + aBytes <= kMaxBytes);
}

bool
RelayService::MayRelay(Instant aNow, const RelayRequest& aRequest) const
{
  const auto* record = directory_.Find(aRequest.server_);
  const bool isListed = record != nullptr && record->address_ == aRequest.address_;
  if (!isListed || (!aRequest.isCommand_ && !record->AcceptsWork())) {
    return false;
  }
  return HasRoom(aRequest.request_.body_->size()) && !isStopping_() && !paths_.IsCutOff() &&
         aNow <= aRequest.expiresAt_;
}

void
RelayService::Begin(std::uint64_t aId, const RelayRequest& aRequest, HttpResponder aRespond)
{
  ++relayed_;
  auto& client = aRequest.isCommand_ ? commands_ : attempts_;
  auto& running = running_[aId];
  running.client_ = &client;
  running.server_ = aRequest.server_;
  running.request_ = std::string(aRequest.request_.Header(aRequest.options_.echoHeader_));
  running.bytes_ = aRequest.request_.body_->size();
  bytes_ += running.bytes_;
  auto options = aRequest.options_;
  if (aRequest.isCommand_) {
    options.maxBodyBytes_ = kMaxCommandResponseBytes;
  }
  running.exchange_ =
    client.Send(aRequest.address_,
                aRequest.request_,
                std::move(options),
                [this, aId, respond = std::move(aRespond)](HttpExchange aExchange) {
                  OnEnded(aId, std::move(aExchange), respond);
                });
}

RelayService::Running
RelayService::Remove(std::uint64_t aId)
{
  auto running = std::move(running_.extract(aId).mapped());
  bytes_ -= running.bytes_;
  return running;
}

void
RelayService::OnEnded(std::uint64_t aId, HttpExchange aExchange, const HttpResponder& aRespond)
{
  const auto ended = Remove(aId);
  responses_.OnExchangeEnded(ended.server_, ended.request_, aExchange);
  const auto path =
    paths_.OnEndedForAnother(MonotonicNow(), ended.server_, PathResultOf(aExchange));
  aRespond(MakeAnswer(path, std::move(aExchange)));
}

void
RelayService::OnClientDisconnected(std::uint64_t aId)
{
  if (running_.contains(aId)) {
    const auto running = Remove(aId);
    running.client_->Cancel(running.exchange_);
  }
}

} // namespace latchslip
