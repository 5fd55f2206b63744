#pragma once

#include "LibDaemon/GatewayCodec.h"
#include "LibDaemon/GatewayMetrics.h"
#include "LibDaemon/LeavingObserver.h"
#include "LibDaemon/RelayClient.h"
#include "LibDaemon/ResponseMonitor.h"
#include "LibFleet/FleetMember.h"
#include "LibGateway/GatewayRouter.h"
#include "LibNet/DeadlineTimer.h"
#include "LibNet/HttpServer.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace latchslip {

// HTTP frontend of the gateway, a reverse proxy: receives HTTP requests of clients, forwards them
// to backend servers and returns the responses. The request router decides on routing, retries and
// refusals; this class does the I/O for it.
class GatewayFrontend
  : public HttpHandler
  , private RequestActions
{
public:
  // Called for each request that names a key, to count the load per key.
  using KeyObserver = std::function<void(const std::string& aService, KeyNumber aKey)>;

  GatewayFrontend(boost::asio::io_context& aContext,
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
                  LeavingObserver aLeavingObserver);

  void OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond) override;
  void OnClientDisconnected(std::uint64_t aId) override;

  GatewayRouter& Router() { return router_; }
  const GatewayRouter& Router() const { return router_; }
  // Tries whether the links to servers that seemed cut are back, by a connection to that address.
  void Probe(const std::string& aAddress);
  // The client for exchanges with servers.
  HttpClient& Client() { return *client_; }
  const HttpClient& Client() const { return *client_; }
  // Re-arms the timer for the router's next deadline. Call after each change to the router from
  // outside this class.
  void ArmTimer() { timer_.Arm(); }

private:
  // A client's request without a response yet.
  struct ClientRequest
  {
    RoutedRequest routed_;
    HttpRequest request_;
    HttpResponder respond_;
    Instant arrival_{ 0 };
  };

  // An attempt in flight to a backend server.
  struct RunningAttempt
  {
    AttemptCommand command_;
    // Distinguishes the exchanges of this attempt from each other.
    std::uint64_t number_ = 0;
    // Number at the client that performs the exchange.
    ExchangeId exchange_ = 0;
    HttpResponse answer_;
  };

  void Send(const AttemptCommand& aCommand) override;
  void Cancel(AttemptNumber aAttempt) override;
  void Deliver(RequestNumber aRequest, AttemptNumber aAttempt) override;
  void Refuse(RequestNumber aRequest, const Refusal& aRefusal) override;
  bool HasConnection(const std::string& aAddress) const override
  {
    return client_->HasIdle(aAddress);
  }
  void RecordLeaving(const std::string& aServer, std::uint64_t aIncarnation) override
  {
    leavingObserver_(aServer, aIncarnation);
  }
  void CountKey(const std::string& aService, KeyNumber aKey) override
  {
    keyObserver_(aService, aKey);
  }
  // Reports an exchange that this instance has performed itself to the monitor.
  void ObserveResponse(AttemptNumber aAttempt, const HttpExchange& aExchange);
  // aExchange is the number of the exchange: an attempt may have several, one after the other.
  void OnExchangeEnded(AttemptNumber aAttempt,
                       std::uint64_t aExchange,
                       HttpExchange aResult,
                       PathResult aPath);
  void Respond(RequestNumber aRequest, HttpResponse aResponse);

  const GatewayCodec& codec_;
  GatewayMetrics& metrics_;
  ResponseMonitor& responses_;
  KeyObserver keyObserver_;
  LeavingObserver leavingObserver_;
  ServerPaths& paths_;
  RelayClient& relays_;
  std::unique_ptr<HttpClient> client_;
  GatewayRouter router_;
  DeadlineTimer timer_;
  std::unordered_map<RequestNumber, ClientRequest> requests_;
  std::unordered_map<AttemptNumber, RunningAttempt> attempts_;
  std::uint64_t lastExchange_ = 0;
};

} // namespace latchslip
