// Sessions of HttpClient: a request that names one reaches only the process with which the session
// began.

#include "RepeatingServer.h"
#include "SendAndWait.h"

#include <gtest/gtest.h>
#include <memory>

namespace latchslip {

namespace {

constexpr std::size_t kMaxConnections = 4;
constexpr Duration kMaxIdleTime = milliseconds(20);

// A server that may restart at its address.
class RestartingServer : public testing::Test
{
protected:
  RestartingServer() { Start(0); }

  void Start(std::uint16_t aPort)
  {
    server_ = std::make_unique<RepeatingServer>(
      context_, [](const auto&) { return RepeatingServer::Reply{}; }, aPort);
  }

  // Ends the process, whose connections are closed, and starts another one.
  void Restart()
  {
    const auto port = server_->Port();
    server_.reset();
    Start(port);
  }

  HttpExchange Send(SessionNumber aSession, bool aUsesOwnConnection = false)
  {
    ExchangeOptions options;
    options.timeout_ = seconds(1);
    options.maxIdleTime_ = kMaxIdleTime;
    options.keepsSession_ = true;
    options.session_ = aSession;
    options.usesOwnConnection_ = aUsesOwnConnection;
    return SendAndWait(
      context_, *client_, server_->Address(), MakeNamedRequest("POST", "q1"), std::move(options));
  }

  void Pass(Duration aTime)
  {
    context_.restart();
    context_.run_for(std::chrono::microseconds(aTime.count()));
  }

  boost::asio::io_context context_;
  std::unique_ptr<RepeatingServer> server_;
  std::unique_ptr<HttpClient> client_ = HttpClient::Create(context_, kMaxConnections);
};

TEST_F(RestartingServer, ConnectionIsReused_SessionGoesOn)
{
  const auto first = Send(0);
  ASSERT_NE(first.session_, 0U);
  const auto second = Send(first.session_);
  EXPECT_EQ(second.end_, ExchangeEnd::Complete);
  EXPECT_EQ(second.connection_, first.connection_);
  EXPECT_EQ(second.session_, first.session_);
}

TEST_F(RestartingServer, ConnectionMayNotBeReused_SessionGoesOnOverAnother)
{
  const auto first = Send(0, true);
  Pass(2 * kMaxIdleTime);
  client_->PruneIdle();
  const auto second = Send(first.session_);
  EXPECT_EQ(second.end_, ExchangeEnd::Complete);
  EXPECT_NE(second.connection_, first.connection_);
  Pass(2 * kMaxIdleTime);
  const auto third = Send(first.session_, true);
  EXPECT_EQ(third.end_, ExchangeEnd::Complete);
  EXPECT_EQ(third.session_, first.session_);
  EXPECT_EQ(server_->Requests().size(), 3U);
}

// Guards against an idle connection that no longer counts as a proof although its probes are
// answered.
TEST_F(RestartingServer, NothingIsSentForSeconds_ProbesKeepTheSession)
{
  const auto first = Send(0);
  Pass(milliseconds(2600));
  const auto second = Send(first.session_);
  EXPECT_EQ(second.end_, ExchangeEnd::Complete);
  EXPECT_EQ(second.session_, first.session_);
}

// Guards against a command under a fence of the former incarnation that reaches the present one.
TEST_F(RestartingServer, ServerRestartsAtOnce_RequestOfTheFormerSessionIsNotSent)
{
  for (const bool usesOwnConnection : { false, true }) {
    const auto before = Send(0, usesOwnConnection);
    Restart();
    const auto after = Send(before.session_);
    EXPECT_EQ(after.end_, ExchangeEnd::NotSent);
    EXPECT_TRUE(after.isSessionEnded_);
    EXPECT_EQ(after.session_, 0U);
    Pass(milliseconds(20));
    EXPECT_TRUE(server_->Requests().empty());
    const auto next = Send(0);
    EXPECT_EQ(next.end_, ExchangeEnd::Complete);
    EXPECT_GT(next.session_, before.session_);
  }
}

TEST_F(RestartingServer, OtherRequestIsSentAfterTheRestart_FormerSessionStaysEnded)
{
  const auto before = Send(0);
  Restart();
  const auto next = Send(0);
  ASSERT_EQ(next.end_, ExchangeEnd::Complete);
  const auto late = Send(before.session_);
  EXPECT_EQ(late.end_, ExchangeEnd::NotSent);
  EXPECT_TRUE(late.isSessionEnded_);
  EXPECT_EQ(server_->Requests().size(), 1U);
}

} // namespace

} // namespace latchslip
