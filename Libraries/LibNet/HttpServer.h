#pragma once

#include "LibBase/Result.h"
#include "LibNet/Http.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>

namespace latchslip {

// What a listener lets a caller use.
struct HttpLimits
{
  std::size_t headerBytes_ = 16UL * 1024;
  std::size_t bodyBytes_ = 16UL * 1024 * 1024;
  std::size_t connections_ = 1024;
  // For the whole of a request's header and body to arrive, and for the
  // answer to be taken.
  Duration transfer_ = seconds(20);
  // How long a connection may stay open without a request.
  Duration idle_ = seconds(60);
};

using HttpResponder = std::function<void(HttpResponse)>;

// Serves the requests of one listener.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  // aRespond must be called once, now or later, on the listener's thread.
  virtual void OnRequest(std::uint64_t aId, HttpRequest aRequest, HttpResponder aRespond) = 0;

  // The client closed its connection before request aId was answered.
  virtual void OnGone(std::uint64_t aId) = 0;
};

// An HTTP/1.1 listener on one IP number and port.
class HttpServer
{
public:
  // Listens at once; the error names the address.
  static FieldResult<std::unique_ptr<HttpServer>> Create(boost::asio::io_context& aContext,
                                                         const std::string& aAddress,
                                                         HttpLimits aLimits,
                                                         HttpHandler& aHandler);
  virtual ~HttpServer() = default;

  // From now on answers tell the client to close its connection.
  virtual void BeginDrain() = 0;
  // Accepts no more connections and lets the open ones end with the answer to
  // the request they carry, if any.
  virtual void BeginClose() = 0;
  virtual std::size_t Connections() const = 0;
  // What holds for requests that begin from now on.
  virtual void SetLimits(HttpLimits aLimits) = 0;
};

} // namespace latchslip
