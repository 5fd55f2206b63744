// An instance as a child process, beside a server that sends what is no answer: its caller must be
// told what is true of the request.

#include "../LibNet/BrokenResponses.h"
#include "../LibNet/BytesServer.h"
#include "../LibNet/SendAndWait.h"
#include "EntryProcess.h"
#include "FleetDocuments.h"
#include "LibNet/MonotonicClock.h"
#include "platform/StandIn/StandInStore.h"

#include <gtest/gtest.h>
#include <memory>
#include <string>

namespace latchslip::platform {

namespace {

constexpr int kFirstPort = 23300;
constexpr int kInstancePort = kFirstPort + 10;
constexpr unsigned kBadGateway = 502;

class InstanceWithABrokenServer : public testing::Test
{
protected:
  void SetUp() override
  {
    store_->Put("op", "config", MakeManifest(3, "bookings"));
    store_->Put("servers", "b0", MakeServerEntry("bookings", server_.Address(), 1));
    ASSERT_TRUE(RunUntilServed());
  }

  // Returns an id that no request has had, so that requests may share a connection.
  std::string NextId() { return "q" + std::to_string(++requests_); }

  // Sends a request that must not run twice.
  HttpExchange Book(const std::string& aId)
  {
    ExchangeOptions options;
    options.timeout_ = seconds(3);
    return SendAndWait(context_,
                       *client_,
                       Loopback(kInstancePort),
                       MakeBooking(aId, seconds(2)),
                       std::move(options));
  }

  bool RunUntilServed()
  {
    const auto end = MonotonicNow() + seconds(15);
    while (MonotonicNow() < end) {
      const auto id = NextId();
      server_.bytes_ = MakeResponse("HTTP/1.1 200 OK", id, "");
      if (IsOk(Book(id))) {
        return true;
      }
      context_.restart();
      context_.run_for(milliseconds(50));
    }
    return false;
  }

  boost::asio::io_context context_{ 1 };
  std::unique_ptr<StandInStore> store_ =
    StandInStore::Create(context_, Loopback(kFirstPort)).value();
  BytesServer server_{ context_ };
  std::size_t requests_ = 0;
  std::unique_ptr<HttpClient> client_ = HttpClient::Create(context_, 4);
  EntryProcess process_{
    LATCHSLIP_ENTRY,
    "edge-broken",
    MakeSettings("edge-broken", kInstancePort, kInstancePort, Loopback(kFirstPort))
  };
};

// Guards against a broken answer that reaches a caller, or that costs him his connection.
TEST_F(InstanceWithABrokenServer, AnswerIsBroken_CallerIsToldThatTheOutcomeIsUnknown)
{
  const auto count = BrokenResponses("").size();
  for (std::size_t form = 0; form < count; ++form) {
    const auto id = NextId();
    const auto response = BrokenResponses(id).at(form);
    ASSERT_TRUE(RunUntilServed()) << "before " << response.name_;
    server_.bytes_ = response.bytes_;
    const auto connections = server_.Connections();
    const auto exchange = Book(id);
    ASSERT_EQ(exchange.end_, ExchangeEnd::Complete) << response.name_ << ": " << exchange.problem_;
    EXPECT_EQ(exchange.response_.status_, kBadGateway) << response.name_;
    EXPECT_TRUE(exchange.response_.Header("X-Response-Signature").empty()) << response.name_;
    EXPECT_TRUE(exchange.response_.Header("Retry-After").empty()) << response.name_;
    ASSERT_TRUE(RunUntilServed()) << "after " << response.name_;
    EXPECT_EQ(server_.Connections(), connections + 1) << response.name_;
  }
  EXPECT_FALSE(process_.HasEnded());
}

TEST_F(InstanceWithABrokenServer, AnswerIsOddButValid_CallerGetsIt)
{
  const auto count = OddResponses("").size();
  for (std::size_t form = 0; form < count; ++form) {
    const auto id = NextId();
    const auto response = OddResponses(id).at(form);
    // Some of them count against the server.
    ASSERT_TRUE(RunUntilServed()) << "before " << response.name_;
    server_.bytes_ = response.bytes_;
    const auto exchange = Book(id);
    ASSERT_EQ(exchange.end_, ExchangeEnd::Complete) << response.name_ << ": " << exchange.problem_;
    EXPECT_NE(exchange.response_.status_, kBadGateway) << response.name_;
    EXPECT_EQ(*exchange.response_.body_, "hello") << response.name_;
    EXPECT_EQ(exchange.response_.Header("X-Response-Signature"), "s1") << response.name_;
  }
}

} // namespace

} // namespace latchslip::platform
