#include "LibDaemon/GatewayFront.h"

#include "LibNet/MonotonicClock.h"

namespace latchslip {

namespace {

// Connections to one server; the router's limits lie far below.
constexpr std::size_t kMostConnections = 64;
// A server that does not take a connection in this time is passed over: many
// times the way there and back within a region.
constexpr Duration kConnectTimeout = milliseconds(150);
// The router gives up first; this only bounds an exchange it has forgotten.
constexpr Duration kExchangeGrace = milliseconds(100);

} // namespace

GatewayFront::GatewayFront(boost::asio::io_context& aContext,
                           GatewayRouterSettings aSettings,
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
  , router_(std::move(aSettings), aDirectory, *this, aPermits, aEvents)
  , timer_(
      aContext,
      [this] { return router_.NextTime(); },
      [this](Instant aNow) { router_.OnTime(aNow); })
{
}

void
GatewayFront::OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond)
{
  auto routed = codec_.DecodeRequest(aId, aRequest);
  const auto now = MonotonicNow();
  requests_[aId] = { routed, std::move(aRequest), std::move(aRespond), now };
  router_.OnRequest(now, std::move(routed));
  timer_.Arm();
}

void
GatewayFront::OnGone(std::uint64_t aId)
{
  requests_.erase(aId);
  router_.OnClientGone(MonotonicNow(), aId);
  timer_.Arm();
}

void
GatewayFront::Send(const AttemptCommand& aOrder)
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
  router_.OnAttemptEnded(MonotonicNow(), aAttempt, outcome);
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
