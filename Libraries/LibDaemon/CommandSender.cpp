#include "LibDaemon/CommandSender.h"

#include "LibNet/MonotonicClock.h"

#include <boost/asio/post.hpp>

namespace latchslip {

namespace {

// Timeout of a command.
constexpr Duration kTimeout = milliseconds(1500);
constexpr Duration kConnectTimeout = milliseconds(300);
// A connection is reused only within this time, in which servers almost never close it. The
// renewals of one server's leases follow each other within it.
constexpr Duration kMaxIdleTime = milliseconds(150);
// Connections per backend server; covers the commands that the placer sends to one server at once.
constexpr std::size_t kMaxConnections = 64;

} // namespace

CommandSender::CommandSender(boost::asio::io_context& aContext,
                             const GatewayCodec& aCodec,
                             ServerPaths& aPaths,
                             RelayClient& aRelays,
                             ResponseMonitor& aResponses)
  : context_(aContext)
  , codec_(aCodec)
  , paths_(aPaths)
  , relays_(aRelays)
  , responses_(aResponses)
  , client_(HttpClient::Create(aContext, kMaxConnections))
{
}

void
CommandSender::Send(const KeyCommand& aCommand, Callback aCallback)
{
  auto running = std::make_shared<Running>();
  running->command_ = aCommand;
  running->callback_ = std::move(aCallback);
  if (aCommand.session_ != 0) {
    SendInSession(running);
    return;
  }
  running->path_.Begin(MonotonicNow(), paths_, aCommand.server_);
  SendOnPath(running);
}

RelayRequest
CommandSender::MakeRequest(const KeyCommand& aCommand) const
{
  RelayRequest request;
  request.server_ = aCommand.server_;
  request.address_ = aCommand.address_;
  request.isCommand_ = true;
  request.request_ = codec_.EncodeCommand(aCommand);
  request.options_.timeout_ = kTimeout;
  request.options_.connectTimeout_ = kConnectTimeout;
  request.options_.ackTimeout_ = kServerAckTimeout;
  request.options_.maxIdleTime_ = kMaxIdleTime;
  request.options_.maxBodyBytes_ = kMaxCommandResponseBytes;
  // The answer to a command names neither the command nor its keys. A renewal changes no owner, so
  // renewals may share a connection.
  request.options_.usesOwnConnection_ = !aCommand.isRenewal_;
  request.options_.keepsSession_ = true;
  request.options_.session_ = aCommand.session_;
  return request;
}

void
CommandSender::SendInSession(const std::shared_ptr<Running>& aRunning)
{
  const auto& command = aRunning->command_;
  const auto relay = paths_.Choose(MonotonicNow(), command.server_, {});
  if (relay && !relay->empty()) {
    boost::asio::post(context_, [aRunning] {
      CommandOutcome outcome;
      outcome.end_ = CommandStatus::SessionEnded;
      aRunning->callback_(outcome);
    });
    return;
  }
  paths_.OnSent("");
  auto request = MakeRequest(command);
  client_->Send(command.address_,
                std::move(request.request_),
                std::move(request.options_),
                [this, aRunning](const HttpExchange& aExchange) {
                  OnSessionExchangeEnded(*aRunning, aExchange);
                });
}

void
CommandSender::OnSessionExchangeEnded(const Running& aRunning, const HttpExchange& aExchange)
{
  const auto& command = aRunning.command_;
  responses_.OnExchangeEnded(command.server_, "", aExchange);
  paths_.OnEnded(MonotonicNow(), command.server_, "", PathResultOf(aExchange));
  auto outcome = codec_.DecodeCommand(command, aExchange);
  outcome.session_ = aExchange.session_;
  if (aExchange.isSessionEnded_) {
    outcome.end_ = CommandStatus::SessionEnded;
  }
  aRunning.callback_(outcome);
}

void
CommandSender::SendOnPath(const std::shared_ptr<Running>& aRunning)
{
  const auto& command = aRunning->command_;
  auto relayed = MakeRequest(command);
  if (!aRunning->path_.Relay().empty()) {
    relays_.Send(aRunning->path_.Relay(),
                 std::move(relayed),
                 [this, aRunning](const HttpExchange& aExchange, PathResult aPath) {
                   OnEnded(aRunning, aExchange, aPath);
                 });
    return;
  }
  client_->Send(command.address_,
                std::move(relayed.request_),
                std::move(relayed.options_),
                [this, aRunning](const HttpExchange& aExchange) {
                  responses_.OnExchangeEnded(aRunning->command_.server_, "", aExchange);
                  OnEnded(aRunning, aExchange, PathResultOf(aExchange));
                });
}

void
CommandSender::OnEnded(const std::shared_ptr<Running>& aRunning,
                       const HttpExchange& aExchange,
                       PathResult aPath)
{
  const auto& command = aRunning->command_;
  auto& path = aRunning->path_;
  const bool isUnsent = aExchange.end_ == ExchangeEnd::NotSent;
  if (path.TryNext(MonotonicNow(), paths_, command.server_, aPath, isUnsent)) {
    SendOnPath(aRunning);
    return;
  }
  auto outcome = codec_.DecodeCommand(command, aExchange);
  outcome.session_ = aExchange.session_;
  // Links that are cut may refuse connections, too. Only what another instance finds now proves
  // that the server has ended.
  const bool isConfirmed = path.IsServerUnreachable() && path.WasAnotherAsked();
  if (outcome.end_ == CommandStatus::Refused && !isConfirmed && paths_.IsInDoubt(command.server_)) {
    outcome.end_ = CommandStatus::NotSent;
  }
  aRunning->callback_(outcome);
}

} // namespace latchslip
