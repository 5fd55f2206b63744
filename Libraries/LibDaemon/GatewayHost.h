#pragma once

#include "LibDaemon/GatewayFrontend.h"
#include "LibDaemon/LineLog.h"
#include "LibFleet/FleetMember.h"
#include "LibFleet/FleetStore.h"
#include "LibNet/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <limits>
#include <memory>
#include <string>

namespace latchslip {

struct GatewayHostSettings
{
  std::string clientAddress_;
  // Address of the readiness check that the load balancer polls.
  std::string readyAddress_;
  // Address for calls of other instances and for operators' metrics.
  std::string peerAddress_;
  // Port on which every instance accepts permit connections as a dispatcher. 0 disables
  // permits: each instance then chooses servers on its own.
  unsigned permitPort_ = 0;
  // Maximum number of open client connections; above it the connection that has been idle
  // longest is closed.
  std::size_t clientConnections_ = 1024;
  // Maximum size of the bodies of clients' requests together, in bytes.
  std::size_t requestBodyBytes_ = std::numeric_limits<std::size_t>::max();
  // Time from the start of a planned stop until the process must have ended.
  Duration stopGrace_ = seconds(6);
  GatewayRouterSettings router_;
  FleetMemberSettings member_;
};

// One gateway instance that routes directly to backend servers. Owns the listeners, timers and
// the connections to other instances, and connects them to the decision logic, which does no
// I/O itself: FleetMember (fleet state, placement, leases) and GatewayRouter (routing).
class GatewayHost
{
public:
  // Opens all listeners; an error names the address that failed.
  static FieldResult<std::unique_ptr<GatewayHost>> Create(boost::asio::io_context& aContext,
                                                          GatewayHostSettings aSettings,
                                                          const GatewayCodec& aCodec,
                                                          const RowDecoder& aDecoder,
                                                          FleetStore& aStore,
                                                          LineLog& aEvents);
  virtual ~GatewayHost() = default;

  // Applies the settings that may change at run time: the stop grace and the retry
  // parameters. Addresses and names keep their values from the start.
  virtual void Reload(const GatewayHostSettings& aSettings) = 0;
  // Starts a graceful shutdown, which ends by stopping the io_context.
  virtual void BeginLeaving() = 0;
};

} // namespace latchslip
