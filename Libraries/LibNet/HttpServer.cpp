#include "LibNet/HttpServer.h"

#include "LibNet/Address.h"
#include "LibNet/MonotonicClock.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <set>
#include <sys/socket.h>

namespace latchslip {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Where the first field of a request's header is read into.
constexpr std::size_t kReadBuffer = 64UL * 1024;

// How often connections that were idle too long are looked for.
constexpr Duration kIdleCheck = seconds(1);

class HttpSession;

// What the sessions of one listener share.
struct Listener
{
  HttpLimits limits_;
  HttpHandler& handler_;
  bool isDraining_ = false;
  std::set<HttpSession*> sessions_;
  std::uint64_t lastId_ = 0;
};

std::string
ErrorBody(std::string_view aField, std::string_view aProblem)
{
  return R"({"error":{"field":")" + std::string(aField) + R"(","problem":")" +
         std::string(aProblem) + "\"}}";
}

class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(tcp::socket aSocket, std::shared_ptr<Listener> aListener)
    : stream_(std::move(aSocket))
    , buffer_(kReadBuffer + aListener->limits_.headerBytes_)
    , listener_(std::move(aListener))
  {
    listener_->sessions_.insert(this);
  }

  ~HttpSession() { listener_->sessions_.erase(this); }
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  void ReadNext()
  {
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(listener_->limits_.headerBytes_));
    parser_->body_limit(listener_->limits_.bodyBytes_);
    isIdle_ = buffer_.size() == 0;
    if (!isIdle_) {
      ReadHeader();
      return;
    }
    stream_.expires_never();
    idleUntil_ = MonotonicNow() + listener_->limits_.idle_;
    // NOTE: The first byte is waited for, not read: what was read already but not
    // yet handled could not be told from an idle connection when that is closed.
    beast::get_lowest_layer(stream_).socket().async_wait(
      tcp::socket::wait_read,
      [self = shared_from_this()](error_code aError) { self->OnReadable(aError); });
  }

  // When an idle connection is to be closed.
  Instant IdleUntil() const { return isIdle_ ? idleUntil_ : Instant::max(); }

  // Closes the connection if it carries no request now and none lies unread.
  void CloseIfIdle()
  {
    if (isIdle_ && !HasUnreadBytes()) {
      Close();
    }
  }

private:
  void OnReadable(error_code aError)
  {
    if (aError) {
      Close();
      return;
    }
    isIdle_ = false;
    ReadHeader();
  }

  void ReadHeader()
  {
    stream_.expires_after(listener_->limits_.transfer_);
    http::async_read(
      stream_, buffer_, *parser_, [self = shared_from_this()](error_code aError, std::size_t) {
        self->OnRead(aError);
      });
  }

  void OnRead(error_code aError)
  {
    if (aError) {
      RefuseUnreadable(aError);
      return;
    }
    auto message = parser_->release();
    keepAlive_ = message.keep_alive() && !listener_->isDraining_;
    HttpRequest request;
    request.method_ = std::string(message.method_string());
    request.target_ = std::string(message.target());
    for (const auto& field : message) {
      request.headers_.emplace_back(field.name_string(), field.value());
    }
    request.body_ = std::make_shared<const std::string>(std::move(message.body()));
    id_ = ++listener_->lastId_;
    isWaiting_ = true;
    stream_.expires_never();
    WatchForClose();
    listener_->handler_.OnRequest(
      id_,
      std::move(request),
      [self = shared_from_this(), id = id_](const HttpResponse& aResponse) {
        self->Respond(id, aResponse);
      });
  }

  void RefuseUnreadable(error_code aError)
  {
    unsigned status = 400;
    std::string_view problem = "is not valid HTTP/1.1";
    std::string_view field = "request";
    if (aError == http::error::body_limit) {
      status = 413;
      field = "body";
      problem = "is larger than this listener takes";
    } else if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
      status = 431;
      field = "header";
      problem = "is larger than this listener takes";
    } else if (aError == beast::error::timeout) {
      status = 408;
      problem = "did not arrive in time";
    } else if (aError.category() != http::make_error_code(http::error::end_of_stream).category() ||
               aError == http::error::end_of_stream || aError == http::error::partial_message) {
      Close();
      return;
    }
    keepAlive_ = false;
    isWaiting_ = true;
    auto response = MakeHttpResponse(status, ErrorBody(field, problem));
    response.headers_.emplace_back("Latchslip-Outcome", "not-run");
    Respond(id_, response);
  }

  void WatchForClose()
  {
    beast::get_lowest_layer(stream_).socket().async_wait(
      tcp::socket::wait_read, [weak = weak_from_this(), id = id_](error_code aError) {
        const auto self = weak.lock();
        if (self && !aError && self->isWaiting_ && self->id_ == id && self->IsClosedByPeer()) {
          self->isWaiting_ = false;
          self->listener_->handler_.OnGone(id);
          self->Close();
        }
      });
  }

  bool HasUnreadBytes()
  {
    char byte = 0;
    const auto handle = beast::get_lowest_layer(stream_).socket().native_handle();
    return ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
  }

  bool IsClosedByPeer()
  {
    char byte = 0;
    const auto handle = beast::get_lowest_layer(stream_).socket().native_handle();
    const auto count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void Respond(std::uint64_t aId, const HttpResponse& aResponse)
  {
    if (!isWaiting_ || aId != id_) {
      return;
    }
    isWaiting_ = false;
    if (aResponse.status_ == kNoAnswer) {
      Close();
      return;
    }
    body_ = aResponse.body_ ? aResponse.body_ : std::make_shared<const std::string>();
    response_.emplace();
    response_->version(11);
    response_->result(aResponse.status_);
    if (!aResponse.contentType_.empty()) {
      response_->set(http::field::content_type, aResponse.contentType_);
    }
    for (const auto& [name, value] : aResponse.headers_) {
      response_->insert(name, value);
    }
    keepAlive_ = keepAlive_ && !listener_->isDraining_ && aResponse.isFramed_;
    response_->keep_alive(keepAlive_);
    response_->body() = { body_->data(), body_->size() };
    if (aResponse.isFramed_) {
      response_->prepare_payload();
    }
    stream_.expires_after(listener_->limits_.transfer_);
    http::async_write(
      stream_, *response_, [self = shared_from_this()](error_code aError, std::size_t) {
        self->OnWritten(aError);
      });
  }

  void OnWritten(error_code aError)
  {
    response_.reset();
    body_.reset();
    if (aError || !keepAlive_) {
      Close();
      return;
    }
    ReadNext();
  }

  void Close()
  {
    error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
    stream_.close();
  }

  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  std::shared_ptr<Listener> listener_;
  std::optional<http::request_parser<http::string_body>> parser_;
  std::optional<http::response<http::span_body<const char>>> response_;
  std::shared_ptr<const std::string> body_;
  std::uint64_t id_ = 0;
  bool keepAlive_ = false;
  bool isIdle_ = true;
  bool isWaiting_ = false;
  Instant idleUntil_{ 0 };
};

class BeastHttpServer : public HttpServer
{
public:
  BeastHttpServer(tcp::acceptor aAcceptor, HttpLimits aLimits, HttpHandler& aHandler)
    : acceptor_(std::move(aAcceptor))
    , idleTimer_(acceptor_.get_executor())
    , listener_(std::make_shared<Listener>(Listener{ aLimits, aHandler, false, {}, 0 }))
  {
    Accept();
  }

  ~BeastHttpServer() override { BeginClose(); }

  void BeginDrain() override { listener_->isDraining_ = true; }

  void BeginClose() override
  {
    listener_->isDraining_ = true;
    AcceptBacklog();
    idleTimer_.cancel();
    error_code ignored;
    acceptor_.close(ignored);
    const auto sessions = listener_->sessions_;
    for (auto* session : sessions) {
      session->CloseIfIdle();
    }
  }

  std::size_t Connections() const override { return listener_->sessions_.size(); }

  void SetLimits(HttpLimits aLimits) override { listener_->limits_ = aLimits; }

private:
  void Accept()
  {
    acceptor_.async_accept([this](error_code aError, tcp::socket aSocket) {
      if (aError == asio::error::operation_aborted || !acceptor_.is_open()) {
        return;
      }
      if (!aError) {
        Serve(std::move(aSocket));
      }
      Accept();
    });
  }

  void Serve(tcp::socket aSocket)
  {
    // Beyond the limit a connection is closed at once rather than kept waiting.
    if (listener_->sessions_.size() >= listener_->limits_.connections_) {
      return;
    }
    error_code ignored;
    aSocket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<HttpSession>(std::move(aSocket), listener_)->ReadNext();
    ArmIdleTimer();
  }

  // Looks for connections that were idle too long, as long as there are any.
  void ArmIdleTimer()
  {
    if (isIdleTimerArmed_ || listener_->sessions_.empty() || !acceptor_.is_open()) {
      return;
    }
    isIdleTimerArmed_ = true;
    idleTimer_.expires_after(std::min<Duration>(listener_->limits_.idle_, kIdleCheck));
    idleTimer_.async_wait([this](error_code aError) {
      if (aError) {
        return;
      }
      isIdleTimerArmed_ = false;
      const auto now = MonotonicNow();
      const auto sessions = listener_->sessions_;
      for (auto* session : sessions) {
        if (session->IdleUntil() <= now) {
          session->CloseIfIdle();
        }
      }
      ArmIdleTimer();
    });
  }

  // Takes the connections that the kernel has opened already: closing the
  // listener would reset them together with the requests they carry.
  void AcceptBacklog()
  {
    error_code error;
    acceptor_.non_blocking(true, error);
    while (acceptor_.is_open() && !error) {
      tcp::socket socket(acceptor_.get_executor());
      acceptor_.accept(socket, error);
      if (!error) {
        Serve(std::move(socket));
      }
    }
  }

  tcp::acceptor acceptor_;
  asio::steady_timer idleTimer_;
  bool isIdleTimerArmed_ = false;
  std::shared_ptr<Listener> listener_;
};

} // namespace

FieldResult<std::unique_ptr<HttpServer>>
HttpServer::Create(asio::io_context& aContext,
                   const std::string& aAddress,
                   HttpLimits aLimits,
                   HttpHandler& aHandler)
{
  BOOST_OUTCOME_TRY(auto acceptor, OpenAcceptor(aContext, aAddress));
  return std::unique_ptr<HttpServer>(
    std::make_unique<BeastHttpServer>(std::move(acceptor), aLimits, aHandler));
}

} // namespace latchslip
