#include "LibStandIn/ServeStandIn.h"

#include "LibDaemon/StartupSignals.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace latchslip {

namespace {

constexpr int kExitBadSettings = 2;
constexpr std::size_t kMaxBodyBytes = 64UL * 1024 * 1024;

} // namespace

int
ServeStandIn(const std::string& aProgram,
             const std::string& aAddress,
             boost::asio::io_context& aContext,
             HttpHandler& aHandler)
{
  HttpLimits limits;
  limits.bodyBytes_ = kMaxBodyBytes;
  const auto server = HttpServer::Create(aContext, aAddress, limits, aHandler);
  if (!server) {
    std::cerr << aProgram << ": " << server.error().Describe() << '\n';
    return kExitBadSettings;
  }
  boost::asio::signal_set signals(aContext, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code, int) { aContext.stop(); });
  ReleaseStartupSignals();
  aContext.run();
  return 0;
}

} // namespace latchslip
