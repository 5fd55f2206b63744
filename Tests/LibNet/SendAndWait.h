// Exchanges of an HttpClient in tests that run its event loop themselves.

#pragma once

#include "LibNet/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>
#include <utility>

namespace latchslip {

// Header that names a request, and that servers send back in its response.
inline const std::string kRequestIdHeader = "X-Request-Id";

// Makes a request for "/" that is named by aId.
inline HttpRequest
MakeNamedRequest(std::string aMethod, std::string aId)
{
  HttpRequest request;
  request.method_ = std::move(aMethod);
  request.target_ = "/";
  request.headers_ = { { kRequestIdHeader, std::move(aId) } };
  return request;
}

// Whether a complete response with status 200 arrived.
inline bool
IsOk(const HttpExchange& aExchange)
{
  constexpr unsigned kOk = 200;
  return aExchange.end_ == ExchangeEnd::Complete && aExchange.response_.status_ == kOk;
}

// Sends a request and runs the event loop until its exchange has ended.
inline HttpExchange
SendAndWait(boost::asio::io_context& aContext,
            HttpClient& aClient,
            const std::string& aAddress,
            HttpRequest aRequest,
            ExchangeOptions aOptions)
{
  std::optional<HttpExchange> result;
  aClient.Send(aAddress, std::move(aRequest), std::move(aOptions), [&](HttpExchange aExchange) {
    result = std::move(aExchange);
  });
  aContext.restart();
  while (!result) {
    aContext.run_one();
  }
  return std::move(*result);
}

// Sends a named POST request whose response must name it, too, and waits for its end.
inline HttpExchange
SendNamedAndWait(boost::asio::io_context& aContext,
                 HttpClient& aClient,
                 const std::string& aAddress,
                 const std::string& aId)
{
  ExchangeOptions options;
  options.timeout_ = seconds(2);
  options.echoHeader_ = kRequestIdHeader;
  return SendAndWait(
    aContext, aClient, aAddress, MakeNamedRequest("POST", aId), std::move(options));
}

} // namespace latchslip
