#include "LibDaemon/RelayClient.h"

#include "LibNet/MonotonicClock.h"
#include "LibNet/RelayCodec.h"

namespace latchslip {

namespace {

// Connections per instance, each with one exchange at a time.
constexpr std::size_t kMaxConnections = 64;
// Many round trips within a region; after it another instance is asked.
constexpr Duration kConnectTimeout = milliseconds(100);
// Added to the timeout of the exchange for the way to the relaying instance and back.
constexpr Duration kRelayGrace = milliseconds(20);
// Added to the size of the body of the exchange for its other parts.
constexpr std::size_t kRelayEnvelopeBytes = 64UL * 1024;
// Status of all answers to requests that were understood, whether relayed or declined.
constexpr unsigned kOk = 200;

// Whether an instance whose answer is missing or malformed has certainly relayed nothing.
bool
IsCertainlyUnsent(const HttpExchange& aExchange)
{
  return aExchange.end_ == ExchangeEnd::NotSent ||
         (aExchange.end_ == ExchangeEnd::Complete && aExchange.response_.status_ != kOk);
}

HttpRequest
MakeCall(const RelayRequest& aRequest)
{
  HttpRequest call;
  call.method_ = "POST";
  call.target_ = std::string(kRelayPath);
  call.body_ = std::make_shared<const std::string>(EncodeRelayRequest(aRequest));
  return call;
}

ExchangeOptions
MakeOptions(const RelayRequest& aRequest)
{
  ExchangeOptions options;
  options.timeout_ = aRequest.options_.timeout_ + kRelayGrace;
  options.connectTimeout_ = kConnectTimeout;
  options.ackTimeout_ = aRequest.options_.ackTimeout_;
  options.maxBodyBytes_ = aRequest.options_.maxBodyBytes_ + kRelayEnvelopeBytes;
  return options;
}

} // namespace

RelayClient::RelayClient(boost::asio::io_context& aContext)
  : links_(HttpClient::Create(aContext, kMaxConnections))
{
}

ExchangeId
RelayClient::Send(const std::string& aPeer, RelayRequest aRequest, const Callback& aCallback)
{
  const auto id = ++lastId_;
  if (aRequest.isCommand_ && !clockOffsets_.contains(aPeer)) {
    LearnClock(id, aPeer, aRequest, aCallback);
  } else {
    SendNow(id, aPeer, std::move(aRequest), aCallback);
  }
  return id;
}

void
RelayClient::SendNow(ExchangeId aId,
                     const std::string& aPeer,
                     RelayRequest aRequest,
                     const Callback& aCallback)
{
  if (const auto offset = clockOffsets_.find(aPeer); offset != clockOffsets_.end()) {
    aRequest.expiresAt_ = MonotonicNow() + offset->second + aRequest.options_.timeout_;
  }
  running_[aId] = links_->Send(aPeer,
                               MakeCall(aRequest),
                               MakeOptions(aRequest),
                               [this, aId, aPeer, aCallback](const HttpExchange& aExchange) {
                                 OnEnded(aId, aPeer, aExchange, aCallback);
                               });
}

void
RelayClient::LearnClock(ExchangeId aId,
                        const std::string& aPeer,
                        const RelayRequest& aRequest,
                        const Callback& aCallback)
{
  RelayRequest nothing;
  nothing.options_.timeout_ = kConnectTimeout;
  running_[aId] =
    links_->Send(aPeer,
                 MakeCall(nothing),
                 MakeOptions(nothing),
                 [this, aId, aPeer, aRequest, aCallback](const HttpExchange& aExchange) {
                   if (!ReadAnswer(aPeer, aExchange)) {
                     OnEnded(aId, aPeer, aExchange, aCallback);
                     return;
                   }
                   SendNow(aId, aPeer, aRequest, aCallback);
                 });
}

std::optional<RelayAnswer>
RelayClient::ReadAnswer(const std::string& aPeer, const HttpExchange& aExchange)
{
  if (aExchange.end_ != ExchangeEnd::Complete || aExchange.response_.status_ != kOk) {
    return std::nullopt;
  }
  auto answer = DecodeRelayAnswer(*aExchange.response_.body_);
  if (!answer) {
    return std::nullopt;
  }
  clockOffsets_[aPeer] = answer.value().clock_ - MonotonicNow();
  return std::move(answer).value();
}

void
RelayClient::OnEnded(ExchangeId aId,
                     const std::string& aPeer,
                     const HttpExchange& aExchange,
                     const Callback& aCallback)
{
  running_.erase(aId);
  if (auto answer = ReadAnswer(aPeer, aExchange)) {
    aCallback(std::move(answer->exchange_), answer->path_);
    return;
  }
  // An instance that was lost or restarted has another clock next time.
  clockOffsets_.erase(aPeer);
  HttpExchange failed;
  failed.end_ = IsCertainlyUnsent(aExchange) ? ExchangeEnd::NotSent : ExchangeEnd::Broken;
  failed.isTimeout_ = aExchange.isTimeout_;
  failed.problem_ = "relay: " + aExchange.problem_;
  aCallback(std::move(failed), PathResult::NotTried);
}

void
RelayClient::Cancel(ExchangeId aId)
{
  if (const auto running = running_.find(aId); running != running_.end()) {
    links_->Cancel(running->second);
    running_.erase(running);
  }
}

} // namespace latchslip
