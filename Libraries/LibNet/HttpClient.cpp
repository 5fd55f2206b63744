#include "LibNet/HttpClient.h"

#include "LibNet/Address.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <map>
#include <optional>
#include <sys/socket.h>

namespace latchslip {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::uint64_t kMostAnswerBytes = 64ULL * 1024 * 1024;

class Connection;

// The open connections to one address.
struct Pool
{
  std::list<std::shared_ptr<Connection>> idle_;
  std::size_t open_ = 0;
};

class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(asio::io_context& aContext, std::shared_ptr<Pool> aPool)
    : stream_(aContext)
    , pool_(std::move(aPool))
  {
    ++pool_->open_;
  }
  ~Connection() { --pool_->open_; }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Start(const tcp::endpoint& aEndpoint,
             const HttpRequest& aRequest,
             Duration aTimeout,
             HttpCallback aCallback)
  {
    callback_ = std::move(aCallback);
    request_.emplace();
    request_->version(11);
    request_->method_string(aRequest.method_);
    request_->target(aRequest.target_);
    request_->set(http::field::host, aEndpoint.address().to_string());
    for (const auto& [name, value] : aRequest.headers_) {
      request_->set(name, value);
    }
    body_ = aRequest.body_ ? aRequest.body_ : std::make_shared<const std::string>();
    request_->body() = { body_->data(), body_->size() };
    request_->prepare_payload();
    request_->keep_alive(true);
    stream_.expires_after(aTimeout);
    if (isConnected_) {
      Write();
      return;
    }
    stream_.async_connect(
      aEndpoint, [self = shared_from_this()](error_code aError) { self->OnConnected(aError); });
  }

  // Whether the server has closed the connection while it was idle.
  bool IsStale()
  {
    char byte = 0;
    const auto handle = stream_.socket().native_handle();
    const auto count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

private:
  void OnConnected(error_code aError)
  {
    if (aError) {
      End(ExchangeEnd::NotSent, aError.message(), aError == asio::error::connection_refused);
      return;
    }
    isConnected_ = true;
    error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    Write();
  }

  void Write()
  {
    http::async_write(
      stream_, *request_, [self = shared_from_this()](error_code aError, std::size_t aCount) {
        self->OnWritten(aError, aCount);
      });
  }

  void OnWritten(error_code aError, std::size_t aCount)
  {
    if (aError) {
      End(aCount == 0 ? ExchangeEnd::NotSent : ExchangeEnd::Broken, aError.message());
      return;
    }
    parser_.emplace();
    parser_->body_limit(kMostAnswerBytes);
    http::async_read(
      stream_, buffer_, *parser_, [self = shared_from_this()](error_code aFailure, std::size_t) {
        self->OnRead(aFailure);
      });
  }

  void OnRead(error_code aError)
  {
    if (aError) {
      End(ExchangeEnd::Broken, aError.message());
      return;
    }
    auto message = parser_->release();
    HttpExchange exchange;
    exchange.end_ = ExchangeEnd::Complete;
    exchange.response_.status_ = message.result_int();
    exchange.response_.contentType_ = std::string(message[http::field::content_type]);
    for (const auto& field : message) {
      exchange.response_.headers_.emplace_back(field.name_string(), field.value());
    }
    exchange.response_.body_ = std::make_shared<const std::string>(std::move(message.body()));
    stream_.expires_never();
    // Bytes beyond the answer belong to no request of ours.
    if (message.keep_alive() && buffer_.size() == 0) {
      pool_->idle_.push_back(shared_from_this());
    }
    Finish(std::move(exchange));
  }

  void End(ExchangeEnd aEnd, std::string aProblem, bool aIsRefused = false)
  {
    stream_.close();
    HttpExchange exchange;
    exchange.end_ = aEnd;
    exchange.problem_ = std::move(aProblem);
    exchange.isRefused_ = aIsRefused;
    Finish(std::move(exchange));
  }

  void Finish(HttpExchange aExchange)
  {
    request_.reset();
    body_.reset();
    const auto callback = std::exchange(callback_, nullptr);
    callback(std::move(aExchange));
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::shared_ptr<Pool> pool_;
  std::optional<http::request<http::span_body<const char>>> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::shared_ptr<const std::string> body_;
  HttpCallback callback_;
  bool isConnected_ = false;
};

class BeastHttpClient : public HttpClient
{
public:
  BeastHttpClient(asio::io_context& aContext, std::size_t aMostConnections)
    : context_(aContext)
    , mostConnections_(aMostConnections)
  {
  }

  // Idle connections refer to their pool, so the circle is broken here.
  ~BeastHttpClient() override
  {
    for (auto& [address, pool] : pools_) {
      pool->idle_.clear();
    }
  }

  void Send(const std::string& aAddress,
            HttpRequest aRequest,
            Duration aTimeout,
            HttpCallback aCallback) override
  {
    const auto endpoint = ParseAddress(aAddress);
    if (!endpoint) {
      Fail(std::move(aCallback), endpoint.error().Describe());
      return;
    }
    auto& pool = pools_[aAddress];
    if (!pool) {
      pool = std::make_shared<Pool>();
    }
    std::shared_ptr<Connection> connection;
    while (!connection && !pool->idle_.empty()) {
      connection = pool->idle_.back();
      pool->idle_.pop_back();
      if (connection->IsStale()) {
        connection.reset();
      }
    }
    if (!connection && pool->open_ >= mostConnections_) {
      Fail(std::move(aCallback), "no connection is free");
      return;
    }
    if (!connection) {
      connection = std::make_shared<Connection>(context_, pool);
    }
    connection->Start(endpoint.value(), aRequest, aTimeout, std::move(aCallback));
  }

  std::size_t OpenConnections() const override
  {
    std::size_t open = 0;
    for (const auto& [address, pool] : pools_) {
      open += pool->open_;
    }
    return open;
  }

private:
  void Fail(HttpCallback aCallback, std::string aProblem)
  {
    asio::post(context_, [callback = std::move(aCallback), problem = std::move(aProblem)] {
      callback({ ExchangeEnd::NotSent, {}, problem, false });
    });
  }

  asio::io_context& context_;
  std::size_t mostConnections_;
  std::map<std::string, std::shared_ptr<Pool>> pools_;
};

} // namespace

std::unique_ptr<HttpClient>
HttpClient::Create(asio::io_context& aContext, std::size_t aMostConnections)
{
  return std::make_unique<BeastHttpClient>(aContext, aMostConnections);
}

} // namespace latchslip
