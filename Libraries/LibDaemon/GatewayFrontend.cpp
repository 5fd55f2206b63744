#include "LibDaemon/GatewayFrontend.h"

#include "LibNet/MonotonicClock.h"

namespace latchslip {

namespace {

// Connections per backend server. The router's own limits on requests in flight are far lower.
constexpr std::size_t kMaxConnections = 64;
// Many round trips within a region; after it the attempt counts as not sent and another server
// is tried.
constexpr Duration kConnectTimeout = milliseconds(150);
// Added to an attempt's timeout. The router normally cancels the attempt first; this only
// bounds an exchange that it no longer tracks.
constexpr Duration kExchangeGrace = milliseconds(100);

} // namespace

GatewayFrontend::GatewayFrontend(boost::asio::io_context& aContext,
                                 GatewayRouterSettings aSettings,
                                 const GatewayCodec& aCodec,
                                 const ServerDirectory& aDirectory,
                                 PermitSource& aPermits,
                                 EventSink& aEvents,
                                 GatewayMetrics& aMetrics,
                                 KeyObserver aKeyObserver,
                                 LeavingObserver aLeavingObserver)
  : codec_(aCodec)
  , metrics_(aMetrics)
  , keyObserver_(std::move(aKeyObserver))
  , leavingObserver_(std::move(aLeavingObserver))
  , client_(HttpClient::Create(aContext, kMaxConnections))
  , router_(std::move(aSettings), aDirectory, *this, aPermits, aEvents)
  , timer_(
      aContext,
      [this] { return router_.NextTime(); },
      [this](Instant aNow) { router_.OnTime(aNow); })
{
}

void
GatewayFrontend::OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond)
{
  auto routed = codec_.DecodeRequest(aId, aRequest);
  const auto now = MonotonicNow();
  requests_[aId] = { routed, std::move(aRequest), std::move(aRespond), now };
  router_.OnRequest(now, std::move(routed));
  timer_.Arm();
}

void
GatewayFrontend::OnClientDisconnected(std::uint64_t aId)
{
  requests_.erase(aId);
  router_.OnClientGone(MonotonicNow(), aId);
  timer_.Arm();
}

void
GatewayFrontend::Send(const AttemptCommand& aCommand)
{
  const auto request = requests_.find(aCommand.request_);
  if (request == requests_.end()) {
    return;
  }
  ExchangeOptions options;
  options.timeout_ = aCommand.timeLeft_ + kExchangeGrace;
  options.connectTimeout_ = kConnectTimeout;
  options.echoHeader_ = codec_.EchoHeader();
  const auto number = aCommand.number_;
  auto& attempt = attempts_[number];
  attempt.command_ = aCommand;
  attempt.exchange_ = client_->Send(
    aCommand.address_,
    codec_.EncodeAttempt(request->second.request_, aCommand),
    std::move(options),
    [this, number](HttpExchange aExchange) { OnExchangeEnded(number, std::move(aExchange)); });
}

void
GatewayFrontend::OnExchangeEnded(AttemptNumber aAttempt, HttpExchange aExchange)
{
  const auto attempt = attempts_.find(aAttempt);
  if (attempt == attempts_.end()) {
    return;
  }
  const auto outcome = codec_.DecodeAttempt(attempt->second.command_, aExchange);
  attempt->second.answer_ = std::move(aExchange.response_);
  router_.OnAttemptEnded(MonotonicNow(), aAttempt, outcome);
  attempts_.erase(aAttempt);
  timer_.Arm();
}

void
GatewayFrontend::Cancel(AttemptNumber aAttempt)
{
  const auto attempt = attempts_.find(aAttempt);
  if (attempt == attempts_.end()) {
    return;
  }
  client_->Cancel(attempt->second.exchange_);
  attempts_.erase(attempt);
}

void
GatewayFrontend::Deliver(RequestNumber aRequest, AttemptNumber aAttempt)
{
  Respond(aRequest, codec_.EncodeAnswer(std::move(attempts_.at(aAttempt).answer_)));
}

void
GatewayFrontend::Refuse(RequestNumber aRequest, const Refusal& aRefusal)
{
  if (const auto request = requests_.find(aRequest); request != requests_.end()) {
    Respond(aRequest, codec_.EncodeRefusal(request->second.routed_, aRefusal));
  }
}

void
GatewayFrontend::Respond(RequestNumber aRequest, HttpResponse aResponse)
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
