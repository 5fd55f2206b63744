#include "LibDaemon/GatewayFront.h"

#include "LibNet/MonotonicClock.h"

namespace latchslip {

namespace {

// Connections per backend server. The router's own limits on requests in flight are far lower.
constexpr std::size_t kMostConnections = 64;
// Many round trips within a region; after it the attempt counts as not sent and another server
// is tried.
constexpr Duration kConnectTimeout = milliseconds(150);
// Added to an attempt's timeout. The router normally cancels the attempt first; this only
// bounds an exchange that it no longer tracks.
constexpr Duration kExchangeGrace = milliseconds(100);

} // namespace

GatewayFront::GatewayFront(boost::asio::io_context& aContext,
                           RequestDeskSettings aSettings,
                           const GatewayCodec& aCodec,
                           const ServerDirectory& aDirectory,
                           PermitSource& aPermits,
                           EventSink& aEvents,
                           GatewayMetrics& aMetrics,
                           KeyObserver aObserver,
                           LeavingObserver aLeavingObserver)
  : codec_(aCodec)
  , metrics_(aMetrics)
  , observer_(std::move(aObserver))
  , leavingObserver_(std::move(aLeavingObserver))
  , client_(HttpClient::Create(aContext, kMostConnections))
  , desk_(std::move(aSettings), aDirectory, *this, aPermits, aEvents)
  , timer_(
      aContext,
      [this] { return desk_.NextTime(); },
      [this](Instant aNow) { desk_.OnTime(aNow); })
{
}

void
GatewayFront::OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond)
{
  auto routed = codec_.DecodeRequest(aId, aRequest);
  const auto now = MonotonicNow();
  requests_[aId] = { routed, std::move(aRequest), std::move(aRespond), now };
  desk_.OnRequest(now, std::move(routed));
  timer_.Arm();
}

void
GatewayFront::OnGone(std::uint64_t aId)
{
  requests_.erase(aId);
  desk_.OnClientGone(MonotonicNow(), aId);
  timer_.Arm();
}

void
GatewayFront::Send(const AttemptOrder& aOrder)
{
  const auto request = requests_.find(aOrder.request_);
  if (request == requests_.end()) {
    return;
  }
  ExchangeOptions options;
  options.timeout_ = aOrder.timeLeft_ + kExchangeGrace;
  options.connectTimeout_ = kConnectTimeout;
  options.echoHeader_ = codec_.EchoHeader();
  const auto number = aOrder.number_;
  auto& attempt = attempts_[number];
  attempt.order_ = aOrder;
  attempt.exchange_ = client_->Send(
    aOrder.address_,
    codec_.EncodeAttempt(request->second.request_, aOrder),
    std::move(options),
    [this, number](HttpExchange aExchange) { OnExchangeEnded(number, std::move(aExchange)); });
}

void
GatewayFront::OnExchangeEnded(AttemptNumber aAttempt, HttpExchange aExchange)
{
  const auto attempt = attempts_.find(aAttempt);
  if (attempt == attempts_.end()) {
    return;
  }
  const auto outcome = codec_.DecodeAttempt(attempt->second.order_, aExchange);
  attempt->second.answer_ = std::move(aExchange.response_);
  desk_.OnAttemptEnded(MonotonicNow(), aAttempt, outcome);
  attempts_.erase(aAttempt);
  timer_.Arm();
}

void
GatewayFront::Cancel(AttemptNumber aAttempt)
{
  const auto attempt = attempts_.find(aAttempt);
  if (attempt == attempts_.end()) {
    return;
  }
  client_->Cancel(attempt->second.exchange_);
  attempts_.erase(attempt);
}

void
GatewayFront::Deliver(RequestNumber aRequest, AttemptNumber aAttempt)
{
  Respond(aRequest, codec_.EncodeAnswer(std::move(attempts_.at(aAttempt).answer_)));
}

void
GatewayFront::Refuse(RequestNumber aRequest, const Refusal& aRefusal)
{
  if (const auto request = requests_.find(aRequest); request != requests_.end()) {
    Respond(aRequest, codec_.EncodeRefusal(request->second.routed_, aRefusal));
  }
}

void
GatewayFront::Respond(RequestNumber aRequest, HttpResponse aResponse)
{
  const auto request = requests_.find(aRequest);
  if (request == requests_.end()) {
    return;
  }
  metrics_.OnAnswer(aResponse.status_, MonotonicNow() - request->second.arrival_);
  const auto respond = std::move(request->second.respond_);
  requests_.erase(request);
  respond(std::move(aResponse));
}

} // namespace latchslip
