#pragma once

#include "LibBase/Time.h"
#include "LibNet/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>

namespace latchslip {

class HttpConnection;

// The open connections to one address.
struct HttpPool
{
  std::list<std::shared_ptr<HttpConnection>> idle_;
  std::size_t open_ = 0;
};

// A connection of a client, which carries one exchange after the other. Between
// two it lies idle in its pool.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  HttpConnection(boost::asio::io_context& aContext, std::shared_ptr<HttpPool> aPool);
  ~HttpConnection() { --pool_->open_; }
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Begins an exchange; the connection is opened first if need be.
  void Start(const boost::asio::ip::tcp::endpoint& aEndpoint,
             const HttpRequest& aRequest,
             const ExchangeOptions& aOptions,
             HttpCallback aCallback);

  // Ends the exchange without a word to whoever asked for it.
  void Cancel();

  // Until when it may be used again, as far as is known here.
  Instant IdleUntil() const { return idleUntil_; }

  // Whether the server has closed the connection while it was idle, is about to,
  // or has sent bytes that belong to no request.
  bool IsStale();

private:
  // Builds what is written to the server.
  void Prepare(const boost::asio::ip::tcp::endpoint& aEndpoint, const HttpRequest& aRequest);
  void OnConnected(boost::system::error_code aError);
  void Write();
  void OnWritten(boost::system::error_code aError, std::size_t aCount);
  void Read();
  void OnRead(boost::system::error_code aError);
  // Ends an exchange that brought no whole answer.
  void End(ExchangeEnd aEnd, boost::system::error_code aError);
  void Finish(HttpExchange aExchange);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::shared_ptr<HttpPool> pool_;
  std::optional<boost::beast::http::request<boost::beast::http::span_body<const char>>> request_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  std::shared_ptr<const std::string> body_;
  HttpCallback callback_;
  // The header that an answer repeats if it is one to this request, and its value.
  std::string echoHeader_;
  std::string echoValue_;
  // When the exchange must have ended.
  Instant end_{ 0 };
  Instant idleUntil_{ 0 };
  bool isConnected_ = false;
  // How long it may lie idle; see ExchangeOptions.
  Duration mostIdle_ = Duration::max();
  bool isReusable_ = true;
};

} // namespace latchslip
