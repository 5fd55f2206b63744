#pragma once

#include "LibNet/Http.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace latchslip {

// How an exchange ended.
enum class ExchangeEnd
{
  // The complete answer arrived.
  Complete,
  // Certainly no byte of the request was sent.
  NotSent,
  // Bytes were sent and no complete answer arrived.
  Broken,
};

struct HttpExchange
{
  ExchangeEnd end_ = ExchangeEnd::Broken;
  HttpResponse response_;
  std::string problem_;
  // The host answered that nothing listens at the address.
  bool isRefused_ = false;
};

using HttpCallback = std::function<void(HttpExchange)>;

// Keeps connections to HTTP servers open between requests. One connection
// carries one exchange at a time, and one whose exchange did not end complete
// is never used again, so that a late answer meets nobody.
class HttpClient
{
public:
  static std::unique_ptr<HttpClient> Create(boost::asio::io_context& aContext,
                                            std::size_t aMostConnections);
  virtual ~HttpClient() = default;

  // The callback is called exactly once, within aTimeout, never from inside.
  virtual void Send(const std::string& aAddress,
                    HttpRequest aRequest,
                    Duration aTimeout,
                    HttpCallback aCallback) = 0;
  virtual std::size_t OpenConnections() const = 0;
};

} // namespace latchslip
