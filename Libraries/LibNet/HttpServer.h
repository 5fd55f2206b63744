#pragma once

#include "LibBase/Result.h"
#include "LibNet/Http.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>

namespace latchslip {

// Resource limits of one listener, per connection unless stated otherwise.
struct HttpLimits
{
  std::size_t headerBytes_ = 16UL * 1024;
  std::size_t bodyBytes_ = 16UL * 1024 * 1024;
  // Bodies of all requests that are being read or handled, of the whole listener, in bytes; a body
  // that exceeds it is refused, but for small ones (see ByteBudget).
  std::size_t heldBodyBytes_ = std::numeric_limits<std::size_t>::max();
  // Open connections of the whole listener.
  std::size_t connections_ = 1024;
  // Timeout for receiving a request's header and body, and for sending a response.
  Duration transfer_ = seconds(20);
  // Idle timeout of a connection without a request.
  Duration idle_ = seconds(60);
};

using HttpResponder = std::function<void(HttpResponse)>;

// Handles the requests of one listener.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  // aRespond must be called once, immediately or later, on the listener's thread.
  virtual void OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond) = 0;

  // The client closed its connection before request aId was answered.
  virtual void OnClientDisconnected(std::uint64_t aId) = 0;
};

// An HTTP/1.1 listener on one IP address and port.
class HttpServer
{
public:
  // Opens the listener; an error names the address.
  static FieldResult<std::unique_ptr<HttpServer>> Create(boost::asio::io_context& aContext,
                                                         const std::string& aAddress,
                                                         HttpLimits aLimits,
                                                         HttpHandler& aHandler);
  virtual ~HttpServer() = default;

  // Starts draining: responses ask clients to close their connections.
  virtual void BeginDrain() = 0;
  // Closes the listener and all idle connections. Other connections close after the response to
  // their request.
  virtual void BeginClose() = 0;
  // Returns the number of open connections.
  virtual std::size_t Connections() const = 0;
  // Bytes of the bodies of requests that are being read or handled.
  virtual std::size_t HeldBodyBytes() const = 0;
  // Number of requests refused since HttpLimits::heldBodyBytes_ was used up.
  virtual std::uint64_t RefusedBodies() const = 0;
  // Replaces the limits but heldBodyBytes_; applies to requests that begin after the call.
  virtual void SetLimits(HttpLimits aLimits) = 0;
};

} // namespace latchslip
