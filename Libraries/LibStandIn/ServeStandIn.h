#pragma once

#include "LibNet/HttpServer.h"

#include <boost/asio/io_context.hpp>
#include <string>

namespace latchslip {

// Serves HTTP requests of a stand-in at an address (IP:port) until SIGTERM or SIGINT. Returns the
// exit code of the process: 0, or 2 if it can't listen at the address. Bodies may be up to 64 MiB,
// which covers forwarded images. aProgram is the prefix of error messages.
int
ServeStandIn(const std::string& aProgram,
             const std::string& aAddress,
             boost::asio::io_context& aContext,
             HttpHandler& aHandler);

} // namespace latchslip
