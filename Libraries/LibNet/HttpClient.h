#pragma once

#include "LibNet/Http.h"
#include "LibNet/ResponseBounds.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

namespace latchslip {

// How an exchange (a request and its response) ended. Whether bytes were sent decides if a
// request may be retried elsewhere without running twice.
enum class ExchangeEnd
{
  // The complete response arrived.
  Complete,
  // No byte of the request was sent.
  NotSent,
  // Bytes were sent, but no complete response arrived: the request may have run.
  Broken,
};

// Identifies a session with the process at an address: a series of connections each of which was
// made while an earlier one was open. All of them lead to the same process, since the connections
// of a process end with it. Unique within one client; 0 for none.
using SessionNumber = std::uint64_t;

struct HttpExchange
{
  ExchangeEnd end_ = ExchangeEnd::Broken;
  HttpResponse response_;
  std::string problem_;
  // Connection refused: nothing listens at the address.
  bool isRefused_ = false;
  // The exchange or the connect timed out.
  bool isTimeout_ = false;
  // Set with Broken if the server closed the connection before it sent any part of a response.
  bool isConnectionLost_ = false;
  // Set with Broken if the network gave the connection up: what was sent is not acknowledged.
  bool isLinkLost_ = false;
  // Set with NotSent if the exchange ended before a connection was tried.
  bool isLocal_ = false;
  // Number of the connection, which is unique within one client; 0 if none was used.
  std::uint64_t connection_ = 0;
  // Session in which the request was sent, see ExchangeOptions::keepsSession_; 0 if it was not
  // sent, or not in a session.
  SessionNumber session_ = 0;
  // Set with NotSent if ExchangeOptions::session_ has ended.
  bool isSessionEnded_ = false;
  // Number of complete responses to other requests that were skipped, see
  // ExchangeOptions::echoHeader_.
  unsigned otherResponses_ = 0;
  // Set with Broken if the response exceeded a bound.
  ResponseExcess excess_ = ResponseExcess::None;
  // Bytes received in this exchange, and the time since its start.
  std::size_t receivedBytes_ = 0;
  Duration age_{ 0 };
};

using HttpCallback = std::function<void(HttpExchange)>;
using ExchangeId = std::uint64_t;

// Timeouts and connection reuse of one exchange.
struct ExchangeOptions
{
  // Timeout of the whole exchange, including connecting.
  Duration timeout_ = seconds(1);
  // Additional timeout for connecting; zero means none.
  Duration connectTimeout_{ 0 };
  // The connection is reused only within this time after its last exchange and closed
  // afterwards. Use a short time for exchanges whose outcome must be known: if the server
  // closes an idle connection just as the next request is sent, it is unknown whether that
  // request ran.
  Duration maxIdleTime_ = Duration::max();
  // Time after which the connection is given up if what was sent on it is not acknowledged
  // (TCP_USER_TIMEOUT); zero for the default of the system, which is minutes.
  Duration ackTimeout_{ 0 };
  // Name of a header whose value a response must copy from the request. Responses with another
  // value belong to earlier requests and are skipped. A request that is sent again within the
  // timeout of its earlier exchange uses another connection than that one. Empty: not checked.
  std::string echoHeader_;
  // The exchange opens a connection of its own, which is closed afterwards. For exchanges whose
  // responses do not name their request: on a connection that others use, too, a second copy of an
  // earlier response could be taken for the response.
  bool usesOwnConnection_ = false;
  // Maximum size of the response's body, in bytes.
  std::size_t maxBodyBytes_ = kMaxResponseBytes;
  // The last connection to the address stays open after its exchange, though it may not be reused,
  // so that the next one can be shown to lead to the same process.
  bool keepsSession_ = false;
  // The request is sent only in this session: if it has ended, the exchange ends as NotSent. 0 if
  // it may be sent in any.
  SessionNumber session_ = 0;
};

// HTTP client with a pool of keep-alive connections per address. A connection carries one
// exchange at a time. A connection whose exchange did not complete is never reused, so that a
// late response cannot be taken for the response to another request. A response that exceeds a
// bound of ResponseBounds.h ends its exchange as Broken, and the connection is closed at once.
class HttpClient
{
public:
  // aMaxConnections is the maximum number of open connections per address.
  static std::unique_ptr<HttpClient> Create(boost::asio::io_context& aContext,
                                            std::size_t aMaxConnections);
  virtual ~HttpClient() = default;

  // Starts an exchange. The callback is called exactly once, within the timeout and never from
  // inside Send(), unless the exchange is cancelled. If all connections to the address are in
  // use, the exchange ends as NotSent.
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
  // Closes the connection of an exchange without calling its callback.
  virtual void Cancel(ExchangeId aId) = 0;
  // Closes idle connections that the server has closed or is about to close. Called
  // periodically by GatewayHost.
  virtual void PruneIdle() = 0;
  virtual std::size_t OpenConnections() const = 0;
  // Bytes of the bodies that are being received.
  virtual std::size_t HeldBytes() const = 0;
  // Closes all idle connections.
  virtual void CloseIdle() = 0;
  // Opens a connection for later exchanges. aCallback tells whether that succeeded in time.
  virtual void Probe(const std::string& aAddress,
                     const ExchangeOptions& aOptions,
                     std::function<void(bool)> aCallback) = 0;
  // Returns whether an idle connection to that address is available. The server may have closed
  // it without this client having noticed.
  virtual bool HasIdle(const std::string& aAddress) const = 0;
};

} // namespace latchslip
