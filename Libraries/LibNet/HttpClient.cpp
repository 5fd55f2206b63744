#include "LibNet/HttpClient.h"

#include "LibNet/Address.h"
#include "LibNet/MonotonicClock.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <list>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <unordered_map>

namespace latchslip {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::uint64_t kMostAnswerBytes = 64ULL * 1024 * 1024;
// How long an idle connection is used again when its server names no time.
// NOTE: Servers of our users name theirs in whole seconds, so an unnamed one
// may be shorter than a second.
constexpr Duration kUnnamedIdle = milliseconds(900);
// A connection is given up this long before its server closes it, since a
// request that crosses the close may or may not have run.
constexpr Duration kIdleMargin = milliseconds(500);

// The seconds of "timeout=5" in a Keep-Alive header.
Duration
IdleTimeOf(std::string_view aKeepAlive)
{
  constexpr std::string_view kName = "timeout=";
  const auto at = aKeepAlive.find(kName);
  if (at == std::string_view::npos) {
    return kUnnamedIdle;
  }
  int named = 0;
  const auto digits = aKeepAlive.substr(at + kName.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), named);
  return std::max<Duration>(seconds(named) - kIdleMargin, Duration(0));
}

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
             const ExchangeOptions& aOptions,
             HttpCallback aCallback)
  {
    callback_ = std::move(aCallback);
    isFresh_ = aOptions.isFreshConnection_;
    isReusable_ = true;
    echoHeader_ = aOptions.echoHeader_;
    echoValue_ = echoHeader_.empty() ? std::string() : std::string(aRequest.Header(echoHeader_));
    end_ = MonotonicNow() + aOptions.timeout_;
    request_.emplace();
    request_->version(11);
    request_->method_string(aRequest.method_);
    request_->target(aRequest.target_);
    request_->set(http::field::host, aEndpoint.address().to_string());
    for (const auto& [name, value] : aRequest.headers_) {
      if (beast::iequals(name, "Host")) {
        request_->set(name, value);
      } else {
        request_->insert(name, value);
      }
    }
    body_ = aRequest.body_ ? aRequest.body_ : std::make_shared<const std::string>();
    request_->body() = { body_->data(), body_->size() };
    request_->prepare_payload();
    request_->keep_alive(!isFresh_);
    if (isConnected_) {
      stream_.expires_after(aOptions.timeout_);
      Write();
      return;
    }
    const bool isBounded = aOptions.connectTimeout_ > Duration(0);
    stream_.expires_after(isBounded ? std::min(aOptions.connectTimeout_, aOptions.timeout_)
                                    : aOptions.timeout_);
    stream_.async_connect(
      aEndpoint, [self = shared_from_this()](error_code aError) { self->OnConnected(aError); });
  }

  // Ends the exchange without a word to whoever asked for it.
  void Cancel()
  {
    callback_ = nullptr;
    stream_.close();
  }

  // Whether the server has closed the connection while it was idle, is about to,
  // or has sent bytes that belong to no request.
  bool IsStale()
  {
    if (MonotonicNow() >= idleUntil_) {
      return true;
    }
    char byte = 0;
    const auto handle = stream_.socket().native_handle();
    const auto count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

private:
  void OnConnected(error_code aError)
  {
    if (aError) {
      End(ExchangeEnd::NotSent, aError);
      return;
    }
    isConnected_ = true;
    error_code ignored;
    stream_.socket().set_option(tcp::no_delay(true), ignored);
    stream_.expires_after(std::max(end_ - MonotonicNow(), Duration(1)));
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
      End(aCount == 0 ? ExchangeEnd::NotSent : ExchangeEnd::Broken, aError);
      return;
    }
    Read();
  }

  void Read()
  {
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
      End(ExchangeEnd::Broken, aError);
      return;
    }
    auto message = parser_->release();
    if (!echoHeader_.empty() && message[echoHeader_] != echoValue_) {
      // The answer to an earlier request; the right one may still follow.
      isReusable_ = false;
      Read();
      return;
    }
    HttpExchange exchange;
    exchange.end_ = ExchangeEnd::Complete;
    exchange.response_.status_ = message.result_int();
    exchange.response_.contentType_ = std::string(message[http::field::content_type]);
    for (const auto& field : message) {
      exchange.response_.headers_.emplace_back(field.name_string(), field.value());
    }
    exchange.response_.body_ = std::make_shared<const std::string>(std::move(message.body()));
    exchange.response_.isFramed_ = message.has_content_length() || message.chunked();
    stream_.expires_never();
    // Bytes beyond the answer belong to no request of ours.
    if (message.keep_alive() && buffer_.size() == 0 && isReusable_ && !isFresh_) {
      idleUntil_ = MonotonicNow() + IdleTimeOf(message[http::field::keep_alive]);
      pool_->idle_.push_back(shared_from_this());
    } else {
      stream_.close();
    }
    Finish(std::move(exchange));
  }

  void End(ExchangeEnd aEnd, error_code aError)
  {
    stream_.close();
    HttpExchange exchange;
    exchange.end_ = aEnd;
    exchange.problem_ = aError.message();
    exchange.isRefused_ = aError == asio::error::connection_refused;
    exchange.isTimeout_ = aError == beast::error::timeout;
    Finish(std::move(exchange));
  }

  void Finish(HttpExchange aExchange)
  {
    request_.reset();
    body_.reset();
    parser_.reset();
    const auto callback = std::exchange(callback_, nullptr);
    if (callback) {
      callback(std::move(aExchange));
    }
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::shared_ptr<Pool> pool_;
  std::optional<http::request<http::span_body<const char>>> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::shared_ptr<const std::string> body_;
  HttpCallback callback_;
  std::string echoHeader_;
  std::string echoValue_;
  Instant end_{ 0 };
  Instant idleUntil_{ 0 };
  bool isConnected_ = false;
  bool isFresh_ = false;
  bool isReusable_ = true;
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

  using HttpClient::Send;

  ExchangeId Send(const std::string& aAddress,
                  HttpRequest aRequest,
                  ExchangeOptions aOptions,
                  HttpCallback aCallback) override
  {
    const auto id = ++lastId_;
    const auto endpoint = ParseAddress(aAddress);
    if (!endpoint) {
      Fail(id, std::move(aCallback), endpoint.error().Describe());
      return id;
    }
    auto& pool = pools_[aAddress];
    if (!pool) {
      pool = std::make_shared<Pool>();
    }
    auto connection = aOptions.isFreshConnection_ ? nullptr : TakeIdle(*pool);
    if (!connection && pool->open_ >= mostConnections_) {
      Fail(id, std::move(aCallback), "no connection is free");
      return id;
    }
    if (!connection) {
      connection = std::make_shared<Connection>(context_, pool);
    }
    running_[id] = connection;
    connection->Start(endpoint.value(),
                      aRequest,
                      aOptions,
                      [this, id, callback = std::move(aCallback)](HttpExchange aExchange) {
                        running_.erase(id);
                        callback(std::move(aExchange));
                      });
    return id;
  }

  void Cancel(ExchangeId aId) override
  {
    const auto running = running_.find(aId);
    if (running == running_.end()) {
      return;
    }
    const auto connection = running->second.lock();
    running_.erase(running);
    if (connection) {
      connection->Cancel();
    }
  }

  void PruneIdle() override
  {
    for (auto pool = pools_.begin(); pool != pools_.end();) {
      pool->second->idle_.remove_if([](const auto& aConnection) { return aConnection->IsStale(); });
      pool = pool->second->open_ == 0 ? pools_.erase(pool) : std::next(pool);
    }
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
  static std::shared_ptr<Connection> TakeIdle(Pool& aPool)
  {
    while (!aPool.idle_.empty()) {
      auto connection = aPool.idle_.back();
      aPool.idle_.pop_back();
      if (!connection->IsStale()) {
        return connection;
      }
    }
    return nullptr;
  }

  void Fail(ExchangeId aId, HttpCallback aCallback, std::string aProblem)
  {
    running_[aId] = {};
    asio::post(context_,
               [this, aId, callback = std::move(aCallback), problem = std::move(aProblem)] {
                 if (running_.erase(aId) > 0) {
                   callback({ ExchangeEnd::NotSent, {}, problem });
                 }
               });
  }

  asio::io_context& context_;
  std::size_t mostConnections_;
  std::map<std::string, std::shared_ptr<Pool>> pools_;
  std::unordered_map<ExchangeId, std::weak_ptr<Connection>> running_;
  ExchangeId lastId_ = 0;
};

} // namespace

std::unique_ptr<HttpClient>
HttpClient::Create(asio::io_context& aContext, std::size_t aMostConnections)
{
  return std::make_unique<BeastHttpClient>(aContext, aMostConnections);
}

} // namespace latchslip
