// The pattern: a service whose servers are asked for all that their slots bear, by many
// instances of which each hears of one server every few seconds. Servers differ in speed,
// and one in five is three times slower at any moment, another one every 0.4 s, since they
// share their machines. What a server cannot queue it resets, which makes the outcome of a
// request unknown.
//
// The figures are those of a deployment of middle size, as its operators' sheet has them: 34
// servers of 3 slots with a queue of 12; work of 90 ms, in time within 300 ms, given up after
// a second; an answer in time is worth 1, a late one 0.5.

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
constexpr double kSpellShare = 0.2;
constexpr double kSpellFactor = 3;
constexpr Duration kSpell = milliseconds(400);
// One way between an instance and the dispatcher or a server.
constexpr Duration kWay = milliseconds(2);
constexpr Duration kDay = seconds(20);

// What became of the requests of a day.
struct DayResult
{
  double worth_ = 0;
  std::size_t requests_ = 0;
  std::size_t resets_ = 0;
  std::size_t refused_ = 0;

  double MeanWorth() const { return worth_ / static_cast<double>(requests_); }
};

// A service's servers and the instances that send to them, on a hand-turned clock.
class LoadWorld : private DispatcherActions
{
public:
  // aLoad: requests for what the servers can do at their mean speeds.
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

  // Each instance sends to the better of two servers, by their usual speeds, which is all
  // that it can know.
  DayResult PlayAlone()
  {
    send_ = [this](std::size_t aRequest) {
      const auto one = random_() % kServers;
      const auto other = random_() % kServers;
      Arrive(aRequest, SpeedOf(one) <= SpeedOf(other) ? one : other);
    };
    return Play();
  }

  DayResult PlayWithDispatcher()
  {
    send_ = [this](std::size_t aRequest) { Ask(aRequest); };
    return Play();
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

  DayResult Play()
  {
    for (std::size_t server = 0; server < kServers; ++server) {
      Spell(server);
    }
    NextRequest();
    Look();
    const auto end = now_ + kDay;
    while (!steps_.empty() && steps_.top().at_ < end) {
      auto step = steps_.top();
      steps_.pop();
      now_ = step.at_;
      step.act_();
    }
    return result_;
  }

  void Look()
  {
    dispatcher_.OnTime(now_);
    In(milliseconds(5), [this] { Look(); });
  }

  void Spell(std::size_t aServer)
  {
    std::bernoulli_distribution isSlow(kSpellShare);
    servers_[aServer].slowdown_ = isSlow(random_) ? kSpellFactor : 1;
    In(kSpell, [this, aServer] { Spell(aServer); });
  }

  void NextRequest()
  {
    double rate = 0;
    for (std::size_t server = 0; server < kServers; ++server) {
      rate += kSlots / (ToSeconds(kWork) * SpeedOf(server));
    }
    rate *= load_ / (1 + kSpellShare * (kSpellFactor - 1));
    std::exponential_distribution<double> pause(rate);
    constexpr double kMicroseconds = 1e6;
    In(Duration(static_cast<Duration::rep>(pause(random_) * kMicroseconds)), [this] {
      requests_.push_back({ now_, now_ });
      ++result_.requests_;
      send_(requests_.size() - 1);
      NextRequest();
    });
  }

  void Ask(std::size_t aRequest)
  {
    PermitAsk ask;
    ask.number_ = aRequest;
    ask.service_ = "rates";
    ask.hall_ = "hall";
    ask.inTime_ = kInTime;
    ask.timeLeft_ = kTimeLeft;
    In(kWay,
       [this, aRequest, ask] { dispatcher_.OnMessage(now_, 1 + aRequest % kInstances, ask); });
  }

  void RecordLeaving(const std::string&, std::uint64_t) override {}
  void Answer(CallerId, const MessageFromDispatcher& aMessage) override
  {
    if (const auto* permit = std::get_if<Permit>(&aMessage)) {
      const auto server = static_cast<std::size_t>(std::stoul(permit->server_.substr(1)));
      In(kWay, [this, request = permit->number_, server] { Arrive(request, server); });
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
      TellEnd(aRequest, SendResult::Broken, aServer);
    }
  }

  void Start(std::size_t aRequest, std::size_t aServer)
  {
    auto& server = servers_[aServer];
    ++server.running_;
    // Of mean 1; most lie within a factor of two.
    constexpr double kSigma = 0.6;
    std::lognormal_distribution<double> spread(-kSigma * kSigma / 2, kSigma);
    const auto work = Scale(kWork, SpeedOf(aServer) * server.slowdown_ * spread(random_));
    In(work, [this, aRequest, aServer] { End(aRequest, aServer); });
  }

  void End(std::size_t aRequest, std::size_t aServer)
  {
    auto& server = servers_[aServer];
    --server.running_;
    const auto age = now_ + kWay - requests_[aRequest].begin_;
    if (age <= kInTime) {
      result_.worth_ += 1;
    } else if (age <= kTimeLeft) {
      result_.worth_ += 0.5;
    }
    if (!server.waiting_.empty()) {
      const auto next = server.waiting_.front();
      server.waiting_.pop_front();
      Start(next, aServer);
    }
    TellEnd(aRequest, SendResult::Answered, aServer);
  }

  void TellEnd(std::size_t aRequest, SendResult aResult, std::size_t aServer)
  {
    const auto& server = servers_[aServer];
    const ServerStatus status{ static_cast<unsigned>(server.running_),
                               static_cast<unsigned>(server.waiting_.size()),
                               kSlots,
                               server.slowdown_ };
    const SendEnd end{ aRequest, aResult, now_ - requests_[aRequest].sent_, status };
    In(2 * kWay,
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

TEST_P(ServiceAtFullWork, DispatcherSeesAllSends_MoreIsInTimeThanAlone)
{
  const auto alone = LoadWorld(GetParam(), 0.9).PlayAlone();
  const auto dispatched = LoadWorld(GetParam(), 0.9).PlayWithDispatcher();
  RecordProperty("alone", std::to_string(alone.MeanWorth()));
  RecordProperty("dispatched", std::to_string(dispatched.MeanWorth()));
  EXPECT_GT(dispatched.MeanWorth(), alone.MeanWorth() + 0.1);
  EXPECT_GT(dispatched.MeanWorth(), 0.85);
}

TEST_P(ServiceAtFullWork, AskedForAFifthMore_NothingIsResetAndTheRestIsInTime)
{
  const auto dispatched = LoadWorld(GetParam(), 1.2).PlayWithDispatcher();
  RecordProperty("dispatched", std::to_string(dispatched.MeanWorth()));
  EXPECT_EQ(dispatched.resets_, 0U);
  EXPECT_GT(dispatched.MeanWorth(), 0.65);
  EXPECT_LT(dispatched.refused_, dispatched.requests_ / 3);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ServiceAtFullWork, testing::Range(1U, 9U));

} // namespace

} // namespace latchslip
