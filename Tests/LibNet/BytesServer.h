#pragma once

#include "LibBase/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>

namespace latchslip {

// Sends prescribed bytes for each request, whatever they are.
class BytesServer
{
public:
  // Listens on a free port of 127.0.0.1.
  explicit BytesServer(boost::asio::io_context& aContext);

  const std::string& Address() const { return address_; }
  // When the client closed a connection; zero if none was closed.
  Instant ClosedAt() const { return closedAt_; }
  // Number of connections so far.
  std::size_t Connections() const { return connections_; }

  std::string bytes_;
  // Sent again and again after bytes_; nothing if empty.
  std::string endless_;
  // If not zero, bytes_ is sent in pieces of pieceBytes_ with this pause.
  Duration pause_{ 0 };
  std::size_t pieceBytes_ = 1;
  // The connection is closed after bytes_, which ends a body without a length.
  bool isClosing_ = false;

private:
  class Connection;

  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  std::string address_;
  Instant closedAt_{ 0 };
  std::size_t connections_ = 0;
};

} // namespace latchslip
