#pragma once

#include "LibBase/Time.h"
#include "LibNet/ByteBudget.h"
#include "LibNet/CarriedRequests.h"
#include "LibNet/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace latchslip {

class HttpConnection;

// Connection pool of one address.
struct HttpPool
{
  std::list<std::shared_ptr<HttpConnection>> idle_;
  std::size_t open_ = 0;
  // Shared by all pools of a client.
  std::shared_ptr<ByteBudget> budget_;
  // The connections that are connected.
  std::list<HttpConnection*> connected_;
  // A connection that carries no more exchanges and only keeps the session; null if there is none.
  std::shared_ptr<HttpConnection> witness_;
  // Number of the last session of any pool of the client.
  std::shared_ptr<SessionNumber> lastSession_;
};

// Client side of a keep-alive connection. Carries one exchange at a time and waits in its pool
// between exchanges.
class HttpConnection : public std::enable_shared_from_this<HttpConnection>
{
public:
  // aNumber identifies the connection, see HttpExchange::connection_.
  HttpConnection(boost::asio::io_context& aContext,
                 std::shared_ptr<HttpPool> aPool,
                 std::uint64_t aNumber);
  ~HttpConnection();
  HttpConnection(const HttpConnection&) = delete;
  HttpConnection& operator=(const HttpConnection&) = delete;

  // Prepares the message of the next exchange. Returns the problem if the request is one that the
  // HTTP library refuses to send; the connection must then not be used any more.
  std::optional<std::string> Prepare(const boost::asio::ip::tcp::endpoint& aEndpoint,
                                     const HttpRequest& aRequest);

  // Starts the exchange that was prepared, connecting first if necessary.
  void Start(const boost::asio::ip::tcp::endpoint& aEndpoint,
             const HttpRequest& aRequest,
             const ExchangeOptions& aOptions,
             HttpCallback aCallback);

  // Connects, and adds the connection to the idle ones of its pool. aCallback tells whether that
  // succeeded.
  void Open(const boost::asio::ip::tcp::endpoint& aEndpoint,
            const ExchangeOptions& aOptions,
            std::function<void(bool)> aCallback);

  // Closes the connection without calling the callback.
  void Cancel();

  // Returns the time until which this connection may be reused, by the server's Keep-Alive header
  // and ExchangeOptions.
  Instant IdleUntil() const { return idleUntil_; }

  // Whether the connection has carried a request with that value of ExchangeOptions::echoHeader_
  // that may still be sent again. The response to the repeat could not be distinguished from a
  // second copy of the earlier response.
  bool HasCarried(std::string_view aEchoValue) const;

  // Returns whether the idle connection must not be reused: the server has closed it or is about
  // to close it, or has sent unsolicited bytes.
  bool IsStale();

  // Returns whether the server has certainly not closed the connection as far as is known here.
  bool IsOpen();

  // Whether the server's machine has not been heard on the connection for too long to be certain
  // that it has not lost power.
  bool IsSilent();

  // The session that the connection belongs to; 0 if it keeps none or is not connected yet.
  SessionNumber Session() const { return session_; }
  // Makes the idle connection its pool's witness, in place of an earlier one. Returns false if it
  // keeps no session or the server has closed it.
  bool BecomeWitness();
  // Whether the connection has been the witness for too long.
  bool IsWitnessExpired() const;

private:
  // Builds the request message. Throws std::exception for what the HTTP library refuses.
  void BuildMessage(const boost::asio::ip::tcp::endpoint& aEndpoint, const HttpRequest& aRequest);
  void OnConnected(boost::system::error_code aError);
  // Makes the new connection part of the address's present session, or begins another one.
  void JoinSession();
  // Turns on TCP keep-alive.
  void ProbeWhileIdle();
  // Ends the use of the connection for exchanges. It stays open if the server keeps it alive and it
  // can be the witness of its session.
  void Retire(bool aIsKeptAlive);
  // Sets the options of a new connection.
  void Configure();
  void Write();
  void OnWritten(boost::system::error_code aError, std::size_t aCount);
  // Reads the next response.
  void Read();
  // Reads some bytes of it.
  void ReadSome();
  void OnReadSome(boost::system::error_code aError, std::size_t aCount);
  void OnEndOfStream();
  // Parses the bytes in the buffer, and reads more if the response is not complete.
  void Parse();
  // Parses them as far as they are complete. Returns why they are no valid response, if so.
  boost::system::error_code ParseBuffer();
  // Checks what the HTTP library lets pass, in the bytes that it has just parsed.
  boost::system::error_code CheckSyntax(std::string_view aParsed, bool aBeginsInHead) const;
  // Makes room for the buffer's bytes in the body. Returns false if the budget does not allow it.
  bool ReserveBody();
  // Limits the time for the rest of a head that has begun.
  void BoundHeadTime();
  // Handles a complete response, which may be another than that to the request.
  void OnResponse();
  void OnReadFailed(boost::system::error_code aError);
  // Returns the bound that caused the error; None for another cause.
  ResponseExcess ExcessOf(boost::system::error_code aError) const;
  // Ends the exchange because its response exceeds a bound.
  void EndByExcess(ResponseExcess aExcess);
  // Closes the connection and reports an exchange without a complete response.
  void End(ExchangeEnd aEnd, boost::system::error_code aError);
  void Finish(HttpExchange aExchange);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  std::shared_ptr<HttpPool> pool_;
  const std::uint64_t number_;
  std::optional<boost::beast::http::request<boost::beast::http::span_body<const char>>> request_;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> parser_;
  std::shared_ptr<const std::string> body_;
  HttpCallback callback_;
  // See ExchangeOptions::echoHeader_, and the value of the current request.
  std::string echoHeader_;
  std::string echoValue_;
  ResponseMeter meter_;
  // Called for the size line of each chunk.
  std::function<void(std::uint64_t, std::string_view, boost::system::error_code&)> onChunk_;
  ByteBudget::Share held_;
  std::size_t maxBodyBytes_ = kMaxResponseBytes;
  std::size_t receivedBytes_ = 0;
  Instant startedAt_{ 0 };
  // Deadline for the rest of a head that has begun; zero if none is being read.
  Instant headEnd_{ 0 };
  CarriedRequests carried_;
  // Deadline of the exchange.
  Instant end_{ 0 };
  Instant idleUntil_{ 0 };
  Instant retiredAt_ = Instant::max();
  bool isConnected_ = false;
  SessionNumber session_ = 0;
  // See ExchangeOptions.
  bool keepsSession_ = false;
  SessionNumber requiredSession_ = 0;
  Duration maxIdleTime_ = Duration::max();
  Duration ackTimeout_{ 0 };
  bool isReusable_ = true;
};

} // namespace latchslip
