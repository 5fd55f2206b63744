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

// Whether the length of the answer's body can be stated. The body is held whole, so it can unless
// an answer to the method or with the status has no body.
bool
CanStateLength(std::string_view aMethod, unsigned aStatus)
{
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return aMethod != "HEAD" && aStatus != kNoContent && aStatus != kNotModified;
}

} // namespace

GatewayFrontend::GatewayFrontend(boost::asio::io_context& aContext,
                                 GatewayRouterSettings aSettings,
                                 const GatewayCodec& aCodec,
                                 const ServerDirectory& aDirectory,
                                 PermitSource& aPermits,
                                 ServerPaths& aPaths,
                                 RelayClient& aRelays,
                                 EventSink& aEvents,
                                 GatewayMetrics& aMetrics,
                                 ResponseMonitor& aResponses,
                                 KeyObserver aKeyObserver,
                                 LeavingObserver aLeavingObserver)
  : codec_(aCodec)
  , metrics_(aMetrics)
  , responses_(aResponses)
  , keyObserver_(std::move(aKeyObserver))
  , leavingObserver_(std::move(aLeavingObserver))
  , paths_(aPaths)
  , relays_(aRelays)
  , client_(HttpClient::Create(aContext, kMaxConnections))
  , router_(std::move(aSettings), aDirectory, *this, aPermits, aEvents)
  , timer_(
      aContext,
      [this] { return router_.NextTime(); },
      [this](Instant aNow) { router_.OnTime(aNow); })
{
  router_.SetPaths(aPaths);
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
  RelayRequest relayed;
  relayed.server_ = aCommand.server_;
  relayed.address_ = aCommand.address_;
  relayed.request_ = codec_.EncodeAttempt(request->second.request_, aCommand);
  auto& options = relayed.options_;
  options.timeout_ = aCommand.timeLeft_ + kExchangeGrace;
  options.connectTimeout_ = kConnectTimeout;
  options.ackTimeout_ = kServerAckTimeout;
  options.echoHeader_ = codec_.EchoHeader();
  const auto attempt = aCommand.number_;
  const auto number = ++lastExchange_;
  auto& running = attempts_[attempt];
  running.command_ = aCommand;
  running.number_ = number;
  if (!aCommand.relay_.empty()) {
    running.exchange_ =
      relays_.Send(aCommand.relay_,
                   std::move(relayed),
                   [this, attempt, number](HttpExchange aExchange, PathResult aPath) {
                     OnExchangeEnded(attempt, number, std::move(aExchange), aPath);
                   });
    return;
  }
  running.exchange_ = client_->Send(aCommand.address_,
                                    std::move(relayed.request_),
                                    std::move(options),
                                    [this, attempt, number](HttpExchange aExchange) {
                                      ObserveResponse(attempt, aExchange);
                                      const auto path = PathResultOf(aExchange);
                                      OnExchangeEnded(attempt, number, std::move(aExchange), path);
                                    });
}

void
GatewayFrontend::ObserveResponse(AttemptNumber aAttempt, const HttpExchange& aExchange)
{
  const auto attempt = attempts_.find(aAttempt);
  if (attempt == attempts_.end()) {
    return;
  }
  const auto& command = attempt->second.command_;
  const auto request = requests_.find(command.request_);
  responses_.OnExchangeEnded(
    command.server_, request == requests_.end() ? "" : request->second.routed_.id_, aExchange);
}

void
GatewayFrontend::OnExchangeEnded(AttemptNumber aAttempt,
                                 std::uint64_t aExchange,
                                 HttpExchange aResult,
                                 PathResult aPath)
{
  auto attempt = attempts_.find(aAttempt);
  if (attempt == attempts_.end()) {
    return;
  }
  auto outcome = codec_.DecodeAttempt(attempt->second.command_, aResult);
  outcome.path_ = aPath;
  outcome.connection_ = aResult.connection_;
  attempt->second.answer_ = std::move(aResult.response_);
  router_.OnAttemptEnded(MonotonicNow(), aAttempt, outcome);
  // The router may have sent the attempt again, on another path.
  attempt = attempts_.find(aAttempt);
  if (attempt != attempts_.end() && attempt->second.number_ == aExchange) {
    attempts_.erase(attempt);
  }
  timer_.Arm();
}

void
GatewayFrontend::Cancel(AttemptNumber aAttempt)
{
  const auto attempt = attempts_.find(aAttempt);
  if (attempt == attempts_.end()) {
    return;
  }
  if (attempt->second.command_.relay_.empty()) {
    client_->Cancel(attempt->second.exchange_);
  } else {
    relays_.Cancel(attempt->second.exchange_);
  }
  attempts_.erase(attempt);
}

void
GatewayFrontend::Probe(const std::string& aAddress)
{
  // Connections from before the cut are of no use when it ends.
  client_->CloseIdle();
  ExchangeOptions options;
  options.connectTimeout_ = kConnectTimeout;
  options.ackTimeout_ = kServerAckTimeout;
  client_->Probe(aAddress, options, [this](bool aIsConnected) {
    paths_.OnProbeEnded(MonotonicNow(), aIsConnected);
  });
}

void
GatewayFrontend::Deliver(RequestNumber aRequest, AttemptNumber aAttempt)
{
  const auto request = requests_.find(aRequest);
  if (request == requests_.end()) {
    return;
  }
  auto answer = codec_.EncodeAnswer(std::move(attempts_.at(aAttempt).answer_));
  // Without a length the client could not distinguish an answer that is cut on the way from a whole
  // one.
  answer.isFramed_ =
    answer.isFramed_ || CanStateLength(request->second.request_.method_, answer.status_);
  Respond(aRequest, std::move(answer));
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
