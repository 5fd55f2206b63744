#pragma once

#include "LibNet/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <string>

namespace latchslip {

// Serves a stand-in at an address until it is told to stop; returns the exit code.
// Bodies may be as large as forwarded images.
int
ServeStandIn(const std::string& aProgram,
             const std::string& aAddress,
             boost::asio::io_context& aContext,
             HttpHandler& aHandler);

} // namespace latchslip
