#pragma once

#include "LibBase/Time.h"
#include "LibNet/ByteBudget.h"
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
#include <string_view>
#include <utility>

namespace latchslip {

class HttpSession;

// Why a request is answered with an error instead of being passed to the handler.
struct RequestProblem
{
  unsigned status_;
  std::string_view field_;
  std::string_view problem_;
};

// State shared by the sessions of one listener.
struct HttpListener
{
  HttpListener(const HttpLimits& aLimits, HttpHandler& aHandler)
    : limits_(aLimits)
    , handler_(aHandler)
    , bodies_(std::make_shared<ByteBudget>(aLimits.heldBodyBytes_))
  {
  }

  HttpLimits limits_;
  HttpHandler& handler_;
  // Every connection is closed after its next response.
  bool isDraining_ = false;
  std::set<HttpSession*> sessions_;
  // Sessions without a request, ordered by the end of their idle timeout: the session that has
  // been idle longest is first.
  std::set<std::pair<Instant, HttpSession*>> idle_;
  std::uint64_t lastId_ = 0;
  std::shared_ptr<ByteBudget> bodies_;
  std::uint64_t refusedBodies_ = 0;
};

// Server side of one HTTP connection, with keep-alive and pipelining. Pipelined requests are
// passed to the handler concurrently, up to a limit, as long as all of them have safe methods;
// responses are sent in the order of the requests.
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

  // Closes the connection if it has no request in progress and no unread bytes. Returns whether
  // it was closed.
  bool CloseIfIdle();

private:
  // A request that was read and whose response has not been written yet.
  struct Exchange
  {
    std::uint64_t id_ = 0;
    bool isSafe_ = false;
    // Whether the connection stays open after the response.
    bool keepsAlive_ = false;
    std::optional<HttpResponse> answer_;
    // Of the request's body.
    ByteBudget::Share held_;
  };

  // Marks the connection as idle and starts its idle timeout.
  void BeginIdle();
  void EndIdle();
  // Returns whether one more request may be read now.
  bool CanRead() const;
  // Starts the deferred request or reads the next one, if allowed now; otherwise waits for bytes.
  void Advance();
  // Waits until the socket is readable or closed by the peer, without reading.
  void Watch();
  void OnReadable(boost::system::error_code aError);
  void ReadRequest();
  // Reads some bytes of the request.
  void ReadSome();
  void OnReadSome(boost::system::error_code aError);
  void OnRead(boost::system::error_code aError);
  // Passes the request to the handler.
  void Begin(Exchange aExchange, HttpRequest aRequest);
  // Rejects a malformed, too large or late request. Abandons the connection if it has failed.
  void OnReadFailed(boost::system::error_code aError);
  // Responds to a request that is not passed to the handler, and reads no other.
  void Reject(const RequestProblem& aProblem);
  bool HasUnreadBytes();
  bool IsClosedByPeer();
  void Respond(std::uint64_t aId, HttpResponse aResponse);
  // Writes the response that is next in order, if it is available.
  void WriteNext();
  // Returns whether the connection stays open after the response that is next in order.
  bool KeepsAliveAfterNext() const;
  void PrepareResponse(const HttpResponse& aResponse);
  void OnWritten(boost::system::error_code aError);
  // Closes the connection and reports unanswered requests to the handler.
  void Abandon();
  void Close();
  // Reads and discards what the client has already sent. Closing a socket with unread bytes
  // resets the connection, and the client may lose the last response.
  void DiscardUnread();

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::shared_ptr<HttpListener> listener_;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser_;
  std::optional<boost::beast::http::response<boost::beast::http::span_body<const char>>> response_;
  // Of the body of the request that is being read.
  ByteBudget::Share held_;
  std::shared_ptr<const std::string> body_;
  // In the order of arrival.
  std::deque<Exchange> exchanges_;
  // A request with an unsafe method, deferred until all requests before it are answered.
  std::optional<std::pair<Exchange, HttpRequest>> deferred_;
  bool isWatching_ = false;
  bool isReading_ = false;
  bool isWriting_ = false;
  // No further request is read.
  bool hasReadLast_ = false;
  // The rest of the body of a rejected request is still to come.
  bool hasUnreadBody_ = false;
  bool isClosed_ = false;
  // No byte of a request has been read since the last response.
  bool isIdle_ = false;
  // End of the idle timeout, while idle.
  Instant idleUntil_{ 0 };
};

} // namespace latchslip
