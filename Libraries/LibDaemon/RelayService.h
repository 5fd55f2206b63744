#pragma once

#include "LibBase/Event.h"
#include "LibDaemon/ResponseMonitor.h"
#include "LibGateway/ServerDirectory.h"
#include "LibNet/HttpServer.h"
#include "LibNet/RelayMessages.h"

#include <cstddef>
#include <functional>
#include <map>

namespace latchslip {

// Performs exchanges with servers for other instances that cannot reach them.
class RelayService : public HttpHandler
{
public:
  // aAttempts and aCommands are the clients for clients' requests and for commands about keys.
  // aIsStopping tells whether this instance is about to end.
  RelayService(HttpClient& aAttempts,
               HttpClient& aCommands,
               const ServerDirectory& aDirectory,
               ServerPaths& aPaths,
               std::function<bool()> aIsStopping,
               ResponseMonitor& aResponses,
               EventSink& aEvents);

  void OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond) override;
  // The other instance does not wait any more: cancels the exchange.
  void OnClientDisconnected(std::uint64_t aId) override;
  // Number of exchanges under way.
  std::size_t InFlight() const { return running_.size(); }
  // Number of exchanges relayed so far.
  std::uint64_t Relayed() const { return relayed_; }

private:
  struct Running
  {
    HttpClient* client_ = nullptr;
    ExchangeId exchange_ = 0;
    std::string server_;
    // Id of the request; empty if it has none.
    std::string request_;
    // Size of the request's body.
    std::size_t bytes_ = 0;
  };

  // Whether one more exchange with a body of that size is within the bounds of this instance.
  bool HasRoom(std::size_t aBytes) const;
  // Whether the exchange may begin; nothing is sent to servers that take no new work.
  bool MayRelay(Instant aNow, const RelayRequest& aRequest) const;
  // Removes an exchange that has ended, and returns it.
  Running Remove(std::uint64_t aId);
  void Begin(std::uint64_t aId, const RelayRequest& aRequest, HttpResponder aRespond);
  void OnEnded(std::uint64_t aId, HttpExchange aExchange, const HttpResponder& aRespond);

  HttpClient& attempts_;
  HttpClient& commands_;
  const ServerDirectory& directory_;
  ServerPaths& paths_;
  std::function<bool()> isStopping_;
  ResponseMonitor& responses_;
  EventSink& events_;
  std::map<std::uint64_t, Running> running_;
  // Sum of the bodies of the requests under way.
  std::size_t bytes_ = 0;
  std::uint64_t relayed_ = 0;
};

} // namespace latchslip
