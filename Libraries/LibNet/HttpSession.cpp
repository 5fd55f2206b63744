#include "LibNet/HttpSession.h"

#include "LibNet/MonotonicClock.h"

#include <algorithm>
#include <string_view>
#include <sys/socket.h>

namespace latchslip {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

namespace {

// Size of the read buffer, beyond the limit on headers.
constexpr std::size_t kReadBuffer = 64UL * 1024;

// Maximum number of pipelined requests of one connection in progress. Clients wait one second
// for a response to start, and few pipeline more requests.
constexpr std::size_t kMaxPipelined = 8;
// Time for which unread bytes are read and discarded after the last response.
constexpr Duration kDiscardTimeout = milliseconds(300);

const RequestProblem kNoMemoryForBody{ 503, "body", "does not fit beside those of others now" };
// With kNoMemoryForBody; about the time in which requests under way end.
constexpr std::string_view kNoMemoryRetryAfter = "1";

std::string
ErrorBody(std::string_view aField, std::string_view aProblem)
{
  return R"({"error":{"field":")" + std::string(aField) + R"(","problem":")" +
         std::string(aProblem) + "\"}}";
}

// Returns std::nullopt if the connection has failed, so that no response can be sent.
std::optional<RequestProblem>
ProblemOf(error_code aError)
{
  if (aError == http::error::body_limit) {
    return RequestProblem{ 413, "body", "is larger than this listener takes" };
  }
  if (aError == http::error::header_limit || aError == http::error::buffer_overflow) {
    return RequestProblem{ 431, "header", "is larger than this listener takes" };
  }
  if (aError == beast::error::timeout) {
    return RequestProblem{ 408, "request", "did not arrive in time" };
  }
  const bool isHttpError =
    aError.category() == http::make_error_code(http::error::end_of_stream).category();
  if (!isHttpError || aError == http::error::end_of_stream ||
      aError == http::error::partial_message) {
    return std::nullopt;
  }
  return RequestProblem{ 400, "request", "is not valid HTTP/1.1" };
}

// Returns what is wrong with a request that was read completely; std::nullopt if nothing is.
std::optional<RequestProblem>
ProblemOf(const http::request<http::string_body>& aMessage)
{
  // A client must not send content with TRACE (RFC 9110, section 9.3.8).
  if (aMessage.method() == http::verb::trace && !aMessage.body().empty()) {
    return RequestProblem{ 400, "body", "must not be sent with TRACE" };
  }
  return std::nullopt;
}

// Returns whether pipelined requests of that method may run concurrently (RFC 9112, section
// 9.3.2).
bool
IsSafe(http::verb aMethod)
{
  return aMethod == http::verb::get || aMethod == http::verb::head;
}

HttpRequest
TakeRequest(http::request<http::string_body>& aMessage)
{
  HttpRequest request;
  request.method_ = std::string(aMessage.method_string());
  request.target_ = std::string(aMessage.target());
  for (const auto& field : aMessage) {
    request.headers_.emplace_back(field.name_string(), field.value());
  }
  request.body_ = std::make_shared<const std::string>(std::move(aMessage.body()));
  return request;
}

} // namespace

HttpSession::HttpSession(tcp::socket aSocket, std::shared_ptr<HttpListener> aListener)
  : stream_(std::move(aSocket))
  , buffer_(kReadBuffer + aListener->limits_.headerBytes_)
  , listener_(std::move(aListener))
{
  listener_->sessions_.insert(this);
}

void
HttpSession::Start()
{
  BeginIdle();
  Watch();
}

void
HttpSession::BeginIdle()
{
  isIdle_ = true;
  idleUntil_ = MonotonicNow() + listener_->limits_.idle_;
  listener_->idle_.insert({ idleUntil_, this });
}

void
HttpSession::EndIdle()
{
  if (isIdle_) {
    isIdle_ = false;
    listener_->idle_.erase({ idleUntil_, this });
  }
}

bool
HttpSession::CloseIfIdle()
{
  if (!isIdle_ || HasUnreadBytes()) {
    return false;
  }
  Close();
  return true;
}

bool
HttpSession::CanRead() const
{
  if (isClosed_ || isReading_ || hasReadLast_ || deferred_) {
    return false;
  }
  if (exchanges_.empty()) {
    return true;
  }
  const bool areSafe = std::all_of(exchanges_.begin(),
                                   exchanges_.end(),
                                   [](const Exchange& aExchange) { return aExchange.isSafe_; });
  return areSafe && exchanges_.size() < kMaxPipelined && !listener_->isDraining_;
}

void
HttpSession::Advance()
{
  if (deferred_ && exchanges_.empty()) {
    auto [exchange, request] = std::move(*deferred_);
    deferred_.reset();
    Begin(std::move(exchange), std::move(request));
    return;
  }
  if (CanRead() && buffer_.size() > 0) {
    ReadRequest();
    return;
  }
  if (exchanges_.empty() && !isReading_ && !isIdle_ && !isClosed_) {
    BeginIdle();
  }
  Watch();
}

// NOTE: This only waits for the first byte and does not read it. Otherwise a connection whose
// bytes were read but not yet handled would look idle when idle connections are closed.
void
HttpSession::Watch()
{
  if (isWatching_ || isReading_ || isClosed_) {
    return;
  }
  // Unread bytes that must not be read yet would end the wait immediately and cause a busy loop.
  if (!CanRead() && HasUnreadBytes()) {
    return;
  }
  isWatching_ = true;
  beast::get_lowest_layer(stream_).socket().async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this()](error_code aError) { self->OnReadable(aError); });
}

void
HttpSession::OnReadable(error_code aError)
{
  isWatching_ = false;
  if (isClosed_) {
    return;
  }
  if (aError || IsClosedByPeer()) {
    Abandon();
    return;
  }
  if (CanRead()) {
    ReadRequest();
  }
}

void
HttpSession::ReadRequest()
{
  EndIdle();
  isReading_ = true;
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(listener_->limits_.headerBytes_));
  parser_->body_limit(listener_->limits_.bodyBytes_);
  parser_->eager(true);
  held_ = ByteBudget::Share(listener_->bodies_);
  stream_.expires_after(listener_->limits_.transfer_);
  ReadSome();
}

void
HttpSession::ReadSome()
{
  http::async_read_some(
    stream_, buffer_, *parser_, [self = shared_from_this()](error_code aError, std::size_t) {
      self->OnReadSome(aError);
    });
}

void
HttpSession::OnReadSome(error_code aError)
{
  if (aError || isClosed_) {
    OnRead(aError);
    return;
  }
  if (!held_.TryResize(parser_->get().body().capacity())) {
    isReading_ = false;
    ++listener_->refusedBodies_;
    hasUnreadBody_ = true;
    Reject(kNoMemoryForBody);
    return;
  }
  if (parser_->is_done()) {
    OnRead(aError);
  } else {
    ReadSome();
  }
}

void
HttpSession::OnRead(error_code aError)
{
  isReading_ = false;
  if (isClosed_) {
    return;
  }
  if (aError) {
    OnReadFailed(aError);
    return;
  }
  auto message = parser_->release();
  if (const auto problem = ProblemOf(message)) {
    Reject(*problem);
    return;
  }
  Exchange exchange;
  exchange.id_ = ++listener_->lastId_;
  exchange.isSafe_ = IsSafe(message.method());
  exchange.keepsAlive_ = message.keep_alive();
  exchange.held_ = std::move(held_);
  hasReadLast_ = !exchange.keepsAlive_;
  auto request = TakeRequest(message);
  if (!exchange.isSafe_ && !exchanges_.empty()) {
    deferred_.emplace(std::move(exchange), std::move(request));
    Watch();
    return;
  }
  Begin(std::move(exchange), std::move(request));
}

void
HttpSession::Begin(Exchange aExchange, HttpRequest aRequest)
{
  const auto id = aExchange.id_;
  exchanges_.push_back(std::move(aExchange));
  listener_->handler_.OnRequest(
    id, std::move(aRequest), [self = shared_from_this(), id](HttpResponse aResponse) {
      self->Respond(id, std::move(aResponse));
    });
  Advance();
}

void
HttpSession::OnReadFailed(error_code aError)
{
  if (const auto problem = ProblemOf(aError)) {
    hasUnreadBody_ = aError == http::error::body_limit;
    Reject(*problem);
  } else {
    Abandon();
  }
}

void
HttpSession::Reject(const RequestProblem& aProblem)
{
  hasReadLast_ = true;
  Exchange exchange;
  exchange.answer_ =
    MakeHttpResponse(aProblem.status_, ErrorBody(aProblem.field_, aProblem.problem_));
  exchange.answer_->headers_.emplace_back("Latchslip-Outcome", "not-run");
  if (aProblem.status_ == kNoMemoryForBody.status_) {
    exchange.answer_->headers_.emplace_back("Retry-After", kNoMemoryRetryAfter);
  }
  exchanges_.push_back(std::move(exchange));
  WriteNext();
}

bool
HttpSession::HasUnreadBytes()
{
  if (buffer_.size() > 0) {
    return true;
  }
  char byte = 0;
  const auto handle = beast::get_lowest_layer(stream_).socket().native_handle();
  return ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool
HttpSession::IsClosedByPeer()
{
  char byte = 0;
  const auto handle = beast::get_lowest_layer(stream_).socket().native_handle();
  const auto count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void
HttpSession::Respond(std::uint64_t aId, HttpResponse aResponse)
{
  const auto exchange =
    std::find_if(exchanges_.begin(), exchanges_.end(), [aId](const Exchange& aExchange) {
      return aExchange.id_ == aId;
    });
  if (isClosed_ || exchange == exchanges_.end() || exchange->answer_) {
    return;
  }
  if (aResponse.isLost_) {
    exchanges_.erase(exchange);
    Abandon();
    return;
  }
  exchange->answer_ = std::move(aResponse);
  WriteNext();
}

void
HttpSession::WriteNext()
{
  if (isWriting_ || isClosed_ || exchanges_.empty() || !exchanges_.front().answer_) {
    return;
  }
  isWriting_ = true;
  PrepareResponse(*exchanges_.front().answer_);
  stream_.expires_after(listener_->limits_.transfer_);
  http::async_write(
    stream_, *response_, [self = shared_from_this()](error_code aError, std::size_t) {
      self->OnWritten(aError);
    });
}

bool
HttpSession::KeepsAliveAfterNext() const
{
  const auto& next = exchanges_.front();
  if (!next.keepsAlive_ || !next.answer_->isFramed_) {
    return false;
  }
  // A draining connection closes only after all requests read so far are answered.
  const bool isLast = exchanges_.size() == 1 && !deferred_ && !isReading_;
  return !(listener_->isDraining_ && isLast);
}

void
HttpSession::PrepareResponse(const HttpResponse& aResponse)
{
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
  exchanges_.front().keepsAlive_ = KeepsAliveAfterNext();
  response_->keep_alive(exchanges_.front().keepsAlive_);
  response_->body() = { body_->data(), body_->size() };
  if (aResponse.isFramed_) {
    response_->prepare_payload();
  }
}

void
HttpSession::OnWritten(error_code aError)
{
  isWriting_ = false;
  response_.reset();
  body_.reset();
  if (isClosed_) {
    return;
  }
  const bool keepsAlive = exchanges_.front().keepsAlive_;
  exchanges_.pop_front();
  if (aError || !keepsAlive) {
    Abandon();
    return;
  }
  WriteNext();
  Advance();
}

void
HttpSession::Abandon()
{
  auto unanswered = std::exchange(exchanges_, {});
  deferred_.reset();
  Close();
  for (const auto& exchange : unanswered) {
    if (!exchange.answer_) {
      listener_->handler_.OnClientDisconnected(exchange.id_);
    }
  }
}

void
HttpSession::Close()
{
  EndIdle();
  isClosed_ = true;
  error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  if (!isReading_ && (hasUnreadBody_ || HasUnreadBytes())) {
    stream_.expires_after(kDiscardTimeout);
    DiscardUnread();
    return;
  }
  stream_.close();
}

void
HttpSession::DiscardUnread()
{
  buffer_.clear();
  stream_.async_read_some(buffer_.prepare(kReadBuffer),
                          [self = shared_from_this()](error_code aError, std::size_t) {
                            if (aError) {
                              self->stream_.close();
                            } else {
                              self->DiscardUnread();
                            }
                          });
}

} // namespace latchslip
