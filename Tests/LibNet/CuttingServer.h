#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace latchslip {

// Where and how a server breaks its response off.
struct ResponseCut
{
  // Number of bytes that are sent.
  std::size_t at_ = 0;
  // The connection is reset afterwards; otherwise it is closed in order.
  bool isReset_ = false;
  // The bytes are sent in several pieces; otherwise all at once.
  bool isInPieces_ = false;
};

// A server that sends the first bytes of a response to each request and then ends the connection.
class CuttingServer
{
public:
  // Returns the whole response to the request with that id (X-Request-Id).
  using Response = std::function<std::string(const std::string& aId)>;

  // Listens on a port of 127.0.0.1; on a free one if aPort is 0.
  CuttingServer(boost::asio::io_context& aContext, Response aResponse, std::uint16_t aPort = 0);

  const std::string& Address() const { return address_; }
  // Number of requests so far.
  std::size_t Requests() const { return requests_; }

  ResponseCut cut_;

private:
  class Connection;

  void Accept();

  boost::asio::ip::tcp::acceptor acceptor_;
  Response response_;
  std::string address_;
  std::size_t requests_ = 0;
};

// A form of response, which a cut must not make complete.
struct ResponseForm
{
  std::string name_;
  // The response to the request with that id.
  std::string (*make_)(const std::string& aId);
  // The end of the connection ends the body.
  bool isUnframed_ = false;
};

// The forms that servers use: with a length, in chunks, with trailers and after interim responses.
const std::vector<ResponseForm>&
ResponseForms();

// All cuts of a response of that size.
std::vector<ResponseCut>
CutsOf(std::size_t aSize);

} // namespace latchslip
