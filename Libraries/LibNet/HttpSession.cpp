#include "LibNet/HttpSession.h"

#include "LibNet/MonotonicClock.h"

#include <string_view>
#include <sys/socket.h>

namespace latchslip {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

namespace {

// Where the first field of a request's header is read into.
constexpr std::size_t kReadBuffer = 64UL * 1024;

std::string
ErrorBody(std::string_view aField, std::string_view aProblem)
{
  return R"({"error":{"field":")" + std::string(aField) + R"(","problem":")" +
         std::string(aProblem) + "\"}}";
}

// What is wrong with bytes that are no request.
struct RequestProblem
{
  unsigned status_;
  std::string_view field_;
  std::string_view problem_;
};

// No value when the connection failed, so that an answer would reach nobody.
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
  const bool isOfHttp =
    aError.category() == http::make_error_code(http::error::end_of_stream).category();
  if (!isOfHttp || aError == http::error::end_of_stream || aError == http::error::partial_message) {
    return std::nullopt;
  }
  return RequestProblem{ 400, "request", "is not valid HTTP/1.1" };
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
HttpSession::ReadNext()
{
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(listener_->limits_.headerBytes_));
  parser_->body_limit(listener_->limits_.bodyBytes_);
  if (buffer_.size() > 0) {
    ReadHeader();
    return;
  }
  BeginIdle();
  stream_.expires_never();
  // NOTE: The first byte is waited for, not read: what was read already but not
  // yet handled could not be told from an idle connection when that is closed.
  beast::get_lowest_layer(stream_).socket().async_wait(
    tcp::socket::wait_read,
    [self = shared_from_this()](error_code aError) { self->OnReadable(aError); });
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
  isIdle_ = false;
  listener_->idle_.erase({ idleUntil_, this });
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

void
HttpSession::OnReadable(error_code aError)
{
  if (aError) {
    Close();
    return;
  }
  EndIdle();
  ReadHeader();
}

void
HttpSession::ReadHeader()
{
  stream_.expires_after(listener_->limits_.transfer_);
  http::async_read(
    stream_, buffer_, *parser_, [self = shared_from_this()](error_code aError, std::size_t) {
      self->OnRead(aError);
    });
}

void
HttpSession::OnRead(error_code aError)
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
    id_, std::move(request), [self = shared_from_this(), id = id_](const HttpResponse& aResponse) {
      self->Respond(id, aResponse);
    });
}

void
HttpSession::RefuseUnreadable(error_code aError)
{
  const auto problem = ProblemOf(aError);
  if (!problem) {
    Close();
    return;
  }
  keepAlive_ = false;
  isWaiting_ = true;
  auto response = MakeHttpResponse(problem->status_, ErrorBody(problem->field_, problem->problem_));
  response.headers_.emplace_back("Latchslip-Outcome", "not-run");
  Respond(id_, response);
}

void
HttpSession::WatchForClose()
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

bool
HttpSession::HasUnreadBytes()
{
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
HttpSession::Respond(std::uint64_t aId, const HttpResponse& aResponse)
{
  if (!isWaiting_ || aId != id_) {
    return;
  }
  isWaiting_ = false;
  if (aResponse.status_ == kNoAnswer) {
    Close();
    return;
  }
  PrepareResponse(aResponse);
  stream_.expires_after(listener_->limits_.transfer_);
  http::async_write(
    stream_, *response_, [self = shared_from_this()](error_code aError, std::size_t) {
      self->OnWritten(aError);
    });
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
  keepAlive_ = keepAlive_ && !listener_->isDraining_ && aResponse.isFramed_;
  response_->keep_alive(keepAlive_);
  response_->body() = { body_->data(), body_->size() };
  if (aResponse.isFramed_) {
    response_->prepare_payload();
  }
}

void
HttpSession::OnWritten(error_code aError)
{
  response_.reset();
  body_.reset();
  if (aError || !keepAlive_) {
    Close();
    return;
  }
  ReadNext();
}

void
HttpSession::Close()
{
  EndIdle();
  error_code ignored;
  stream_.socket().shutdown(tcp::socket::shutdown_send, ignored);
  stream_.close();
}

} // namespace latchslip
