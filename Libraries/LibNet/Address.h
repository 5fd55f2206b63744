#pragma once

#include "LibBase/Result.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace latchslip {

// Reads "10.0.0.7:8080"; names are not resolved.
FieldResult<boost::asio::ip::tcp::endpoint>
ParseAddress(const std::string& aAddress);

// Opens a listening socket; the error names the address.
FieldResult<boost::asio::ip::tcp::acceptor>
OpenAcceptor(boost::asio::io_context& aContext, const std::string& aAddress);

} // namespace latchslip
