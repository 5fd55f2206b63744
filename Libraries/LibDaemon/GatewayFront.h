#pragma once

#include "LibDaemon/GatewayCodec.h"
#include "LibDaemon/GatewayMetrics.h"
#include "LibDaemon/LeavingObserver.h"
#include "LibFleet/FleetMember.h"
#include "LibGateway/GatewayRouter.h"
#include "LibNet/DueTimer.h"
#include "LibNet/HttpServer.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace latchslip {

// Carries clients' requests to servers and the answers back, as the request router
// decides.
class GatewayFront
  : public HttpHandler
  , private RequestActions
{
public:
  // Told of each request for a key.
  using KeyObserver = std::function<void(const std::string& aService, KeyNumber aKey)>;

  GatewayFront(boost::asio::io_context& aContext,
               GatewayRouterSettings aSettings,
               const GatewayCodec& aCodec,
               const ServerDirectory& aDirectory,
               PermitSource& aPermits,
               EventSink& aEvents,
               GatewayMetrics& aMetrics,
               KeyObserver aObserver,
               LeavingObserver aLeavingObserver);

  void OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond) override;
  void OnGone(std::uint64_t aId) override;

  GatewayRouter& Router() { return router_; }
  const GatewayRouter& Router() const { return router_; }
  // Closes idle connections that servers are about to close.
  void PruneIdle() { client_->PruneIdle(); }
  // To be called after the router was told of something from outside.
  void ArmTimer() { timer_.Arm(); }

private:
  // A client's request that has no answer yet.
  struct ClientRequest
  {
    RoutedRequest routed_;
    HttpRequest request_;
    HttpResponder respond_;
    Instant arrival_{ 0 };
  };

  // A send to a server that is under way.
  struct RunningAttempt
  {
    AttemptCommand order_;
    ExchangeId exchange_ = 0;
    HttpResponse answer_;
  };

  void Send(const AttemptCommand& aOrder) override;
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
  void CountKey(const std::string& aService, KeyNumber aKey) override { observer_(aService, aKey); }
  void OnExchangeEnded(AttemptNumber aAttempt, HttpExchange aExchange);
  void Respond(RequestNumber aRequest, HttpResponse aResponse);

  const GatewayCodec& codec_;
  GatewayMetrics& metrics_;
  KeyObserver observer_;
  LeavingObserver leavingObserver_;
  std::unique_ptr<HttpClient> client_;
  GatewayRouter router_;
  DueTimer timer_;
  std::unordered_map<RequestNumber, ClientRequest> requests_;
  std::unordered_map<AttemptNumber, RunningAttempt> attempts_;
};

} // namespace latchslip
