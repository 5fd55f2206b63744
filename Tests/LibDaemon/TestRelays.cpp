// Exchanges with servers that another instance relays, over connections on this machine.

#include "../CountingEventSink.h"
#include "../LibNet/BrokenResponses.h"
#include "../LibNet/BytesServer.h"
#include "../LibNet/CuttingServer.h"
#include "../LibNet/RepeatingServer.h"
#include "LibDaemon/CommandSender.h"
#include "LibDaemon/RelayService.h"
#include "LibNet/MonotonicClock.h"
#include "LibNet/RelayCodec.h"

#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>
#include <optional>
#include <unistd.h>

namespace latchslip {

namespace {

// A server: echoes bodies, and does not answer "/never".
class EchoServer : public HttpHandler
{
public:
  void OnRequest(std::uint64_t, HttpRequest aRequest, HttpResponder aRespond) override
  {
    requests_.push_back(aRequest);
    if (aRequest.target_ == "/never") {
      unanswered_.push_back(std::move(aRespond));
      return;
    }
    HttpResponse response;
    response.status_ = 201;
    response.headers_ = { { "X-Signature", "abc" } };
    response.body_ = aRequest.body_;
    aRespond(std::move(response));
  }
  void OnClientDisconnected(std::uint64_t) override { ++disconnected_; }

  std::vector<HttpRequest> requests_;
  std::vector<HttpResponder> unanswered_;
  int disconnected_ = 0;
};

// An instance that ends after it has read a request.
class LostInstance : public HttpHandler
{
public:
  void OnRequest(std::uint64_t, HttpRequest, HttpResponder aRespond) override
  {
    aRespond(MakeLostResponse());
  }
  void OnClientDisconnected(std::uint64_t) override {}
};

// An instance that answers with bytes that are no relay answer.
class GarblingInstance : public HttpHandler
{
public:
  void OnRequest(std::uint64_t, HttpRequest, HttpResponder aRespond) override
  {
    aRespond(MakeHttpResponse(200, "no message"));
  }
  void OnClientDisconnected(std::uint64_t) override {}
};

// Commands are posted to "/grant"; any complete answer is success.
class CommandCodec : public GatewayCodec
{
public:
  RoutedRequest DecodeRequest(RequestNumber, const HttpRequest&) const override { return {}; }
  HttpRequest EncodeAttempt(const HttpRequest& aRequest, const AttemptCommand&) const override
  {
    return aRequest;
  }
  AttemptOutcome DecodeAttempt(const AttemptCommand&, const HttpExchange&) const override
  {
    return {};
  }
  HttpResponse EncodeAnswer(HttpResponse aAnswer) const override { return aAnswer; }
  HttpResponse EncodeRefusal(const RoutedRequest&, const Refusal&) const override { return {}; }
  std::string EchoHeader() const override { return {}; }
  HttpRequest EncodeCommand(const KeyCommand&) const override
  {
    HttpRequest request;
    request.method_ = "POST";
    request.target_ = "/grant";
    return request;
  }
  CommandOutcome DecodeCommand(const KeyCommand&, const HttpExchange& aExchange) const override
  {
    CommandOutcome outcome;
    outcome.end_ = aExchange.end_ == ExchangeEnd::Complete ? CommandStatus::Done
                   : aExchange.isRefused_                  ? CommandStatus::Refused
                                                           : CommandStatus::NotSent;
    return outcome;
  }
};

// An instance that relays to the server "s1", and one that asks it to.
class InstanceThatRelays : public testing::Test
{
protected:
  InstanceThatRelays()
  {
    server_ = Listen(echo_, serverAddress_);
    peer_ = Listen(service_, peerAddress_);
    directory_.Put(MonotonicNow(), { "s1", "rates", serverAddress_, "hall", 4, false, 1 });
    paths_.SetPeers({ { peerAddress_, { "hall", 1 } } });
  }

  // Searches for a free port, so that tests can run in parallel.
  std::unique_ptr<HttpServer> Listen(HttpHandler& aHandler, std::string& aAddress)
  {
    for (int port = 0; port < 1000; ++port) {
      aAddress = "127.0.0.1:" + std::to_string(22000 + (port + ::getpid() * 7) % 1000);
      auto created = HttpServer::Create(context_, aAddress, {}, aHandler);
      if (created) {
        return std::move(created).value();
      }
    }
    return nullptr;
  }

  RelayRequest MakeRequest(const std::string& aTarget) const
  {
    RelayRequest request;
    request.server_ = "s1";
    request.address_ = serverAddress_;
    request.options_.timeout_ = milliseconds(1000);
    request.options_.connectTimeout_ = milliseconds(200);
    request.request_.method_ = "POST";
    request.request_.target_ = aTarget;
    request.request_.headers_ = { { "X-Request-Id", "q1" } };
    request.request_.body_ = std::make_shared<const std::string>(std::string("a\0b", 3));
    return request;
  }

  ExchangeId Send(RelayRequest aRequest)
  {
    return client_.Send(
      peerAddress_, std::move(aRequest), [this](HttpExchange aExchange, PathResult aPath) {
        exchange_ = std::move(aExchange);
        path_ = aPath;
      });
  }

  bool RunUntil(const std::function<bool()>& aIsDone)
  {
    const auto end = MonotonicNow() + seconds(3);
    while (!aIsDone() && MonotonicNow() < end) {
      context_.restart();
      context_.run_for(milliseconds(5));
    }
    return aIsDone();
  }

  bool RunUntilEnded()
  {
    return RunUntil([this] { return exchange_.has_value(); });
  }

  // Sends a request and waits for its end without a limit in time, for exchanges whose number is
  // large.
  void SendToEnd(RelayRequest aRequest)
  {
    exchange_.reset();
    Send(std::move(aRequest));
    while (!exchange_) {
      context_.restart();
      context_.run_one();
    }
  }

  // Sends a command to a server of that id and address and returns how it ended.
  CommandStatus SendCommand(const std::string& aServer,
                            const std::string& aAddress,
                            bool aIsRenewal = false)
  {
    KeyCommand command;
    command.server_ = aServer;
    command.address_ = aAddress;
    command.isRenewal_ = aIsRenewal;
    std::optional<CommandOutcome> outcome;
    commands_.Send(command, [&](const CommandOutcome& aOutcome) { outcome = aOutcome; });
    EXPECT_TRUE(RunUntil([&] { return outcome.has_value(); }));
    return outcome ? outcome->end_ : CommandStatus::Unanswered;
  }

  // Answers the first request, sends that answer a second time in the place of the next one, and
  // answers no other request.
  static RepeatingServer::Answer AnswerTwiceThenNever()
  {
    return [isFirst = true](const RepeatingServer::Request&) mutable {
      RepeatingServer::Reply reply;
      reply.copy_ =
        isFirst ? RepeatingServer::SecondCopy::BeforeNext : RepeatingServer::SecondCopy::None;
      reply.isSent_ = std::exchange(isFirst, false);
      return reply;
    };
  }

  boost::asio::io_context context_;
  CountingEventSink events_;
  EchoServer echo_;
  std::string serverAddress_;
  std::string peerAddress_;
  ServerDirectory directory_;
  bool isStopping_ = false;
  // Of the instance that relays.
  ServerPaths peerPaths_{ "hall", 1, events_ };
  std::unique_ptr<HttpClient> attempts_ = HttpClient::Create(context_, 4);
  std::unique_ptr<HttpClient> forCommands_ = HttpClient::Create(context_, 4);
  ResponseMonitor responses_{ events_ };
  RelayService service_{
    *attempts_, *forCommands_, directory_, peerPaths_, [this] { return isStopping_; },
    responses_, events_
  };
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<HttpServer> peer_;
  // Of the instance that asks.
  ServerPaths paths_{ "hall", 1, events_ };
  RelayClient client_{ context_ };
  CommandCodec codec_;
  CommandSender commands_{ context_, codec_, paths_, client_, responses_ };
  std::optional<HttpExchange> exchange_;
  PathResult path_ = PathResult::Unknown;
};

TEST_F(InstanceThatRelays, ServerAnswers_RequestAndAnswerArriveUnchanged)
{
  Send(MakeRequest("/echo?x=1"));
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(path_, PathResult::Reached);
  EXPECT_EQ(exchange_->end_, ExchangeEnd::Complete);
  EXPECT_EQ(exchange_->response_.status_, 201U);
  EXPECT_EQ(*exchange_->response_.body_, std::string("a\0b", 3));
  EXPECT_EQ(exchange_->response_.Header("X-Signature"), "abc");
  ASSERT_EQ(echo_.requests_.size(), 1U);
  EXPECT_EQ(echo_.requests_[0].method_, "POST");
  EXPECT_EQ(echo_.requests_[0].target_, "/echo?x=1");
  EXPECT_EQ(echo_.requests_[0].Header("X-Request-Id"), "q1");
}

// Guards against the second copy of a refusal being taken for the answer to the repeat of a relayed
// request, which would then be refused although it runs.
TEST_F(InstanceThatRelays, ServerRefusesAndRepeatsTheRefusalLate_RepeatGetsItsOwnAnswer)
{
  constexpr unsigned kUnavailable = 503;
  RepeatingServer server(context_, [&server](const RepeatingServer::Request&) {
    return server.Requests().size() == 1
             ? RepeatingServer::Reply{ kUnavailable, RepeatingServer::SecondCopy::BeforeNext }
             : RepeatingServer::Reply{};
  });
  directory_.Put(MonotonicNow(), { "s2", "rates", server.Address(), "hall", 4, false, 1 });
  auto request = MakeRequest("/");
  request.server_ = "s2";
  request.address_ = server.Address();
  request.options_.echoHeader_ = "X-Request-Id";
  Send(request);
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(exchange_->response_.status_, kUnavailable);
  exchange_.reset();
  Send(request);
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(exchange_->response_.status_, 200U);
}

TEST_F(InstanceThatRelays, ServerIsNotListedAtTheAddress_DeclinesAndSendsNothing)
{
  auto request = MakeRequest("/echo");
  request.server_ = "s2";
  Send(request);
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(path_, PathResult::NotTried);
  EXPECT_EQ(exchange_->end_, ExchangeEnd::NotSent);
  EXPECT_TRUE(echo_.requests_.empty());
}

TEST_F(InstanceThatRelays, ServerIsListedAtAnotherAddress_DeclinesAndSendsNothing)
{
  directory_.Put(MonotonicNow(), { "s1", "rates", "127.0.0.1:9", "hall", 4, false, 2 });
  Send(MakeRequest("/echo"));
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(path_, PathResult::NotTried);
  EXPECT_TRUE(echo_.requests_.empty());
}

TEST_F(InstanceThatRelays, ServerIsLeaving_DeclinesRequestsButRelaysCommands)
{
  directory_.Put(MonotonicNow(), { "s1", "rates", serverAddress_, "hall", 4, true, 2 });
  Send(MakeRequest("/echo"));
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(path_, PathResult::NotTried);
  exchange_.reset();
  auto command = MakeRequest("/release");
  command.isCommand_ = true;
  Send(command);
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(exchange_->end_, ExchangeEnd::Complete);
}

// Guards against instances that run out of memory by what they relay.
TEST_F(InstanceThatRelays, MoreUnderWayThanItsBounds_DeclinesUntilSomeEnd)
{
  auto large = MakeRequest("/never");
  large.request_.body_ = std::make_shared<const std::string>(9UL * 1024 * 1024, 'x');
  const auto first = Send(large);
  ASSERT_TRUE(RunUntil([this] { return !echo_.unanswered_.empty(); }));
  Send(MakeRequest("/echo"));
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(path_, PathResult::NotTried);
  client_.Cancel(first);
  ASSERT_TRUE(RunUntil([this] { return service_.InFlight() == 0; }));
  exchange_.reset();
  Send(MakeRequest("/echo"));
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(path_, PathResult::Reached);
}

TEST_F(InstanceThatRelays, IsStopping_Declines)
{
  isStopping_ = true;
  Send(MakeRequest("/echo"));
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(path_, PathResult::NotTried);
}

TEST_F(InstanceThatRelays, IsCutOffItself_DeclinesAtOnce)
{
  for (const auto* server : { "s7", "s8", "s9" }) {
    peerPaths_.OnEnded(MonotonicNow(), server, "", PathResult::Unreachable);
  }
  Send(MakeRequest("/echo"));
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(path_, PathResult::NotTried);
  EXPECT_TRUE(echo_.requests_.empty());
}

TEST_F(InstanceThatRelays, ServerRefusesConnections_TellsThatItIsUnreachable)
{
  server_.reset();
  Send(MakeRequest("/echo"));
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(path_, PathResult::Unreachable);
  EXPECT_EQ(exchange_->end_, ExchangeEnd::NotSent);
  EXPECT_TRUE(exchange_->isRefused_);
}

TEST_F(InstanceThatRelays, ServerRefusesConnectionsAsAnotherDoes_TellsItsDoubt)
{
  peerPaths_.OnEnded(MonotonicNow(), "s9", "", PathResult::Unreachable);
  server_.reset();
  Send(MakeRequest("/echo"));
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(path_, PathResult::UnreachableInDoubt);
}

TEST_F(InstanceThatRelays, CallerCancels_ServersConnectionIsClosed)
{
  const auto id = Send(MakeRequest("/never"));
  ASSERT_TRUE(RunUntil([this] { return !echo_.unanswered_.empty(); }));
  client_.Cancel(id);
  EXPECT_TRUE(RunUntil([this] { return echo_.disconnected_ == 1; }));
  EXPECT_EQ(service_.InFlight(), 0U);
  EXPECT_FALSE(exchange_);
}

// Guards against a request called not run, or a server blamed, when the instance that relays ends.
TEST_F(InstanceThatRelays, ItIsLostOnTheWay_RequestMayHaveRunAndServerIsNotBlamed)
{
  LostInstance lost;
  const auto peer = Listen(lost, peerAddress_);
  Send(MakeRequest("/echo"));
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(path_, PathResult::NotTried);
  EXPECT_EQ(exchange_->end_, ExchangeEnd::Broken);
  EXPECT_FALSE(exchange_->isConnectionLost_);
}

// Guards against a request called not run when the instance that relayed it cannot be understood.
TEST_F(InstanceThatRelays, ItsAnswerIsMalformed_RequestMayHaveRun)
{
  GarblingInstance garbling;
  const auto peer = Listen(garbling, peerAddress_);
  Send(MakeRequest("/echo"));
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(path_, PathResult::NotTried);
  EXPECT_EQ(exchange_->end_, ExchangeEnd::Broken);
}

TEST_F(InstanceThatRelays, ItIsGone_NothingIsSent)
{
  peer_.reset();
  Send(MakeRequest("/echo"));
  ASSERT_TRUE(RunUntilEnded());
  EXPECT_EQ(path_, PathResult::NotTried);
  EXPECT_EQ(exchange_->end_, ExchangeEnd::NotSent);
}

// Guards against commands that an instance which was stopped for seconds sends when it goes on.
TEST_F(InstanceThatRelays, CommandArrivesAfterItsTime_IsNotSent)
{
  auto request = MakeRequest("/grant");
  request.isCommand_ = true;
  request.expiresAt_ = MonotonicNow() - milliseconds(1);
  HttpRequest call;
  call.body_ = std::make_shared<const std::string>(EncodeRelayRequest(request));
  std::optional<HttpResponse> response;
  service_.OnRequest(1, call, [&](HttpResponse aResponse) { response = std::move(aResponse); });
  ASSERT_TRUE(response);
  const auto answer = DecodeRelayAnswer(*response->body_);
  EXPECT_EQ(answer.value().path_, PathResult::NotTried);
  EXPECT_TRUE(echo_.requests_.empty());
}

TEST_F(InstanceThatRelays, MalformedRequest_IsRefusedWithAnError)
{
  HttpRequest call;
  call.body_ = std::make_shared<const std::string>("no message");
  std::optional<HttpResponse> response;
  service_.OnRequest(1, call, [&](HttpResponse aResponse) { response = std::move(aResponse); });
  ASSERT_TRUE(response);
  EXPECT_EQ(response->status_, 400U);
  EXPECT_EQ(events_.CountOf(Event::PeerRefused), 1);
}

// Guards against keys whose leases run out because the placer has lost its links to the servers.
TEST_F(InstanceThatRelays, PlacerIsCutOff_ItsCommandsReachTheServers)
{
  for (const auto* server : { "s1", "s8", "s9" }) {
    paths_.OnEnded(MonotonicNow(), server, "", PathResult::Unreachable);
  }
  EXPECT_EQ(SendCommand("s1", serverAddress_), CommandStatus::Done);
  EXPECT_EQ(service_.Relayed(), 1U);
  EXPECT_EQ(SendCommand("s1", serverAddress_), CommandStatus::Done);
}

// Guards against the second copy of the answer to one command being taken for the answer to
// another: keys would be given on while their former owner is still at work on them.
TEST_F(InstanceThatRelays, ServerRepeatsTheAnswerToARenewal_ReleaseIsNotDone)
{
  RepeatingServer server(context_, AnswerTwiceThenNever());
  EXPECT_EQ(SendCommand("s2", server.Address(), true), CommandStatus::Done);
  EXPECT_NE(SendCommand("s2", server.Address()), CommandStatus::Done);
}

TEST_F(InstanceThatRelays, ServerRepeatsTheAnswerToARelayedCommand_TheNextIsNotDone)
{
  RepeatingServer server(context_, AnswerTwiceThenNever());
  directory_.Put(MonotonicNow(), { "s2", "rates", server.Address(), "hall", 4, false, 1 });
  for (const auto* id : { "s7", "s8", "s9" }) {
    paths_.OnEnded(MonotonicNow(), id, "", PathResult::Unreachable);
  }
  EXPECT_EQ(SendCommand("s2", server.Address()), CommandStatus::Done);
  EXPECT_NE(SendCommand("s2", server.Address()), CommandStatus::Done);
  EXPECT_GE(service_.Relayed(), 2U);
}

TEST_F(InstanceThatRelays, RenewalsFollowEachOther_ShareAConnection)
{
  RepeatingServer server(context_, [](const auto&) { return RepeatingServer::Reply{}; });
  for (int renewal = 0; renewal < 3; ++renewal) {
    EXPECT_EQ(SendCommand("s2", server.Address(), true), CommandStatus::Done);
  }
  EXPECT_EQ(server.Requests().back().connection_, 1U);
}

// Guards against keys that are given on while their server lives, because the links of the placer
// refuse connections.
TEST_F(InstanceThatRelays, PlacerIsCutOffAndServerIsUnlisted_RefusedConnectionProvesNothing)
{
  // Nobody listens there.
  const std::string address = "127.0.0.1:9";
  paths_.OnEnded(MonotonicNow(), "s8", "", PathResult::Unreachable);
  EXPECT_EQ(SendCommand("gone", address), CommandStatus::NotSent);
}

// Guards against keys that are given on while their server lives again, because another instance
// could not reach it earlier.
TEST_F(InstanceThatRelays, ServerWasGoneAndPlacerIsInDoubt_RefusedConnectionProvesNothing)
{
  server_.reset();
  EXPECT_EQ(SendCommand("s1", serverAddress_), CommandStatus::Refused);
  paths_.OnEnded(MonotonicNow(), "s8", "", PathResult::Unreachable);
  EXPECT_EQ(SendCommand("s1", serverAddress_), CommandStatus::NotSent);
  EXPECT_EQ(service_.Relayed(), 1U);
}

TEST_F(InstanceThatRelays, ServerRefusesBoth_CommandIsRefused)
{
  server_.reset();
  EXPECT_EQ(SendCommand("s1", serverAddress_), CommandStatus::Refused);
}

// Guards against a part of a server's response that another instance passes on as a whole one.
TEST_F(InstanceThatRelays, ServersResponseIsCutAtAnyByte_ExchangeIsBroken)
{
  for (const auto& form : ResponseForms()) {
    const auto whole = form.make_("q1");
    const auto headSize = whole.find("\r\n\r\n") + 4;
    CuttingServer server(context_, form.make_);
    directory_.Put(MonotonicNow(), { "s1", "rates", server.Address(), "hall", 4, false, 2 });
    for (const auto& cut : CutsOf(whole.size())) {
      server.cut_ = cut;
      auto request = MakeRequest("/");
      request.address_ = server.Address();
      SendToEnd(std::move(request));
      const bool isWhole = form.isUnframed_ && !cut.isReset_ && cut.at_ >= headSize;
      EXPECT_EQ(exchange_->end_, isWhole ? ExchangeEnd::Complete : ExchangeEnd::Broken)
        << form.name_ << " at " << cut.at_ << " reset " << cut.isReset_;
    }
  }
}

// Guards against a part of a relaying instance's answer that is taken for a whole one.
TEST_F(InstanceThatRelays, ItsAnswerIsCutAtAnyByte_ExchangeIsBroken)
{
  RelayAnswer answer;
  answer.exchange_.end_ = ExchangeEnd::Complete;
  answer.exchange_.response_ = MakeHttpResponse(200, "hello, world");
  answer.path_ = PathResult::Reached;
  const auto body = EncodeRelayAnswer(answer);
  const auto whole =
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  CuttingServer instance(context_, [&](const std::string&) { return whole; });
  peerAddress_ = instance.Address();
  for (const auto& cut : CutsOf(whole.size())) {
    instance.cut_ = cut;
    SendToEnd(MakeRequest("/"));
    EXPECT_EQ(exchange_->end_, ExchangeEnd::Broken) << "at " << cut.at_;
  }
  instance.cut_ = { whole.size(), false, false };
  SendToEnd(MakeRequest("/"));
  EXPECT_EQ(exchange_->end_, ExchangeEnd::Complete);
}

// Guards against a server's broken response that another instance passes on as an answer.
TEST_F(InstanceThatRelays, ServersResponseIsBroken_ExchangeIsBroken)
{
  BytesServer server(context_);
  directory_.Put(MonotonicNow(), { "s1", "rates", server.Address(), "hall", 4, false, 2 });
  for (const auto& response : BrokenResponses("q1")) {
    server.bytes_ = response.bytes_;
    auto request = MakeRequest("/");
    request.address_ = server.Address();
    request.options_.echoHeader_ = "X-Request-Id";
    SendToEnd(std::move(request));
    EXPECT_EQ(exchange_->end_, ExchangeEnd::Broken) << response.name_;
  }
}

// Guards against a request called not run because of an answer that is none.
TEST_F(InstanceThatRelays, ItsOwnResponseIsBroken_RequestMayHaveRun)
{
  BytesServer instance(context_);
  peerAddress_ = instance.Address();
  for (const auto& response : BrokenResponses("q1")) {
    instance.bytes_ = response.bytes_;
    SendToEnd(MakeRequest("/"));
    EXPECT_EQ(exchange_->end_, ExchangeEnd::Broken) << response.name_;
    EXPECT_EQ(path_, PathResult::NotTried) << response.name_;
  }
}

// Guards against a server's broken response in the answer of an instance that does not check it.
TEST_F(InstanceThatRelays, ItPassesOnABrokenResponse_ExchangeIsBroken)
{
  const std::vector<HttpHeader> spoiled{
    { "X Note", "1" }, { " X-Note", "1" }, { "X-Note\x01", "1" }, { "", "1" }, { "X-Note", "1\n2" }
  };
  std::vector<HttpResponse> responses;
  for (const unsigned status : { 0U, 1U, 99U, 600U, 70000U }) {
    responses.push_back(MakeHttpResponse(status, "hello"));
  }
  for (const auto& header : spoiled) {
    responses.push_back(MakeHttpResponse(200, "hello"));
    responses.back().headers_ = { header };
  }
  responses.push_back(MakeHttpResponse(200, "hello"));
  responses.back().contentType_ = "a\r\nb";
  BytesServer instance(context_);
  peerAddress_ = instance.Address();
  for (const auto& response : responses) {
    RelayAnswer answer;
    answer.path_ = PathResult::Reached;
    answer.exchange_.end_ = ExchangeEnd::Complete;
    answer.exchange_.response_ = response;
    const auto body = EncodeRelayAnswer(answer);
    instance.bytes_ =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    SendToEnd(MakeRequest("/"));
    EXPECT_EQ(exchange_->end_, ExchangeEnd::Broken) << response.status_;
    EXPECT_EQ(path_, PathResult::NotTried) << response.status_;
  }
}

} // namespace

} // namespace latchslip
