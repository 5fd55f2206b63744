#pragma once

#include "LibBase/Time.h"
#include "LibNet/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace latchslip {

class HttpSession;

// What the sessions of one listener share.
struct HttpListener
{
  HttpLimits limits_;
  HttpHandler& handler_;
  // Each connection is closed after its next answer.
  bool isDraining_ = false;
  std::set<HttpSession*> sessions_;
  // Those that carry no request, with the time until which each may stay so: the one
  // that has been idle the longest is the first.
  std::set<std::pair<Instant, HttpSession*>> idle_;
  std::uint64_t lastId_ = 0;
};

// A connection that a server has taken. It carries one request after the other; those that
// its client sends ahead of answers are handed on side by side, up to a bound, while all of
// them are of safe methods, and are answered in the order in which they came.
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
  HttpSession(boost::asio::ip::tcp::socket aSocket, std::shared_ptr<HttpListener> aListener);

  ~HttpSession()
  {
    EndIdle();
    listener_->sessions_.erase(this);
  }
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;

  // Waits for the first request.
  void Start();

  // Closes the connection if it carries no request now and none lies unread; whether
  // it did.
  bool CloseIfIdle();

private:
  // A request that was read and whose answer was not written yet.
  struct Exchange
  {
    std::uint64_t id_ = 0;
    bool isSafe_ = false;
    // Whether the connection may carry on after the answer.
    bool keepsAlive_ = false;
    std::optional<HttpResponse> answer_;
  };

  // The connection carries no request from now on.
  void BeginIdle();
  void EndIdle();
  // Whether one more request may be read now.
  bool MayRead() const;
  // Reads what comes next, if that may be done now.
  void Advance();
  // Waits for bytes, or the end of the connection, without reading.
  void Watch();
  void OnReadable(boost::system::error_code aError);
  void ReadRequest();
  void OnRead(boost::system::error_code aError);
  // Hands the request on.
  void Begin(Exchange aExchange, HttpRequest aRequest);
  // Answers what could not be read as a request, unless the peer is gone.
  void RefuseUnreadable(boost::system::error_code aError);
  bool HasUnreadBytes();
  bool IsClosedByPeer();
  void Respond(std::uint64_t aId, HttpResponse aResponse);
  // Writes the answer that is next in order, if it is there.
  void WriteNext();
  // Whether the connection carries on after the answer that is next in order.
  bool KeepsAliveAfterNext() const;
  void PrepareResponse(const HttpResponse& aResponse);
  void OnWritten(boost::system::error_code aError);
  // The client will get no more answers: tells the handler, and closes.
  void Abandon();
  void Close();
  // Takes and drops what the client had sent ahead: a connection that is closed over unread
  // bytes is reset, and its client may lose the last answer.
  void DropUnread();

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::shared_ptr<HttpListener> listener_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::optional<boost::beast::http::response<boost::beast::http::span_body<const char>>> response_;
  std::shared_ptr<const std::string> body_;
  // In the order in which they came.
  std::deque<Exchange> exchanges_;
  // A request that must not be handed on before those in front of it are answered.
  std::optional<std::pair<Exchange, HttpRequest>> held_;
  bool isWatching_ = false;
  bool isReading_ = false;
  bool isWriting_ = false;
  // No further request is read.
  bool hasReadLast_ = false;
  bool isClosed_ = false;
  // No byte of a request was read since the last answer.
  bool isIdle_ = false;
  // When it is to be closed, while it is idle.
  Instant idleUntil_{ 0 };
};

} // namespace latchslip
