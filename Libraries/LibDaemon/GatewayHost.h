#pragma once

#include "LibDaemon/GatewayFront.h"
#include "LibDaemon/LineLog.h"
#include "LibFleet/FleetMember.h"
#include "LibFleet/FleetStore.h"
#include "LibNet/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace latchslip {

struct GatewayHostSettings
{
  std::string clientAddress_;
  // Where the balancer asks whether this instance takes connections.
  std::string readyAddress_;
  // Where other instances and operators reach this one.
  std::string peerAddress_;
  // Where every instance takes links from those that ask it for permits; 0 when it takes
  // none, and each chooses servers alone.
  unsigned permitPort_ = 0;
  // Connections of clients at once; beyond them the one that has been idle the longest
  // is closed.
  std::size_t clientConnections_ = 1024;
  // How long a stopping instance may run on.
  Duration stopGrace_ = seconds(6);
  GatewayRouterSettings router_;
  FleetMemberSettings member_;
};

// One entry instance that routes straight to the servers: listeners, timers and
// the connections to other instances, around the decisions of FleetMember and
// GatewayRouter.
class GatewayHost
{
public:
  // Listens at once; the error names the address.
  static FieldResult<std::unique_ptr<GatewayHost>> Create(boost::asio::io_context& aContext,
                                                          GatewayHostSettings aSettings,
                                                          const GatewayCodec& aCodec,
                                                          const RowDecoder& aDecoder,
                                                          FleetStore& aStore,
                                                          LineLog& aEvents);
  virtual ~GatewayHost() = default;

  // Takes over what may change while the instance runs: the grace of a stop and
  // the terms of retries. Addresses and names stay as they were at the start.
  virtual void Reload(const GatewayHostSettings& aSettings) = 0;
  // Begins a planned stop; the context runs out of work when it has ended.
  virtual void BeginLeaving() = 0;
};

} // namespace latchslip
