#include "LibDaemon/CommandSender.h"

#include "LibNet/MonotonicClock.h"

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
  : codec_(aCodec)
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
  running->path_.Begin(MonotonicNow(), paths_, aCommand.server_);
  SendOnPath(running);
}

void
CommandSender::SendOnPath(const std::shared_ptr<Running>& aRunning)
{
  const auto& command = aRunning->command_;
  RelayRequest relayed;
  relayed.server_ = command.server_;
  relayed.address_ = command.address_;
  relayed.isCommand_ = true;
  relayed.request_ = codec_.EncodeCommand(command);
  relayed.options_.timeout_ = kTimeout;
  relayed.options_.connectTimeout_ = kConnectTimeout;
  relayed.options_.ackTimeout_ = kServerAckTimeout;
  relayed.options_.maxIdleTime_ = kMaxIdleTime;
  relayed.options_.maxBodyBytes_ = kMaxCommandResponseBytes;
  // The answer to a command names neither the command nor its keys. A renewal changes no owner, so
  // renewals may share a connection.
  relayed.options_.usesOwnConnection_ = !command.isRenewal_;
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
  // Links that are cut may refuse connections, too. Only what another instance finds now proves
  // that the server has ended.
  const bool isConfirmed = path.IsServerUnreachable() && path.WasAnotherAsked();
  if (outcome.end_ == CommandStatus::Refused && !isConfirmed && paths_.IsInDoubt(command.server_)) {
    outcome.end_ = CommandStatus::NotSent;
  }
  aRunning->callback_(outcome);
}

} // namespace latchslip
