// Responses that a server sends a second time: none may be taken for the response to another
// request, or to a repeat of its own.

#include "RepeatingServer.h"
#include "SendAndWait.h"

#include <gtest/gtest.h>

namespace latchslip {

namespace {

using SecondCopy = RepeatingServer::SecondCopy;

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr std::size_t kMaxConnections = 2;

// A server that refuses the first request and serves all others. The response to the first is sent
// twice.
class ServerRepeatsARefusal : public testing::TestWithParam<SecondCopy>
{
protected:
  RepeatingServer::Reply Answer() const
  {
    const bool isFirst = server_.Requests().size() == 1;
    return isFirst ? RepeatingServer::Reply{ kUnavailable, GetParam() } : RepeatingServer::Reply{};
  }

  HttpExchange Send(const std::string& aId)
  {
    ExchangeOptions options;
    options.timeout_ = seconds(2);
    options.echoHeader_ = kRequestIdHeader;
    return SendAndWait(
      context_, *client_, server_.Address(), MakeNamedRequest("POST", aId), std::move(options));
  }

  // Lets a second copy arrive.
  void Wait()
  {
    context_.restart();
    context_.run_for(milliseconds(30));
  }

  boost::asio::io_context context_;
  RepeatingServer server_{ context_, [this](const auto&) { return Answer(); } };
  std::unique_ptr<HttpClient> client_ = HttpClient::Create(context_, kMaxConnections);
};

// Guards against the second copy of a refusal being taken for the response to the repeat of the
// same request: a request that runs would be refused, or sent a third time and run twice.
TEST_P(ServerRepeatsARefusal, RequestIsSentAgain_GetsItsOwnResponse)
{
  EXPECT_EQ(Send("q1").response_.status_, kUnavailable);
  EXPECT_EQ(Send("q1").response_.status_, kOk);
  EXPECT_EQ(server_.Requests().size(), 2U);
}

TEST_P(ServerRepeatsARefusal, RequestIsSentAgainLater_GetsItsOwnResponse)
{
  EXPECT_EQ(Send("q1").response_.status_, kUnavailable);
  Wait();
  EXPECT_EQ(Send("q1").response_.status_, kOk);
}

TEST_P(ServerRepeatsARefusal, RequestIsSentAgainAfterAnother_BothGetTheirOwnResponses)
{
  EXPECT_EQ(Send("q1").response_.status_, kUnavailable);
  EXPECT_EQ(Send("q2").response_.status_, kOk);
  EXPECT_EQ(Send("q1").response_.status_, kOk);
}

TEST_P(ServerRepeatsARefusal, RequestsHaveNoId_EachGetsItsOwnResponse)
{
  EXPECT_EQ(Send("").response_.status_, kUnavailable);
  EXPECT_EQ(Send("").response_.status_, kOk);
  EXPECT_EQ(Send("").response_.status_, kOk);
}

INSTANTIATE_TEST_SUITE_P(SecondCopies,
                         ServerRepeatsARefusal,
                         testing::Values(SecondCopy::AtOnce,
                                         SecondCopy::WhileIdle,
                                         SecondCopy::BeforeNext));

// The same server, and copies in the place of the next response.
class ServerRepeatsARefusalLate : public ServerRepeatsARefusal
{};

TEST_P(ServerRepeatsARefusalLate, RequestIsSentAgain_UsesAnotherConnection)
{
  Send("q1");
  Send("q1");
  Send("q1");
  ASSERT_EQ(server_.Requests().size(), 3U);
  EXPECT_EQ(server_.Requests()[0].connection_, 1U);
  EXPECT_EQ(server_.Requests()[1].connection_, 2U);
  // The client has only two connections to an address, so it has replaced one of them.
  EXPECT_EQ(server_.Requests()[2].connection_, 3U);
}

TEST_P(ServerRepeatsARefusalLate, OtherRequestsFollow_UseTheConnectionAgain)
{
  Send("q1");
  Send("q2");
  EXPECT_EQ(server_.Requests()[1].connection_, 1U);
  // That one has carried a response to another request, so it was closed.
  Send("q3");
  EXPECT_EQ(server_.Requests()[2].connection_, 2U);
  Send("q4");
  EXPECT_EQ(server_.Requests()[3].connection_, 2U);
}

// Second copies show in the exchange that skipped them, so that the log can tell whether servers
// send any.
TEST_P(ServerRepeatsARefusalLate, AnotherRequestFollows_CountsTheSkippedResponse)
{
  EXPECT_EQ(Send("q1").otherResponses_, 0U);
  EXPECT_EQ(Send("q2").otherResponses_, 1U);
  EXPECT_EQ(Send("q3").otherResponses_, 0U);
}

INSTANTIATE_TEST_SUITE_P(SecondCopies,
                         ServerRepeatsARefusalLate,
                         testing::Values(SecondCopy::BeforeNext));

} // namespace

} // namespace latchslip
