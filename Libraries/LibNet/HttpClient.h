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
  // The time ran out.
  bool isTimeout_ = false;
};

using HttpCallback = std::function<void(HttpExchange)>;
using ExchangeId = std::uint64_t;

// How one exchange is to be carried out.
struct ExchangeOptions
{
  // For the whole exchange, the opening of a connection included.
  Duration timeout_ = seconds(1);
  // For the opening of a connection; zero means no bound of its own.
  Duration connectTimeout_{ 0 };
  // An open connection is used again only within this time after its last exchange,
  // and closed after it. Short for exchanges whose end must be known: a server that
  // has closed in between makes it unknown whether it took the next one.
  Duration mostIdle_ = Duration::max();
  // The header of the answer that must repeat the one of the request. Other
  // answers belong to earlier requests and are skipped. Empty: not checked.
  std::string echoHeader_;
};

// Keeps connections to HTTP servers open between requests. One connection
// carries one exchange at a time, and one whose exchange did not end complete
// is never used again, so that a late answer meets nobody.
class HttpClient
{
public:
  static std::unique_ptr<HttpClient> Create(boost::asio::io_context& aContext,
                                            std::size_t aMostConnections);
  virtual ~HttpClient() = default;

  // The callback is called exactly once, within the timeout, never from inside,
  // unless the exchange is cancelled.
  virtual ExchangeId Send(const std::string& aAddress,
                          HttpRequest aRequest,
                          ExchangeOptions aOptions,
                          HttpCallback aCallback) = 0;
  ExchangeId Send(const std::string& aAddress,
                  HttpRequest aRequest,
                  Duration aTimeout,
                  HttpCallback aCallback)
  {
    ExchangeOptions options;
    options.timeout_ = aTimeout;
    return Send(aAddress, std::move(aRequest), std::move(options), std::move(aCallback));
  }
  // Closes the connection of an exchange, whose callback is then not called.
  virtual void Cancel(ExchangeId aId) = 0;
  // Closes the idle connections that the server is about to close or has closed.
  virtual void PruneIdle() = 0;
  virtual std::size_t OpenConnections() const = 0;
  // Whether a connection to that address lies idle, as far as is known here.
  virtual bool HasIdle(const std::string& aAddress) const = 0;
};

} // namespace latchslip
