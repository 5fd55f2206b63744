// An instance as a child process, beside servers that send bytes without end in place of answers:
// it must cost neither the instance's memory nor the callers of another service.

#include "EntryProcess.h"
#include "FleetDocuments.h"
#include "LibNet/HttpClient.h"
#include "LibNet/MonotonicClock.h"
#include "Soak/LoopbackProxy.h"
#include "platform/StandIn/StandInBackend.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace latchslip::platform {

namespace {

constexpr int kFirstPort = 23600;
constexpr int kInstancePort = kFirstPort + 10;
constexpr int kServerPort = kFirstPort + 300;
constexpr int kBookingServers = 3;
constexpr std::size_t kBookingCallers = 60;
constexpr std::size_t kReadCallers = 4;
constexpr Duration kCallerTimeout = seconds(2);
// How long servers send bytes of one kind.
constexpr Duration kFaultTime = milliseconds(1000);
constexpr std::size_t kMegabyte = 1024UL * 1024;
// By how much the memory of an instance may grow.
constexpr std::size_t kMaxMemoryGrowth = 64 * kMegabyte;
constexpr unsigned kOk = 200;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kGatewayTimeout = 504;

// One instance, three servers of bookings behind proxies, one sound server of reads, and callers of
// both that send one request after the other.
class InstanceWithFaultyServers : public testing::Test
{
protected:
  void SetUp() override
  {
    store_ = StandInStore::Create(context_, Loopback(kFirstPort)).value();
    store_->Put("op", "config", MakeManifest(3, "bookings"));
    for (int number = 0; number < kBookingServers; ++number) {
      const auto port = kServerPort + 2 * number;
      links_.push_back(LoopbackProxy::Create(context_, Loopback(port + 1), Loopback(port)).value());
      AddServer("b" + std::to_string(number), "bookings", port, Loopback(port + 1));
    }
    AddServer("k0", "rates", kServerPort + 100, "");
    process_ = std::make_unique<EntryProcess>(
      LATCHSLIP_ENTRY,
      "edge-endless",
      MakeSettings("edge-endless", kInstancePort, kInstancePort, Loopback(kFirstPort)));
    ASSERT_TRUE(RunUntilServed());
    for (std::size_t caller = 0; caller < kBookingCallers + kReadCallers; ++caller) {
      Call(caller < kBookingCallers);
    }
    Run(kFaultTime);
  }

  void TearDown() override
  {
    isOver_ = true;
    const auto end = MonotonicNow() + 2 * kCallerTimeout;
    while (underWay_ > 0 && MonotonicNow() < end) {
      Run(milliseconds(10));
    }
  }

  void AddServer(const std::string& aId,
                 const std::string& aService,
                 int aPort,
                 const std::string& aRecordAddress)
  {
    StandInBackend::Settings settings;
    settings.id_ = aId;
    settings.service_ = aService;
    settings.address_ = Loopback(aPort);
    settings.recordAddress_ = aRecordAddress;
    settings.isKeyed_ = aService == "rates";
    servers_.push_back(StandInBackend::Create(context_, settings, *store_).value());
  }

  void Run(Duration aTime)
  {
    context_.restart();
    context_.run_for(aTime);
  }

  bool RunUntilServed()
  {
    const auto end = MonotonicNow() + seconds(15);
    while (MonotonicNow() < end && readStatuses_[kOk] == 0) {
      isOver_ = true;
      Call(false);
      Run(milliseconds(100));
    }
    isOver_ = false;
    return readStatuses_[kOk] > 0;
  }

  // Sends requests of one caller, one after the other.
  void Call(bool aIsBooking)
  {
    ++underWay_;
    HttpRequest request;
    request.method_ = aIsBooking ? "POST" : "GET";
    request.target_ = aIsBooking ? "/book/1" : "/rates/1";
    request.headers_ = { { "Host", "a.example" },
                         { "X-Request-Id", "q" + std::to_string(++sentCount_) },
                         { "X-Deadline-Ms",
                           std::to_string(duration_cast<milliseconds>(kCallerTimeout).count()) },
                         { "X-Shard-Key", "1" } };
    client_->Send(Loopback(kInstancePort),
                  std::move(request),
                  2 * kCallerTimeout,
                  [this, aIsBooking, sentAt = MonotonicNow()](const HttpExchange& aExchange) {
                    --underWay_;
                    OnAnswered(aIsBooking, MonotonicNow() - sentAt, aExchange);
                  });
  }

  void OnAnswered(bool aIsBooking, Duration aLatency, const HttpExchange& aExchange)
  {
    const auto status = aExchange.end_ == ExchangeEnd::Complete ? aExchange.response_.status_ : 0;
    ++(aIsBooking ? bookingStatuses_ : readStatuses_)[status];
    if (!aIsBooking) {
      readLatencies_.push_back(aLatency);
    }
    if (!isOver_) {
      Call(aIsBooking);
    }
  }

  // Lets the first aCount booking servers send bytes of that kind without end for a while. Returns
  // by how much the instance's memory grew at most, in bytes, and prints what callers saw.
  std::size_t Disturb(EndlessKind aKind, bool aIsSlow, std::size_t aCount)
  {
    bookingStatuses_.clear();
    readLatencies_.clear();
    process_->ResetPeakMemory();
    for (std::size_t number = 0; number < aCount; ++number) {
      links_[number]->SetAnswerFault({ 1, std::nullopt, aKind, aIsSlow });
    }
    Run(kFaultTime);
    for (auto& link : links_) {
      link->SetAnswerFault({});
    }
    const auto peak = process_->PeakMemory();
    const auto growth = peak - std::min(peak, memoryBefore_);
    std::sort(readLatencies_.begin(), readLatencies_.end());
    const auto p99 =
      readLatencies_.empty() ? Duration(0) : readLatencies_[readLatencies_.size() * 99 / 100];
    std::cout << kEndlessKindNames.NameOf(aKind) << (aIsSlow ? " slow " : " fast ") << aCount
              << ": memory +" << growth / kMegabyte << " MB, reads " << readLatencies_.size()
              << " p99 " << ToSeconds(p99) * 1000 << " ms, bookings";
    for (const auto& [status, count] : bookingStatuses_) {
      std::cout << ' ' << status << ": " << count;
    }
    std::cout << std::endl;
    return growth;
  }

  // Disturbs answers with each kind in succession, and expects that memory stays within its bound
  // and that reads get no other answer than before.
  void ExpectBounded(bool aIsSlow, std::size_t aCount)
  {
    process_->ResetPeakMemory();
    memoryBefore_ = process_->PeakMemory();
    readStatuses_.clear();
    for (std::size_t kind = 0; kind < kEndlessKindNames.names_.size(); ++kind) {
      EXPECT_LE(Disturb(static_cast<EndlessKind>(kind), aIsSlow, aCount), kMaxMemoryGrowth)
        << kEndlessKindNames.names_.at(kind);
    }
    EXPECT_EQ(readStatuses_.size(), 1U);
    EXPECT_GT(readStatuses_[kOk], 0);
    EXPECT_FALSE(process_->HasEnded());
  }

  boost::asio::io_context context_{ 1 };
  std::unique_ptr<StandInStore> store_;
  std::vector<std::unique_ptr<LoopbackProxy>> links_;
  std::vector<std::unique_ptr<StandInBackend>> servers_;
  std::unique_ptr<HttpClient> client_ =
    HttpClient::Create(context_, 2 * (kBookingCallers + kReadCallers));
  std::unique_ptr<EntryProcess> process_;
  bool isOver_ = false;
  std::size_t underWay_ = 0;
  std::size_t sentCount_ = 0;
  std::size_t memoryBefore_ = 0;
  std::map<unsigned, int> bookingStatuses_;
  std::map<unsigned, int> readStatuses_;
  std::vector<Duration> readLatencies_;
};

// Guards against a server whose answers never end using up the memory of an instance, or the time
// of the callers of another service.
TEST_F(InstanceWithFaultyServers, OneSendsWithoutEnd_MemoryAndOtherServiceAreBounded)
{
  ExpectBounded(false, 1);
}

TEST_F(InstanceWithFaultyServers, OneSendsSlowlyWithoutEnd_MemoryAndOtherServiceAreBounded)
{
  ExpectBounded(true, 1);
}

TEST_F(InstanceWithFaultyServers, AllSendWithoutEnd_MemoryAndOtherServiceAreBounded)
{
  ExpectBounded(false, kBookingServers);
}

// Guards against callers that wait until their time limit for bytes that are known to be no answer.
TEST_F(InstanceWithFaultyServers, OneSendsWhatIsNoAnswer_CallersAreToldBeforeTheirTimeLimit)
{
  for (const auto kind : { EndlessKind::Head,
                           EndlessKind::ChunkExtension,
                           EndlessKind::ChunkExtensions,
                           EndlessKind::Trailers,
                           EndlessKind::InterimAnswers,
                           EndlessKind::OtherAnswers }) {
    Disturb(kind, false, 1);
    Run(kCallerTimeout);
    EXPECT_GT(bookingStatuses_[kBadGateway], 0) << kEndlessKindNames.NameOf(kind);
    EXPECT_EQ(bookingStatuses_[kGatewayTimeout], 0) << kEndlessKindNames.NameOf(kind);
  }
}

} // namespace

} // namespace latchslip::platform
