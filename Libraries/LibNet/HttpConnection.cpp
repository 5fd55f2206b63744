#include "LibNet/HttpConnection.h"

#include "LibNet/MonotonicClock.h"
#include "LibNet/ResponseSyntax.h"

#include <algorithm>
#include <bit>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace latchslip {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

// Bytes of a response that are read ahead: none of its parts but the body can be larger.
constexpr std::size_t kReadBufferBytes = kMaxChunkMetadataBytes;
// Maximum idle time of connections whose server sends no timeout in a Keep-Alive header.
// NOTE: The header has whole seconds, so a server that sends none may time out in less than one
// second.
constexpr Duration kDefaultIdleTime = milliseconds(900);
// A connection is retired this long before its server closes it. If a request crosses the close
// on the wire, it is unknown whether it ran.
constexpr Duration kIdleMargin = milliseconds(500);
// Maximum time for which a connection is kept open only for its session. Keys are renewed far more
// often.
constexpr Duration kMaxWitnessTime = seconds(10);
// TCP keep-alive of such a connection: a machine that has lost power closes nothing, so its
// connections are probed after a second without data and given up two seconds later.
constexpr int kProbeIntervalSeconds = 1;
constexpr int kLostProbes = 2;
// A connection that has brought nothing for this long, not even the answer to a probe, is no proof
// that its process still runs.
constexpr Duration kMaxSilence = milliseconds(1200);

// Returns how long a connection may be reused, by the seconds of "timeout=5" in a Keep-Alive
// header.
Duration
ParseIdleTime(std::string_view aKeepAlive)
{
  constexpr std::string_view kName = "timeout=";
  const auto at = aKeepAlive.find(kName);
  if (at == std::string_view::npos) {
    return kDefaultIdleTime;
  }
  int named = 0;
  const auto digits = aKeepAlive.substr(at + kName.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), named);
  return std::max<Duration>(seconds(named) - kIdleMargin, Duration(0));
}

bool
IsClosedByPeer(error_code aError)
{
  return aError == http::error::end_of_stream || aError == asio::error::eof ||
         aError == asio::error::connection_reset || aError == asio::error::broken_pipe;
}

bool
IsLinkLost(error_code aError)
{
  return aError == asio::error::timed_out || aError == asio::error::host_unreachable ||
         aError == asio::error::network_unreachable;
}

// Moves the body out of the message.
HttpExchange
ToExchange(http::response<http::string_body>& aMessage)
{
  HttpExchange exchange;
  exchange.end_ = ExchangeEnd::Complete;
  auto& response = exchange.response_;
  response.status_ = aMessage.result_int();
  response.contentType_ = std::string(aMessage[http::field::content_type]);
  for (const auto& field : aMessage) {
    response.headers_.emplace_back(field.name_string(), field.value());
  }
  response.body_ = std::make_shared<const std::string>(std::move(aMessage.body()));
  response.isFramed_ = aMessage.has_content_length() || aMessage.chunked();
  return exchange;
}

} // namespace

HttpConnection::HttpConnection(asio::io_context& aContext,
                               std::shared_ptr<HttpPool> aPool,
                               std::uint64_t aNumber)
  : stream_(aContext)
  , buffer_(kReadBufferBytes)
  , pool_(std::move(aPool))
  , number_(aNumber)
  , onChunk_([this](std::uint64_t, std::string_view aExtension, error_code& aError) {
    if (!meter_.AddChunkExtension(aExtension.size())) {
      aError = http::error::buffer_overflow;
    }
  })
  , held_(pool_->budget_)
{
  ++pool_->open_;
}

HttpConnection::~HttpConnection()
{
  --pool_->open_;
  pool_->connected_.remove(this);
}

std::optional<std::string>
HttpConnection::Prepare(const tcp::endpoint& aEndpoint, const HttpRequest& aRequest)
{
  try {
    BuildMessage(aEndpoint, aRequest);
  } catch (const std::exception& aError) {
    return aError.what();
  }
  return std::nullopt;
}

void
HttpConnection::Start(const tcp::endpoint& aEndpoint,
                      const HttpRequest& aRequest,
                      const ExchangeOptions& aOptions,
                      HttpCallback aCallback)
{
  callback_ = std::move(aCallback);
  maxIdleTime_ = aOptions.maxIdleTime_;
  ackTimeout_ = aOptions.ackTimeout_;
  isReusable_ = !aOptions.usesOwnConnection_;
  keepsSession_ = aOptions.keepsSession_;
  requiredSession_ = aOptions.session_;
  echoHeader_ = aOptions.echoHeader_;
  echoValue_ = echoHeader_.empty() ? std::string() : std::string(aRequest.Header(echoHeader_));
  meter_ = ResponseMeter();
  maxBodyBytes_ = aOptions.maxBodyBytes_;
  receivedBytes_ = 0;
  const auto now = MonotonicNow();
  startedAt_ = now;
  end_ = now + aOptions.timeout_;
  if (!echoHeader_.empty()) {
    carried_.Add(now, echoValue_, end_);
  }
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

void
HttpConnection::BuildMessage(const tcp::endpoint& aEndpoint, const HttpRequest& aRequest)
{
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
  request_->keep_alive(true);
}

void
HttpConnection::Cancel()
{
  callback_ = nullptr;
  held_.Release();
  stream_.close();
}

bool
HttpConnection::HasCarried(std::string_view aEchoValue) const
{
  return carried_.Contains(MonotonicNow(), aEchoValue);
}

bool
HttpConnection::IsStale()
{
  return MonotonicNow() >= idleUntil_ || !IsOpen();
}

bool
HttpConnection::IsOpen()
{
  char byte = 0;
  const auto handle = stream_.socket().native_handle();
  const auto count = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool
HttpConnection::IsSilent()
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  if (::getsockopt(stream_.socket().native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
    return true;
  }
  return milliseconds(std::min(info.tcpi_last_ack_recv, info.tcpi_last_data_recv)) > kMaxSilence;
}

bool
HttpConnection::IsWitnessExpired() const
{
  return MonotonicNow() - retiredAt_ >= kMaxWitnessTime;
}

void
HttpConnection::JoinSession()
{
  // The others are looked at after this connection is made: one that is still open then leads to
  // the process that has accepted this one.
  for (auto* other : pool_->connected_) {
    if (other->session_ != 0 && other->IsOpen() && !other->IsSilent()) {
      session_ = std::max(session_, other->session_);
    }
  }
  if (session_ == 0) {
    session_ = ++*pool_->lastSession_;
  }
  pool_->connected_.push_back(this);
}

void
HttpConnection::Retire(bool aIsKeptAlive)
{
  if (!aIsKeptAlive || buffer_.size() > 0 || !BecomeWitness()) {
    stream_.close();
  }
}

bool
HttpConnection::BecomeWitness()
{
  if (!keepsSession_ || !IsOpen()) {
    return false;
  }
  retiredAt_ = MonotonicNow();
  pool_->witness_ = shared_from_this();
  return true;
}

void
HttpConnection::OnConnected(error_code aError)
{
  if (aError) {
    End(ExchangeEnd::NotSent, aError);
    return;
  }
  Configure();
  if (requiredSession_ != 0 && requiredSession_ != session_) {
    End(ExchangeEnd::NotSent, asio::error::operation_aborted);
    return;
  }
  stream_.expires_after(std::max(end_ - MonotonicNow(), Duration(1)));
  Write();
}

void
HttpConnection::Configure()
{
  isConnected_ = true;
  error_code ignored;
  if (keepsSession_) {
    JoinSession();
    ProbeWhileIdle();
  }
  stream_.socket().set_option(tcp::no_delay(true), ignored);
  if (ackTimeout_ > Duration(0)) {
    using AckTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    const auto time = duration_cast<milliseconds>(ackTimeout_).count();
    stream_.socket().set_option(AckTimeout(static_cast<int>(time)), ignored);
  }
}

void
HttpConnection::ProbeWhileIdle()
{
  using asio::detail::socket_option::integer;
  error_code ignored;
  auto& socket = stream_.socket();
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(kProbeIntervalSeconds), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(kProbeIntervalSeconds), ignored);
  socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(kLostProbes), ignored);
}

void
HttpConnection::Open(const tcp::endpoint& aEndpoint,
                     const ExchangeOptions& aOptions,
                     std::function<void(bool)> aCallback)
{
  ackTimeout_ = aOptions.ackTimeout_;
  stream_.expires_after(aOptions.connectTimeout_);
  stream_.async_connect(
    aEndpoint, [self = shared_from_this(), callback = std::move(aCallback)](error_code aError) {
      if (!aError) {
        self->Configure();
        self->stream_.expires_never();
        self->idleUntil_ = MonotonicNow() + kDefaultIdleTime;
        self->pool_->idle_.push_back(self);
      }
      callback(!aError);
    });
}

void
HttpConnection::Write()
{
  http::async_write(
    stream_, *request_, [self = shared_from_this()](error_code aError, std::size_t aCount) {
      self->OnWritten(aError, aCount);
    });
}

void
HttpConnection::OnWritten(error_code aError, std::size_t aCount)
{
  if (aError) {
    End(aCount == 0 ? ExchangeEnd::NotSent : ExchangeEnd::Broken, aError);
    return;
  }
  Read();
}

void
HttpConnection::Read()
{
  parser_.emplace();
  parser_->eager(true);
  parser_->header_limit(kMaxResponseHeadBytes);
  parser_->body_limit(meter_.BodyBytesLeft(maxBodyBytes_));
  parser_->on_chunk_header(onChunk_);
  headEnd_ = Instant(0);
  if (buffer_.size() > 0) {
    Parse();
  } else {
    ReadSome();
  }
}

// NOTE: http::async_read_some does not end before a head is complete, so it cannot bound the time
// that a head takes.
void
HttpConnection::ReadSome()
{
  const auto size = beast::read_size(buffer_, kReadBufferBytes);
  if (size == 0) {
    OnReadFailed(http::error::buffer_overflow);
    return;
  }
  stream_.async_read_some(buffer_.prepare(size),
                          [self = shared_from_this()](error_code aError, std::size_t aCount) {
                            self->OnReadSome(aError, aCount);
                          });
}

void
HttpConnection::OnReadSome(error_code aError, std::size_t aCount)
{
  if (aError == asio::error::eof) {
    OnEndOfStream();
    return;
  }
  if (aError) {
    OnReadFailed(aError);
    return;
  }
  buffer_.commit(aCount);
  receivedBytes_ += aCount;
  Parse();
}

void
HttpConnection::OnEndOfStream()
{
  error_code error = http::error::end_of_stream;
  if (parser_->got_some()) {
    error = {};
    parser_->put_eof(error);
  }
  if (error) {
    OnReadFailed(error);
  } else {
    isReusable_ = false;
    OnResponse();
  }
}

void
HttpConnection::Parse()
{
  if (!ReserveBody()) {
    EndByExcess(ResponseExcess::HeldBytes);
    return;
  }
  if (const auto error = ParseBuffer()) {
    OnReadFailed(error);
    return;
  }
  if (parser_->is_done()) {
    OnResponse();
    return;
  }
  BoundHeadTime();
  ReadSome();
}

error_code
HttpConnection::ParseBuffer()
{
  error_code error;
  const bool wasInHead = !parser_->is_header_done();
  const auto count = parser_->put(buffer_.data(), error);
  const std::string_view parsed(static_cast<const char*>(buffer_.data().data()), count);
  if (!error || error == http::error::need_more) {
    error = CheckSyntax(parsed, wasInHead);
  }
  buffer_.consume(count);
  return error;
}

error_code
HttpConnection::CheckSyntax(std::string_view aParsed, bool aBeginsInHead) const
{
  if (aBeginsInHead && HasFieldAfterBlank(aParsed)) {
    return http::error::bad_field;
  }
  if (parser_->is_header_done() && !IsStatus(parser_->get().result_int())) {
    return http::error::bad_status;
  }
  const bool hasTrailers = parser_->is_done() && parser_->chunked();
  if (hasTrailers && HasFieldAfterBlank(TrailersOf(aParsed))) {
    return http::error::bad_field;
  }
  return {};
}

bool
HttpConnection::ReserveBody()
{
  if (!parser_->is_header_done()) {
    return true;
  }
  auto& body = parser_->get().body();
  // Beyond the limit the parser reports the excess.
  const auto limit = meter_.BodyBytesLeft(maxBodyBytes_);
  const auto needed = std::min(body.size() + buffer_.size(), limit);
  const auto capacity =
    needed > body.capacity() ? std::min(std::bit_ceil(needed), limit) : body.capacity();
  if (!held_.TryResize(capacity)) {
    return false;
  }
  body.reserve(capacity);
  return true;
}

void
HttpConnection::BoundHeadTime()
{
  const auto now = MonotonicNow();
  if (parser_->is_header_done()) {
    if (headEnd_ != Instant(0)) {
      headEnd_ = Instant(0);
      stream_.expires_after(std::max(end_ - now, Duration(1)));
    }
    return;
  }
  // An incomplete head stays in the buffer.
  if (headEnd_ == Instant(0) && buffer_.size() > 0) {
    headEnd_ = std::min(end_, now + Scale(end_ - startedAt_, kHeadTimePerTimeout));
    stream_.expires_after(std::max(headEnd_ - now, Duration(1)));
  }
}

void
HttpConnection::OnResponse()
{
  auto message = parser_->release();
  if (http::to_status_class(message.result_int()) == http::status_class::informational) {
    if (meter_.AddInterimResponse()) {
      Read();
    } else {
      EndByExcess(ResponseExcess::InterimResponses);
    }
    return;
  }
  if (!echoHeader_.empty() && message[echoHeader_] != echoValue_) {
    // A late response to an earlier request; the matching one may still follow.
    isReusable_ = false;
    if (meter_.AddOtherResponse(message.body().size())) {
      Read();
    } else {
      EndByExcess(ResponseExcess::OtherResponses);
    }
    return;
  }
  auto exchange = ToExchange(message);
  stream_.expires_never();
  // A connection with unsolicited bytes after the response is not reused.
  if (message.keep_alive() && buffer_.size() == 0 && isReusable_) {
    idleUntil_ =
      MonotonicNow() + std::min(maxIdleTime_, ParseIdleTime(message[http::field::keep_alive]));
    pool_->idle_.push_back(shared_from_this());
  } else {
    Retire(message.keep_alive());
  }
  Finish(std::move(exchange));
}

void
HttpConnection::OnReadFailed(error_code aError)
{
  const auto excess = ExcessOf(aError);
  if (excess == ResponseExcess::None) {
    End(ExchangeEnd::Broken, aError);
  } else {
    EndByExcess(excess);
  }
}

ResponseExcess
HttpConnection::ExcessOf(error_code aError) const
{
  if (aError == http::error::header_limit) {
    return ResponseExcess::Head;
  }
  if (aError == http::error::body_limit) {
    return ResponseExcess::Body;
  }
  if (aError == http::error::buffer_overflow) {
    return parser_->is_header_done() ? ResponseExcess::ChunkMetadata : ResponseExcess::Head;
  }
  const bool isHeadLate =
    aError == beast::error::timeout && headEnd_ != Instant(0) && headEnd_ < end_;
  return isHeadLate ? ResponseExcess::SlowHead : ResponseExcess::None;
}

void
HttpConnection::EndByExcess(ResponseExcess aExcess)
{
  stream_.close();
  HttpExchange exchange;
  exchange.end_ = ExchangeEnd::Broken;
  exchange.excess_ = aExcess;
  exchange.problem_ =
    "the response exceeds a bound: " + std::string(kResponseExcessNames.NameOf(aExcess));
  Finish(std::move(exchange));
}

void
HttpConnection::End(ExchangeEnd aEnd, error_code aError)
{
  stream_.close();
  HttpExchange exchange;
  exchange.end_ = aEnd;
  exchange.problem_ = aError.message();
  exchange.isRefused_ = aError == asio::error::connection_refused;
  exchange.isSessionEnded_ = aEnd == ExchangeEnd::NotSent && isConnected_ &&
                             requiredSession_ != 0 && requiredSession_ != session_;
  exchange.isTimeout_ = aError == beast::error::timeout;
  exchange.isLinkLost_ = aEnd == ExchangeEnd::Broken && IsLinkLost(aError);
  exchange.isConnectionLost_ =
    aEnd == ExchangeEnd::Broken && IsClosedByPeer(aError) && !(parser_ && parser_->got_some());
  Finish(std::move(exchange));
}

void
HttpConnection::Finish(HttpExchange aExchange)
{
  request_.reset();
  body_.reset();
  parser_.reset();
  held_.Release();
  aExchange.connection_ = number_;
  aExchange.session_ = aExchange.end_ == ExchangeEnd::NotSent || !keepsSession_ ? 0 : session_;
  aExchange.otherResponses_ = meter_.OtherResponses();
  aExchange.receivedBytes_ = receivedBytes_;
  aExchange.age_ = MonotonicNow() - startedAt_;
  const auto callback = std::exchange(callback_, nullptr);
  if (callback) {
    callback(std::move(aExchange));
  }
}

} // namespace latchslip
