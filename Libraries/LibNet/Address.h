#pragma once

#include "LibBase/Result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace latchslip {

// Parses an IP address and port such as "10.0.0.7:8080". Host names are not resolved.
FieldResult<boost::asio::ip::tcp::endpoint>
ParseAddress(const std::string& aAddress);

// Opens a listening socket; an error names the address and the operating system's reason.
FieldResult<boost::asio::ip::tcp::acceptor>
OpenAcceptor(boost::asio::io_context& aContext, const std::string& aAddress);

} // namespace latchslip
