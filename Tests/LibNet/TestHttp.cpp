#include "LibNet/HttpClient.h"
#include "LibNet/HttpServer.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <optional>

namespace latchslip {

namespace {

using tcp = boost::asio::ip::tcp;

// Echoes the request body. "/never" is not answered until Answer(), and "/drop" closes the
// connection without an answer.
class EchoHandler : public HttpHandler
{
public:
  void OnRequest(std::uint64_t, HttpRequest aRequest, HttpResponder aRespond) override
  {
    ++requests_;
    if (aRequest.target_ == "/never") {
      unanswered_.push_back(std::move(aRespond));
      return;
    }
    HttpResponse response;
    response.isLost_ = aRequest.target_ == "/drop";
    response.body_ = aRequest.body_;
    aRespond(std::move(response));
  }
  void OnClientDisconnected(std::uint64_t) override { ++disconnected_; }
  // Answers the unanswered request with that index.
  void Answer(std::size_t aIndex, const std::string& aBody)
  {
    HttpResponse response;
    response.body_ = std::make_shared<const std::string>(aBody);
    unanswered_.at(aIndex)(std::move(response));
  }

  int requests_ = 0;
  int disconnected_ = 0;
  std::vector<HttpResponder> unanswered_;
};

class HttpOnLoopback : public testing::Test
{
protected:
  HttpOnLoopback()
    : client_(HttpClient::Create(context_, 4))
  {
    limits_.headerBytes_ = 4096;
    limits_.bodyBytes_ = 8 * 1024 * 1024;
    limits_.transfer_ = milliseconds(300);
    limits_.connections_ = 8;
    Listen();
  }

  // Searches for a free port, so that tests can run in parallel.
  void Listen()
  {
    for (int port = 21000; port < 22000 && !server_; ++port) {
      const auto number = 21000 + (port - 21000 + ::getpid() * 7) % 1000;
      address_ = "127.0.0.1:" + std::to_string(number);
      auto created = HttpServer::Create(context_, address_, limits_, handler_);
      if (created) {
        server_ = std::move(created).value();
      }
    }
  }

  HttpExchange Send(const std::string& aTarget,
                    std::string aBody,
                    Duration aMaxIdleTime = Duration::max(),
                    const std::string& aMethod = "POST")
  {
    std::optional<HttpExchange> result;
    HttpRequest request;
    request.method_ = aMethod;
    request.target_ = aTarget;
    request.body_ = std::make_shared<const std::string>(std::move(aBody));
    ExchangeOptions options;
    options.timeout_ = milliseconds(2000);
    options.maxIdleTime_ = aMaxIdleTime;
    client_->Send(address_, request, std::move(options), [&](HttpExchange aExchange) {
      result = std::move(aExchange);
    });
    while (!result) {
      context_.run_one();
    }
    return *result;
  }

  tcp::socket Connect()
  {
    tcp::socket socket(context_);
    const auto colon = address_.find(':');
    socket.connect({ boost::asio::ip::make_address(address_.substr(0, colon)),
                     static_cast<std::uint16_t>(std::stoi(address_.substr(colon + 1))) });
    return socket;
  }

  // Returns what the server sends until it closes the connection.
  std::string ReadToEnd(tcp::socket& aSocket)
  {
    std::string answer;
    bool isDone = false;
    boost::asio::async_read(aSocket,
                            boost::asio::dynamic_buffer(answer),
                            [&](boost::system::error_code, std::size_t) { isDone = true; });
    while (!isDone) {
      context_.run_one();
    }
    return answer;
  }

  // Sends raw bytes and returns the server's bytes until it closes the connection.
  std::string SendRaw(const std::string& aBytes)
  {
    auto socket = Connect();
    boost::asio::write(socket, boost::asio::buffer(aBytes));
    return ReadToEnd(socket);
  }

  boost::asio::io_context context_;
  HttpLimits limits_;
  EchoHandler handler_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpClient> client_;
  std::string address_;
};

TEST_F(HttpOnLoopback, ProbeSucceeds_ConnectionIsReusedByTheNextExchange)
{
  ExchangeOptions options;
  options.connectTimeout_ = milliseconds(200);
  options.ackTimeout_ = milliseconds(700);
  std::optional<bool> isConnected;
  client_->Probe(address_, options, [&](bool aIsConnected) { isConnected = aIsConnected; });
  context_.restart();
  context_.run_for(milliseconds(50));
  EXPECT_EQ(isConnected, true);
  EXPECT_TRUE(client_->HasIdle(address_));
  EXPECT_EQ(Send("/", "body").end_, ExchangeEnd::Complete);
  EXPECT_EQ(client_->OpenConnections(), 1U);
  client_->CloseIdle();
  EXPECT_FALSE(client_->HasIdle(address_));
  EXPECT_EQ(client_->OpenConnections(), 0U);
}

TEST_F(HttpOnLoopback, ProbeOfAClosedPort_Fails)
{
  server_.reset();
  ExchangeOptions options;
  options.connectTimeout_ = milliseconds(200);
  std::optional<bool> isConnected;
  client_->Probe(address_, options, [&](bool aIsConnected) { isConnected = aIsConnected; });
  context_.restart();
  context_.run_for(milliseconds(50));
  EXPECT_EQ(isConnected, false);
  EXPECT_EQ(client_->OpenConnections(), 0U);
}

TEST_F(HttpOnLoopback, BodyOfSeveralMegabytes_ComesBackWhole)
{
  const std::string image(6'000'000, 'p');
  const auto exchange = Send("/echo", image);
  ASSERT_EQ(exchange.end_, ExchangeEnd::Complete);
  EXPECT_EQ(*exchange.response_.body_, image);
}

TEST_F(HttpOnLoopback, BodyIsLargerThanAllowed_RefusedAndNothingRun)
{
  const auto exchange = Send("/echo", std::string(9'000'000, 'p'));
  // The response may be lost: the server resets the connection while the body is arriving.
  if (exchange.end_ == ExchangeEnd::Complete) {
    EXPECT_EQ(exchange.response_.status_, 413U);
  }
  EXPECT_EQ(handler_.requests_, 0);
}

// Guards against callers of large bodies who use up the memory of an instance.
class ListenerWithLittleMemory : public HttpOnLoopback
{
protected:
  static constexpr std::size_t kLarge = 600UL * 1024;

  ListenerWithLittleMemory()
  {
    server_.reset();
    limits_.heldBodyBytes_ = kLarge + kLarge / 2;
    Listen();
  }

  // Begins a request with a large body, and lets the server read its head.
  tcp::socket BeginLarge()
  {
    auto socket = Connect();
    boost::asio::write(socket,
                       boost::asio::buffer("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                                           std::to_string(kLarge) + "\r\n\r\nsome"));
    context_.restart();
    context_.run_for(std::chrono::milliseconds(30));
    return socket;
  }
};

TEST_F(ListenerWithLittleMemory, LargeBodyFindsNoRoom_IsRefusedBeforeItIsRead)
{
  const auto first = BeginLarge();
  auto second = BeginLarge();
  const auto answer = ReadToEnd(second);
  EXPECT_NE(answer.find(" 503 "), std::string::npos) << answer;
  EXPECT_NE(answer.find("Latchslip-Outcome: not-run"), std::string::npos) << answer;
  EXPECT_NE(answer.find("Retry-After: "), std::string::npos) << answer;
  EXPECT_EQ(server_->RefusedBodies(), 1U);
  EXPECT_EQ(handler_.requests_, 0);
}

TEST_F(ListenerWithLittleMemory, ChunkedBodyFindsNoRoom_IsRefused)
{
  const auto first = BeginLarge();
  auto second = Connect();
  boost::asio::write(second,
                     boost::asio::buffer(std::string(
                       "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n")));
  std::string chunks;
  for (int count = 0; count < 20; ++count) {
    chunks += "8000\r\n" + std::string(0x8000, 'c') + "\r\n";
  }
  boost::asio::async_write(
    second, boost::asio::buffer(chunks), [](boost::system::error_code, std::size_t) {});
  const auto answer = ReadToEnd(second);
  EXPECT_NE(answer.find(" 503 "), std::string::npos) << answer;
  EXPECT_EQ(handler_.requests_, 0);
}

TEST_F(ListenerWithLittleMemory, SmallBodyFindsNoRoom_IsServed)
{
  const auto first = BeginLarge();
  const auto second = BeginLarge();
  EXPECT_EQ(Send("/echo", std::string(1000, 's')).response_.status_, 200U);
}

TEST_F(ListenerWithLittleMemory, LargeBodiesFollowEachOther_AllAreServed)
{
  for (int count = 0; count < 3; ++count) {
    EXPECT_EQ(Send("/echo", std::string(kLarge, 'p')).response_.status_, 200U);
  }
  EXPECT_EQ(server_->HeldBodyBytes(), 0U);
}

TEST_F(ListenerWithLittleMemory, CallerOfALargeBodyLeaves_ItsRoomIsFree)
{
  {
    const auto first = BeginLarge();
    EXPECT_GE(server_->HeldBodyBytes(), kLarge);
  }
  EXPECT_EQ(Send("/echo", std::string(kLarge, 'p')).response_.status_, 200U);
}

TEST_F(HttpOnLoopback, HeaderIsLargerThanAllowed_Refused)
{
  const auto answer =
    SendRaw("POST / HTTP/1.1\r\nHost: x\r\nLong: " + std::string(6000, 'h') + "\r\n\r\n");
  EXPECT_NE(answer.find(" 431 "), std::string::npos) << answer;
  EXPECT_EQ(handler_.requests_, 0);
}

TEST_F(HttpOnLoopback, MalformedRequest_IsRefusedWithAnError)
{
  const auto answer = SendRaw("NONSENSE\r\n\r\n");
  EXPECT_NE(answer.find(" 400 "), std::string::npos) << answer;
  EXPECT_NE(answer.find("Latchslip-Outcome: not-run"), std::string::npos) << answer;
  EXPECT_EQ(handler_.requests_, 0);
}

// Guards against a request that the HTTP library refuses to send on: its exception ended the
// process.
TEST_F(HttpOnLoopback, TraceRequestHasABody_IsRefusedAndNotHandled)
{
  const auto answer = SendRaw("TRACE / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody");
  EXPECT_NE(answer.find(" 400 "), std::string::npos) << answer;
  EXPECT_NE(answer.find("Latchslip-Outcome: not-run"), std::string::npos) << answer;
  EXPECT_EQ(handler_.requests_, 0);
}

TEST_F(HttpOnLoopback, TraceRequestHasNoBody_IsHandled)
{
  const auto answer = SendRaw("TRACE / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  EXPECT_NE(answer.find(" 200 "), std::string::npos) << answer;
  EXPECT_EQ(handler_.requests_, 1);
}

TEST_F(HttpOnLoopback, RequestCannotBeSent_NotSentAndNoPathIsBlamed)
{
  const auto exchange = Send("/echo", "body", Duration::max(), "TRACE");
  EXPECT_EQ(exchange.end_, ExchangeEnd::NotSent);
  EXPECT_TRUE(exchange.isLocal_);
  EXPECT_EQ(handler_.requests_, 0);
  EXPECT_EQ(Send("/echo", "body").end_, ExchangeEnd::Complete);
}

TEST_F(HttpOnLoopback, RequestTimesOut_IsNotHandled)
{
  const auto answer = SendRaw("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nfew");
  EXPECT_EQ(handler_.requests_, 0);
  EXPECT_EQ(answer.find(" 200 "), std::string::npos);
}

TEST_F(HttpOnLoopback, ConnectionIsDropped_ExchangeIsBrokenAndNotReused)
{
  EXPECT_EQ(Send("/drop", "x").end_, ExchangeEnd::Broken);
  EXPECT_EQ(Send("/echo", "y").end_, ExchangeEnd::Complete);
}

TEST_F(HttpOnLoopback, ServerClosesWithoutAnswer_ConnectionCountsAsLost)
{
  const auto exchange = Send("/drop", "x");
  EXPECT_EQ(exchange.end_, ExchangeEnd::Broken);
  EXPECT_TRUE(exchange.isConnectionLost_) << exchange.problem_;
  EXPECT_FALSE(Send("/never", "x").isConnectionLost_) << "it timed out";
}

TEST_F(HttpOnLoopback, ExchangeTimesOut_BrokenAndHandlerIsNotified)
{
  EXPECT_EQ(Send("/never", "x").end_, ExchangeEnd::Broken);
  while (handler_.disconnected_ == 0) {
    context_.run_one();
  }
  EXPECT_EQ(handler_.disconnected_, 1);
}

TEST_F(HttpOnLoopback, MaxIdleTimeSet_ConnectionIsReusedOnlyWithinIt)
{
  constexpr Duration kMaxIdleTime = milliseconds(100);
  EXPECT_EQ(Send("/echo", "x", kMaxIdleTime).end_, ExchangeEnd::Complete);
  EXPECT_EQ(Send("/echo", "y", kMaxIdleTime).end_, ExchangeEnd::Complete);
  EXPECT_EQ(client_->OpenConnections(), 1U);
  EXPECT_EQ(server_->Connections(), 1U);
  context_.restart();
  context_.run_for(std::chrono::milliseconds(110));
  client_->PruneIdle();
  EXPECT_EQ(client_->OpenConnections(), 0U);
}

TEST_F(HttpOnLoopback, NoListener_NotSentAndRefused)
{
  server_.reset();
  const auto exchange = Send("/echo", "x");
  EXPECT_EQ(exchange.end_, ExchangeEnd::NotSent);
  EXPECT_TRUE(exchange.isRefused_);
}

TEST_F(HttpOnLoopback, ServerDrains_AnswerIsCompleteAndConnectionCloses)
{
  server_->BeginDrain();
  const auto exchange = Send("/echo", "x");
  EXPECT_EQ(exchange.end_, ExchangeEnd::Complete);
  EXPECT_EQ(exchange.response_.Header("Connection"), "close");
}

TEST_F(HttpOnLoopback, AddressIsTaken_ErrorNamesIt)
{
  const auto second = HttpServer::Create(context_, address_, limits_, handler_);
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().field_, address_);
}

// A request that arrived before the listener closes must be answered, also if it is still in the
// kernel's buffer or if its read handler is queued in the event loop but has not run.
TEST_F(HttpOnLoopback, ListenerClosesBeforeRequestIsRead_RequestIsAnswered)
{
  auto socket = Connect();
  // Lets the server accept the connection and wait for the first byte.
  context_.run_for(std::chrono::milliseconds(20));
  context_.restart();
  boost::asio::write(socket,
                     boost::asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")));
  // The event loop polls its sockets between the two posts.
  boost::asio::post(context_, [&] { boost::asio::post(context_, [&] { server_->BeginClose(); }); });
  const auto answer = ReadToEnd(socket);
  EXPECT_EQ(handler_.requests_, 1);
  EXPECT_NE(answer.find("200 OK"), std::string::npos) << answer;
}

// As above, for a connection in the kernel's backlog that has not been accepted yet.
TEST_F(HttpOnLoopback, ListenerClosesWithConnectionInBacklog_RequestIsAnswered)
{
  auto socket = Connect();
  boost::asio::write(socket,
                     boost::asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: a\r\n\r\n")));
  server_->BeginClose();
  const auto answer = ReadToEnd(socket);
  EXPECT_EQ(handler_.requests_, 1);
  EXPECT_NE(answer.find("200 OK"), std::string::npos) << answer;
}

// Guards against clients being locked out: refused clients reconnect and leave their former
// connections open and idle.
TEST_F(HttpOnLoopback, IdleConnectionsReachLimit_NewConnectionIsServed)
{
  std::vector<tcp::socket> idle;
  for (std::size_t count = 0; count < limits_.connections_; ++count) {
    idle.push_back(Connect());
  }
  context_.run_for(std::chrono::milliseconds(20));
  context_.restart();
  ASSERT_EQ(server_->Connections(), limits_.connections_);
  EXPECT_EQ(Send("/echo", "late").end_, ExchangeEnd::Complete);
  // The connection that was idle longest was closed.
  EXPECT_EQ(ReadToEnd(idle.front()), "");
  EXPECT_LE(server_->Connections(), limits_.connections_);
}

TEST_F(HttpOnLoopback, BusyConnectionsReachLimit_NewConnectionIsClosed)
{
  std::vector<tcp::socket> busy;
  for (std::size_t count = 0; count < limits_.connections_; ++count) {
    busy.push_back(Connect());
    boost::asio::write(busy.back(),
                       boost::asio::buffer(std::string("GET /never HTTP/1.1\r\nHost: a\r\n\r\n")));
  }
  context_.run_for(std::chrono::milliseconds(20));
  context_.restart();
  ASSERT_EQ(handler_.requests_, static_cast<int>(limits_.connections_));
  auto late = Connect();
  EXPECT_EQ(ReadToEnd(late), "");
  EXPECT_EQ(handler_.disconnected_, 0);
}

// Clients of some deployments pipeline requests.
class PipeliningClient : public HttpOnLoopback
{
protected:
  void SendRequest(const std::string& aMethod, const std::string& aTarget)
  {
    const auto text = aMethod + " " + aTarget + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";
    boost::asio::write(socket_, boost::asio::buffer(text));
  }

  void Run(std::chrono::milliseconds aTime = std::chrono::milliseconds(30))
  {
    context_.restart();
    context_.run_for(aTime);
    context_.restart();
  }

  // Returns the bytes received so far.
  std::string Received()
  {
    std::string text(socket_.available(), ' ');
    boost::asio::read(socket_, boost::asio::buffer(text));
    return text;
  }

  tcp::socket socket_ = Connect();
};

TEST_F(PipeliningClient, SafeRequests_AreHandledConcurrentlyAndAnsweredInOrder)
{
  SendRequest("GET", "/never");
  SendRequest("GET", "/never");
  SendRequest("GET", "/never");
  Run();
  ASSERT_EQ(handler_.requests_, 3);
  handler_.Answer(2, "third");
  handler_.Answer(1, "second");
  Run();
  EXPECT_EQ(Received(), "");
  handler_.Answer(0, "first");
  Run();
  const auto answers = Received();
  const auto first = answers.find("first");
  const auto second = answers.find("second");
  const auto third = answers.find("third");
  ASSERT_NE(third, std::string::npos) << answers;
  EXPECT_LT(first, second);
  EXPECT_LT(second, third);
}

TEST_F(PipeliningClient, RequestsArriveInPieces_AreRead)
{
  const std::string text =
    "GET /never HTTP/1.1\r\nHost: a\r\n\r\nGET /never HTTP/1.1\r\nHost: a\r\n\r\n";
  for (const auto sign : text) {
    boost::asio::write(socket_, boost::asio::buffer(std::string(1, sign)));
    Run(std::chrono::milliseconds(1));
  }
  EXPECT_EQ(handler_.requests_, 2);
}

TEST_F(PipeliningClient, UnsafeRequest_WaitsForThoseBeforeIt)
{
  SendRequest("GET", "/never");
  SendRequest("POST", "/never");
  SendRequest("GET", "/never");
  Run();
  ASSERT_EQ(handler_.requests_, 1);
  handler_.Answer(0, "first");
  Run();
  ASSERT_EQ(handler_.requests_, 2);
  handler_.Answer(1, "second");
  Run();
  ASSERT_EQ(handler_.requests_, 3);
  handler_.Answer(2, "third");
  Run();
  EXPECT_NE(Received().find("third"), std::string::npos);
}

TEST_F(PipeliningClient, MoreThanTheLimit_OthersAreReadAsResponsesAreSent)
{
  constexpr int kSent = 12;
  for (int count = 0; count < kSent; ++count) {
    SendRequest("GET", "/never");
  }
  Run();
  const auto bound = handler_.requests_;
  EXPECT_GT(bound, 1);
  EXPECT_LT(bound, kSent);
  for (int index = 0; index < kSent; ++index) {
    ASSERT_LT(index, handler_.requests_);
    handler_.Answer(static_cast<std::size_t>(index), "answer");
    Run(std::chrono::milliseconds(5));
  }
  EXPECT_EQ(handler_.requests_, kSent);
}

TEST_F(PipeliningClient, Disconnects_AllRequestsAreReportedToHandler)
{
  SendRequest("GET", "/never");
  SendRequest("GET", "/never");
  Run();
  ASSERT_EQ(handler_.requests_, 2);
  socket_.close();
  Run();
  EXPECT_EQ(handler_.disconnected_, 2);
  handler_.unanswered_.clear();
  EXPECT_EQ(server_->Connections(), 0U);
}

TEST_F(PipeliningClient, ServerDrains_OnlyRequestsAlreadyReadAreAnswered)
{
  SendRequest("GET", "/never");
  SendRequest("GET", "/never");
  Run();
  server_->BeginDrain();
  SendRequest("GET", "/never");
  Run();
  ASSERT_EQ(handler_.requests_, 2);
  handler_.Answer(0, "first");
  handler_.Answer(1, "second");
  const auto answers = ReadToEnd(socket_);
  EXPECT_EQ(handler_.requests_, 2);
  const auto close = answers.find("Connection: close");
  ASSERT_NE(answers.find("second"), std::string::npos) << answers;
  ASSERT_NE(close, std::string::npos) << answers;
  EXPECT_GT(close, answers.find("first"));
  EXPECT_EQ(answers.find("Connection: close", close + 1), std::string::npos);
}

TEST_F(PipeliningClient, UnframedResponse_LaterRequestsAreReportedToHandler)
{
  SendRequest("GET", "/never");
  SendRequest("GET", "/never");
  Run();
  HttpResponse unframed;
  unframed.isFramed_ = false;
  unframed.body_ = std::make_shared<const std::string>("to the end");
  handler_.unanswered_.at(0)(std::move(unframed));
  const auto answers = ReadToEnd(socket_);
  EXPECT_NE(answers.find("to the end"), std::string::npos);
  EXPECT_EQ(handler_.disconnected_, 1);
}

TEST_F(PipeliningClient, LastRequestAsksToClose_IsAnsweredAfterTheOthers)
{
  SendRequest("GET", "/echo");
  boost::asio::write(
    socket_,
    boost::asio::buffer(std::string("GET /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")));
  const auto answers = ReadToEnd(socket_);
  EXPECT_EQ(handler_.requests_, 2);
  EXPECT_NE(answers.find("200 OK", answers.find("200 OK") + 1), std::string::npos) << answers;
}

TEST_F(PipeliningClient, MalformedRequestAfterValidOne_IsAnsweredInOrder)
{
  SendRequest("GET", "/never");
  boost::asio::write(socket_, boost::asio::buffer(std::string("NONSENSE\r\n\r\n")));
  Run();
  EXPECT_EQ(Received(), "");
  handler_.Answer(0, "first");
  const auto answers = ReadToEnd(socket_);
  EXPECT_LT(answers.find("first"), answers.find(" 400 "));
  EXPECT_NE(answers.find(" 400 "), std::string::npos) << answers;
}

} // namespace

} // namespace latchslip
