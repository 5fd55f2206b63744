#pragma once

#include "LibDaemon/GatewayCodec.h"
#include "LibDaemon/RelayClient.h"
#include "LibDaemon/ResponseMonitor.h"
#include "LibGateway/PathSearch.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace latchslip {

// Sends the placer's commands about keys (grants and releases) to backend servers, through another
// instance where the own links are cut.
class CommandSender
{
public:
  using Callback = std::function<void(const CommandOutcome&)>;

  CommandSender(boost::asio::io_context& aContext,
                const GatewayCodec& aCodec,
                ServerPaths& aPaths,
                RelayClient& aRelays,
                ResponseMonitor& aResponses);

  void Send(const KeyCommand& aCommand, Callback aCallback);
  // The client for exchanges that carry commands.
  HttpClient& Client() { return *client_; }
  const HttpClient& Client() const { return *client_; }

private:
  struct Running
  {
    KeyCommand command_;
    PathSearch path_;
    Callback callback_;
  };

  // Sends a command that must go on in its session: only directly, as another instance has sessions
  // of its own.
  void SendInSession(const std::shared_ptr<Running>& aRunning);
  void OnSessionExchangeEnded(const Running& aRunning, const HttpExchange& aExchange);
  RelayRequest MakeRequest(const KeyCommand& aCommand) const;
  void SendOnPath(const std::shared_ptr<Running>& aRunning);
  void OnEnded(const std::shared_ptr<Running>& aRunning,
               const HttpExchange& aExchange,
               PathResult aPath);

  boost::asio::io_context& context_;
  const GatewayCodec& codec_;
  ServerPaths& paths_;
  RelayClient& relays_;
  ResponseMonitor& responses_;
  std::unique_ptr<HttpClient> client_;
};

} // namespace latchslip
