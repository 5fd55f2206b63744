#pragma once

#include "LibBase/Time.h"
#include "LibNet/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
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

// A connection that a server has taken, which carries one request after the other.
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

  // Waits for the next request.
  void ReadNext();

  // Closes the connection if it carries no request now and none lies unread; whether
  // it did.
  bool CloseIfIdle();

private:
  // The connection carries no request from now on.
  void BeginIdle();
  void EndIdle();
  void OnReadable(boost::system::error_code aError);
  void ReadHeader();
  void OnRead(boost::system::error_code aError);
  // Answers what could not be read as a request, unless the peer is gone.
  void RefuseUnreadable(boost::system::error_code aError);
  // Tells the handler when the peer closes before the answer.
  void WatchForClose();
  bool HasUnreadBytes();
  bool IsClosedByPeer();
  void Respond(std::uint64_t aId, const HttpResponse& aResponse);
  void PrepareResponse(const HttpResponse& aResponse);
  void OnWritten(boost::system::error_code aError);
  void Close();

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::shared_ptr<HttpListener> listener_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::optional<boost::beast::http::response<boost::beast::http::span_body<const char>>> response_;
  std::shared_ptr<const std::string> body_;
  // The request that was read last.
  std::uint64_t id_ = 0;
  bool keepAlive_ = false;
  // No byte of a request was read since the last answer.
  bool isIdle_ = false;
  // The request has no answer yet.
  bool isWaiting_ = false;
  // When it is to be closed, while it is idle.
  Instant idleUntil_{ 0 };
};

} // namespace latchslip
