// Simulates a service at full load, with many instances, each of which gets an answer from a given
// server only every few seconds. Server speeds differ, and at any time one in five servers is three
// times slower, another one every 0.4 s, because servers share their machines. A server whose queue
// is full resets the connection, which leaves the outcome of the request unknown.
//
// The parameters are those of a medium-size deployment: 34 servers with 3 slots and a queue of 12;
// work of 90 ms, in time within 300 ms, given up after a second; an answer in time counts 1, a late
// one 0.5.

#include "LibPermit/PermitDispatcher.h"

#include <deque>
#include <functional>
#include <gtest/gtest.h>
#include <queue>
#include <random>

namespace latchslip {

namespace {

constexpr std::size_t kServers = 34;
constexpr std::size_t kSlots = 3;
constexpr std::size_t kQueue = 12;
constexpr std::size_t kInstances = 74;
constexpr Duration kWork = milliseconds(90);
constexpr Duration kInTime = milliseconds(300);
constexpr Duration kTimeLeft = milliseconds(1000);
constexpr double kSpeeds[] = { 0.7, 0.7, 1.6 };
constexpr double kSlowShare = 0.2;
constexpr double kSlowFactor = 3;
constexpr Duration kSlowInterval = milliseconds(400);
// One-way latency between an instance and the dispatcher or a server.
constexpr Duration kOneWayLatency = milliseconds(2);
constexpr Duration kDay = seconds(20);

// Outcome of the requests of a simulated day.
struct DayResult
{
  double value_ = 0;
  std::size_t requests_ = 0;
  std::size_t resets_ = 0;
  std::size_t refused_ = 0;

  double MeanValue() const { return value_ / static_cast<double>(requests_); }
};

// Servers of a service and the instances that send to them, on a simulated clock.
class LoadWorld : private DispatcherActions
{
public:
  // aLoad is the request rate relative to the capacity of the servers at their mean speeds.
  LoadWorld(unsigned aSeed, double aLoad)
    : random_(aSeed)
    , load_(aLoad)
    , servers_(kServers)
  {
    RoutingConfiguration configuration;
    configuration.version_ = 1;
    configuration.services_ = { { "rates", 500, false } };
    for (std::size_t index = 0; index < kServers; ++index) {
      directory_.Put(now_, { IdOf(index), "rates", IdOf(index) + ":80", "hall", kSlots, false, 1 });
    }
    dispatcher_.SetRoutes(
      now_, std::make_shared<const RouteTable>(RouteTable::Create(configuration).value()));
  }

  // Without a dispatcher: each instance sends to the better of two random servers by their normal
  // speeds, which is all that an instance can know.
  DayResult RunWithoutDispatcher()
  {
    send_ = [this](std::size_t aRequest) {
      const auto one = random_() % kServers;
      const auto other = random_() % kServers;
      Arrive(aRequest, SpeedOf(one) <= SpeedOf(other) ? one : other);
    };
    return Run();
  }

  DayResult RunWithDispatcher()
  {
    send_ = [this](std::size_t aRequest) { RequestPermit(aRequest); };
    return Run();
  }

private:
  struct Request
  {
    Instant begin_{ 0 };
    Instant sent_{ 0 };
  };

  struct Server
  {
    std::size_t running_ = 0;
    std::deque<std::size_t> waiting_;
    double slowdown_ = 1;
  };

  struct Step
  {
    Instant at_{ 0 };
    std::uint64_t order_ = 0;
    std::function<void()> act_;
    bool operator>(const Step& aOther) const
    {
      return std::tie(at_, order_) > std::tie(aOther.at_, aOther.order_);
    }
  };

  static std::string IdOf(std::size_t aServer) { return "s" + std::to_string(aServer); }
  static double SpeedOf(std::size_t aServer) { return kSpeeds[aServer % std::size(kSpeeds)]; }

  void In(Duration aTime, std::function<void()> aAct)
  {
    steps_.push({ now_ + aTime, ++order_, std::move(aAct) });
  }

  DayResult Run()
  {
    for (std::size_t server = 0; server < kServers; ++server) {
      ChangeSpeed(server);
    }
    NextRequest();
    CheckQueue();
    const auto end = now_ + kDay;
    while (!steps_.empty() && steps_.top().at_ < end) {
      auto step = steps_.top();
      steps_.pop();
      now_ = step.at_;
      step.act_();
    }
    return result_;
  }

  void CheckQueue()
  {
    dispatcher_.OnTime(now_);
    In(milliseconds(5), [this] { CheckQueue(); });
  }

  void ChangeSpeed(std::size_t aServer)
  {
    std::bernoulli_distribution isSlow(kSlowShare);
    servers_[aServer].slowdown_ = isSlow(random_) ? kSlowFactor : 1;
    In(kSlowInterval, [this, aServer] { ChangeSpeed(aServer); });
  }

  void NextRequest()
  {
    double rate = 0;
    for (std::size_t server = 0; server < kServers; ++server) {
      rate += kSlots / (ToSeconds(kWork) * SpeedOf(server));
    }
    rate *= load_ / (1 + kSlowShare * (kSlowFactor - 1));
    std::exponential_distribution<double> pause(rate);
    constexpr double kMicroseconds = 1e6;
    In(Duration(static_cast<Duration::rep>(pause(random_) * kMicroseconds)), [this] {
      requests_.push_back({ now_, now_ });
      ++result_.requests_;
      send_(requests_.size() - 1);
      NextRequest();
    });
  }

  void RequestPermit(std::size_t aRequest)
  {
    PermitRequest request;
    request.number_ = aRequest;
    request.service_ = "rates";
    request.hall_ = "hall";
    request.inTime_ = kInTime;
    request.timeLeft_ = kTimeLeft;
    In(kOneWayLatency, [this, aRequest, request] {
      dispatcher_.OnMessage(now_, 1 + aRequest % kInstances, request);
    });
  }

  void RecordLeaving(const std::string&, std::uint64_t) override {}
  void RecordSuspension(const std::string&, CallerId, Duration) override {}
  void RecordResignation(std::size_t, Duration) override {}
  void Answer(CallerId, const MessageFromDispatcher& aMessage) override
  {
    if (const auto* permit = std::get_if<Permit>(&aMessage)) {
      const auto server = static_cast<std::size_t>(std::stoul(permit->server_.substr(1)));
      In(kOneWayLatency, [this, request = permit->number_, server] { Arrive(request, server); });
    } else if (std::holds_alternative<PermitDenial>(aMessage)) {
      ++result_.refused_;
    }
  }

  void Arrive(std::size_t aRequest, std::size_t aServer)
  {
    requests_[aRequest].sent_ = now_;
    auto& server = servers_[aServer];
    if (server.running_ < kSlots) {
      Start(aRequest, aServer);
    } else if (server.waiting_.size() < kQueue) {
      server.waiting_.push_back(aRequest);
    } else {
      ++result_.resets_;
      ReportSendEnd(aRequest, SendResult::Broken, aServer);
    }
  }

  void Start(std::size_t aRequest, std::size_t aServer)
  {
    auto& server = servers_[aServer];
    ++server.running_;
    // Mean 1; most values lie within a factor of two.
    constexpr double kSigma = 0.6;
    std::lognormal_distribution<double> spread(-kSigma * kSigma / 2, kSigma);
    const auto work = Scale(kWork, SpeedOf(aServer) * server.slowdown_ * spread(random_));
    In(work, [this, aRequest, aServer] { End(aRequest, aServer); });
  }

  void End(std::size_t aRequest, std::size_t aServer)
  {
    auto& server = servers_[aServer];
    --server.running_;
    const auto age = now_ + kOneWayLatency - requests_[aRequest].begin_;
    if (age <= kInTime) {
      result_.value_ += 1;
    } else if (age <= kTimeLeft) {
      result_.value_ += 0.5;
    }
    if (!server.waiting_.empty()) {
      const auto next = server.waiting_.front();
      server.waiting_.pop_front();
      Start(next, aServer);
    }
    ReportSendEnd(aRequest, SendResult::Answered, aServer);
  }

  void ReportSendEnd(std::size_t aRequest, SendResult aResult, std::size_t aServer)
  {
    const auto& server = servers_[aServer];
    const ServerStatus status{ static_cast<unsigned>(server.running_),
                               static_cast<unsigned>(server.waiting_.size()),
                               kSlots,
                               server.slowdown_ };
    const SendEnd end{ aRequest, aResult, now_ - requests_[aRequest].sent_, status };
    In(2 * kOneWayLatency,
       [this, aRequest, end] { dispatcher_.OnMessage(now_, 1 + aRequest % kInstances, end); });
  }

  Instant now_ = seconds(100);
  std::minstd_rand random_;
  double load_;
  std::vector<Server> servers_;
  std::vector<Request> requests_;
  std::priority_queue<Step, std::vector<Step>, std::greater<>> steps_;
  std::uint64_t order_ = 0;
  std::function<void(std::size_t)> send_;
  DayResult result_;
  ServerDirectory directory_;
  PermitDispatcher dispatcher_{ directory_, *this };
};

class ServiceAtFullWork : public testing::TestWithParam<unsigned>
{};

TEST_P(ServiceAtFullWork, DispatcherSeesAllSends_MoreIsInTimeThanWithout)
{
  const auto alone = LoadWorld(GetParam(), 0.9).RunWithoutDispatcher();
  const auto dispatched = LoadWorld(GetParam(), 0.9).RunWithDispatcher();
  RecordProperty("alone", std::to_string(alone.MeanValue()));
  RecordProperty("dispatched", std::to_string(dispatched.MeanValue()));
  EXPECT_GT(dispatched.MeanValue(), alone.MeanValue() + 0.1);
  EXPECT_GT(dispatched.MeanValue(), 0.85);
}

TEST_P(ServiceAtFullWork, OverloadedByAFifth_NothingIsResetAndServedRequestsAreInTime)
{
  const auto dispatched = LoadWorld(GetParam(), 1.2).RunWithDispatcher();
  RecordProperty("dispatched", std::to_string(dispatched.MeanValue()));
  EXPECT_EQ(dispatched.resets_, 0U);
  EXPECT_GT(dispatched.MeanValue(), 0.65);
  EXPECT_LT(dispatched.refused_, dispatched.requests_ / 3);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ServiceAtFullWork, testing::Range(1U, 9U));

} // namespace

} // namespace latchslip
