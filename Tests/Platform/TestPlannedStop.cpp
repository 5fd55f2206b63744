// An instance as a child process that is stopped as planned, while the body of a request is still
// on its way.

#include "EntryProcess.h"
#include "FleetDocuments.h"
#include "LibNet/HttpClient.h"
#include "LibNet/MonotonicClock.h"
#include "platform/StandIn/StandInBackend.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>

namespace latchslip::platform {

namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr int kFirstPort = 23200;
constexpr int kInstancePort = kFirstPort + 10;
// How long bookings take; rates are served at once.
constexpr Duration kBookingTime = milliseconds(3000);
constexpr Duration kBookingLimit = milliseconds(4000);
// From the signal to the end of the late bodies. The grace is 6 s.
constexpr Duration kLateness = milliseconds(3400);

// A request whose head is sent at once, and its body later.
class SlowCaller
{
public:
  SlowCaller(asio::io_context& aContext,
             const std::string& aPath,
             const std::string& aId,
             Duration aTimeLeft)
    : socket_(aContext)
  {
    socket_.connect({ asio::ip::address_v4::loopback(), kInstancePort });
    const auto head =
      "POST " + aPath + " HTTP/1.1\r\nHost: a.example\r\nX-Shard-Key: 1\r\nX-Request-Id: " + aId +
      "\r\nX-Deadline-Ms: " + std::to_string(duration_cast<milliseconds>(aTimeLeft).count()) +
      "\r\nContent-Length: 4\r\n\r\nbo";
    asio::write(socket_, asio::buffer(head));
  }

  void SendRest()
  {
    asio::write(socket_, asio::buffer(std::string("dy")));
    asio::async_read(
      socket_, asio::dynamic_buffer(received_), [this](boost::system::error_code, std::size_t) {
        closedAt_ = MonotonicNow();
      });
  }

  // What the instance has sent.
  const std::string& Received() const { return received_; }
  // When the instance closed the connection; zero if it has not.
  Instant ClosedAt() const { return closedAt_; }

private:
  tcp::socket socket_;
  std::string received_;
  Instant closedAt_{ 0 };
};

class InstanceThatStops : public testing::Test
{
protected:
  void SetUp() override
  {
    store_->Put("op", "config", MakeManifest(3, "bookings"));
    AddServer("b0", "bookings", 300, kBookingTime);
    AddServer("k0", "rates", 301, milliseconds(1));
    ASSERT_TRUE(RunUntilServed());
  }

  void AddServer(const std::string& aId, const std::string& aService, int aPort, Duration aTime)
  {
    StandInBackend::Settings settings;
    settings.id_ = aId;
    settings.service_ = aService;
    settings.address_ = Loopback(kFirstPort + aPort);
    settings.isKeyed_ = aService == "rates";
    settings.serviceTime_ = aTime;
    servers_[aId] = StandInBackend::Create(context_, settings, *store_).value();
  }

  void Run(Duration aTime)
  {
    context_.restart();
    context_.run_for(aTime);
  }

  bool RunUntilServed()
  {
    const auto client = HttpClient::Create(context_, 1);
    bool isServed = false;
    const auto end = MonotonicNow() + seconds(15);
    while (!isServed && MonotonicNow() < end) {
      HttpRequest request;
      request.method_ = "GET";
      request.target_ = "/rates/1";
      request.headers_ = { { "Host", "a.example" },
                           { "X-Request-Id", "first" },
                           { "X-Shard-Key", "1" } };
      client->Send(Loopback(kInstancePort),
                   std::move(request),
                   milliseconds(400),
                   [&](const HttpExchange& aExchange) {
                     constexpr unsigned kOk = 200;
                     isServed = aExchange.end_ == ExchangeEnd::Complete &&
                                aExchange.response_.status_ == kOk;
                   });
      Run(milliseconds(500));
    }
    return isServed;
  }

  // Stops the instance while it waits for the rest of the caller's request, and lets the caller
  // send that rest so much later. Returns when the caller began to.
  Instant StopAndSendRest(SlowCaller& aCaller, Duration aLateness)
  {
    Run(milliseconds(100));
    process_.Signal(SIGTERM);
    Run(aLateness);
    const auto sentAt = MonotonicNow();
    aCaller.SendRest();
    return sentAt;
  }

  void RunUntilClosed(const SlowCaller& aCaller)
  {
    while (aCaller.ClosedAt() == Instant(0) && !process_.HasEnded()) {
      Run(milliseconds(5));
    }
  }

  bool HasRun(const std::string& aServer, const std::string& aRequest) const
  {
    return servers_.at(aServer)->Runs().contains(aRequest);
  }

  asio::io_context context_{ 1 };
  std::unique_ptr<StandInStore> store_ =
    StandInStore::Create(context_, Loopback(kFirstPort)).value();
  std::map<std::string, std::unique_ptr<StandInBackend>> servers_;
  EntryProcess process_{
    LATCHSLIP_ENTRY,
    "edge-stops",
    MakeSettings("edge-stops", kInstancePort, kInstancePort, Loopback(kFirstPort))
  };
};

// Guards against a late request that is passed on and then cut at the end of the grace.
TEST_F(InstanceThatStops, LateRequestMayOutlastTheGrace_IsRefusedAtOnceAndNotRun)
{
  SlowCaller late(context_, "/book/1", "late", kBookingLimit);
  const auto sentAt = StopAndSendRest(late, kLateness);
  RunUntilClosed(late);
  Run(milliseconds(5));
  EXPECT_EQ(late.Received().find("HTTP/1.1 503 "), 0U) << late.Received();
  EXPECT_NE(late.Received().find("Retry-After: 0.05"), std::string::npos) << late.Received();
  EXPECT_NE(late.Received().find("Connection: close"), std::string::npos) << late.Received();
  EXPECT_LT(late.ClosedAt() - sentAt, milliseconds(500));
  EXPECT_EQ(process_.Wait(), 0);
  Run(milliseconds(100));
  EXPECT_FALSE(HasRun("b0", "late"));
}

TEST_F(InstanceThatStops, LateRequestEndsWithinTheGrace_IsServed)
{
  SlowCaller late(context_, "/rates/1", "late", milliseconds(1500));
  StopAndSendRest(late, kLateness);
  RunUntilClosed(late);
  EXPECT_EQ(late.Received().find("HTTP/1.1 200 "), 0U) << late.Received();
  EXPECT_EQ(process_.Wait(), 0);
  EXPECT_TRUE(HasRun("k0", "late"));
}

// A request that was taken before the instance closes is served to its end.
TEST_F(InstanceThatStops, RequestIsUnderWay_IsServed)
{
  SlowCaller early(context_, "/book/1", "early", kBookingLimit);
  StopAndSendRest(early, milliseconds(2300));
  RunUntilClosed(early);
  EXPECT_EQ(early.Received().find("HTTP/1.1 200 "), 0U) << early.Received();
  EXPECT_EQ(process_.Wait(), 0);
}

} // namespace

} // namespace latchslip::platform
