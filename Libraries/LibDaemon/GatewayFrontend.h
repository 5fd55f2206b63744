#pragma once

#include "LibDaemon/GatewayCodec.h"
#include "LibDaemon/GatewayMetrics.h"
#include "LibDaemon/LeavingObserver.h"
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
                  EventSink& aEvents,
                  GatewayMetrics& aMetrics,
                  KeyObserver aKeyObserver,
                  LeavingObserver aLeavingObserver);

  void OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond) override;
  void OnClientDisconnected(std::uint64_t aId) override;

  GatewayRouter& Router() { return router_; }
  const GatewayRouter& Router() const { return router_; }
  // Closes idle connections that servers are about to close.
  void PruneIdle() { client_->PruneIdle(); }
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
  void OnExchangeEnded(AttemptNumber aAttempt, HttpExchange aExchange);
  void Respond(RequestNumber aRequest, HttpResponse aResponse);

  const GatewayCodec& codec_;
  GatewayMetrics& metrics_;
  KeyObserver keyObserver_;
  LeavingObserver leavingObserver_;
  std::unique_ptr<HttpClient> client_;
  GatewayRouter router_;
  DeadlineTimer timer_;
  std::unordered_map<RequestNumber, ClientRequest> requests_;
  std::unordered_map<AttemptNumber, RunningAttempt> attempts_;
};

} // namespace latchslip
