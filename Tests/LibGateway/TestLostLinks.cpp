// Instances that tell lost links of their own from servers that are gone.

#include "../CountingEventSink.h"
#include "LibGateway/PathSearch.h"
#include "LibScenario/EventQueue.h"

#include <array>
#include <gtest/gtest.h>
#include <memory>
#include <random>
#include <set>

namespace latchslip {

namespace {

constexpr std::size_t kInstances = 73;
constexpr std::size_t kServers = 291;
constexpr std::size_t kServersGone = 41;
// Requests per second of all instances.
constexpr double kRate = 1850;
constexpr Duration kWork = milliseconds(200);
constexpr Duration kLatency = milliseconds(1);
constexpr Duration kConnectTimeout = milliseconds(150);
constexpr Duration kAckTimeout = milliseconds(700);
constexpr Duration kTimeLimit = milliseconds(800);

// What a connection to something that is gone or cut off meets.
enum class Loss
{
  None,
  // Open connections are reset, new ones are refused.
  Refused,
  // Nothing arrives any more.
  Silent,
};

// The end of an exchange.
struct ExchangeResult
{
  PathResult path_ = PathResult::Unknown;
  bool isUnsent_ = false;
};

using Callback = std::function<void(ExchangeResult)>;

// An instance with its paths to the servers, and its exchanges under way over links of its own.
struct Instance
{
  struct Exchange
  {
    std::size_t server_ = 0;
    Callback callback_;
  };

  CountingEventSink events_;
  std::unique_ptr<ServerPaths> paths_;
  double rate_ = 0;
  Loss loss_ = Loss::None;
  std::map<std::uint64_t, Exchange> exchanges_;
  // Servers to which a connection is open, as far as the instance can tell.
  std::set<std::size_t> connected_;
};

// Instances of three strengths that send requests to random servers, of which some are lost at
// once. Servers stay listed, and nobody but the instances themselves learns of the loss.
class InstancesOfManyServers : public testing::TestWithParam<std::tuple<Loss, unsigned>>
{
protected:
  InstancesOfManyServers()
  {
    for (std::size_t index = 0; index < kInstances; ++index) {
      instances_[index].paths_ =
        std::make_unique<ServerPaths>(HallOf(index), index + 1, instances_[index].events_);
      instances_[index].rate_ = kRate * StrengthOf(index) / 11;
    }
    for (std::size_t index = 0; index < kInstances; ++index) {
      SetPeers(index);
      ScheduleRequest(index);
    }
    Run(seconds(2));
  }

  static std::string HallOf(std::size_t aIndex) { return aIndex % 2 == 0 ? "a" : "b"; }
  static std::string AddressOf(std::size_t aIndex) { return "i" + std::to_string(aIndex); }
  static std::string NameOf(std::size_t aServer) { return "s" + std::to_string(aServer); }

  static Loss LossOfCase() { return std::get<Loss>(GetParam()); }

  // In processors; those of all instances add up to 11.
  static double StrengthOf(std::size_t aIndex)
  {
    return aIndex < 6 ? 0.5 : aIndex < 23 ? 0.25 : 0.075;
  }

  void SetPeers(std::size_t aIndex)
  {
    std::map<std::string, RelayPeer> peers;
    for (std::size_t index = 0; index < kInstances; ++index) {
      if (index != aIndex) {
        peers[AddressOf(index)] = { HallOf(index), StrengthOf(index) };
      }
    }
    instances_[aIndex].paths_->SetPeers(std::move(peers));
  }

  void Run(Duration aTime) { queue_.RunUntil(queue_.Now() + aTime); }

  void ScheduleRequest(std::size_t aIndex)
  {
    std::exponential_distribution<double> pause(instances_[aIndex].rate_);
    queue_.ScheduleAfter(Scale(seconds(1), pause(random_)), [this, aIndex] {
      const auto search = std::make_shared<PathSearch>();
      const auto server = std::uniform_int_distribution<std::size_t>(0, kServers - 1)(random_);
      search->Begin(queue_.Now(), *instances_[aIndex].paths_, NameOf(server));
      Send(aIndex, server, search);
      ScheduleRequest(aIndex);
    });
  }

  void Send(std::size_t aIndex, std::size_t aServer, const std::shared_ptr<PathSearch>& aSearch)
  {
    auto& paths = *instances_[aIndex].paths_;
    const auto ended = [this, aIndex, aServer, aSearch, &paths](ExchangeResult aResult) {
      if (aSearch->TryNext(
            queue_.Now(), paths, NameOf(aServer), aResult.path_, aResult.isUnsent_)) {
        Send(aIndex, aServer, aSearch);
      }
    };
    if (aSearch->Relay().empty()) {
      Begin(aIndex, aServer, ended);
      return;
    }
    const auto relay = std::stoul(aSearch->Relay().substr(1));
    queue_.ScheduleAfter(kLatency, [this, relay, aServer, ended] { Relay(relay, aServer, ended); });
  }

  // Performs an exchange for another instance, as RelayService does.
  void Relay(std::size_t aIndex, std::size_t aServer, const Callback& aCallback)
  {
    const auto answer = [this, aCallback](ExchangeResult aResult) {
      queue_.ScheduleAfter(kLatency, [aCallback, aResult] { aCallback(aResult); });
    };
    auto& paths = *instances_[aIndex].paths_;
    if (paths.IsCutOff()) {
      answer({ PathResult::NotTried, true });
      return;
    }
    Begin(aIndex, aServer, [this, aServer, answer, &paths](ExchangeResult aResult) {
      aResult.path_ = paths.OnEndedForAnother(queue_.Now(), NameOf(aServer), aResult.path_);
      answer(aResult);
    });
  }

  // Sends a request to a server over a link of this instance.
  void Begin(std::size_t aIndex, std::size_t aServer, Callback aCallback)
  {
    auto& instance = instances_[aIndex];
    const auto exchange = ++lastExchange_;
    instance.exchanges_[exchange] = { aServer, std::move(aCallback) };
    const auto loss = instance.loss_ != Loss::None ? instance.loss_ : losses_[aServer];
    if (loss == Loss::None) {
      instance.connected_.insert(aServer);
      std::exponential_distribution<double> spread(1);
      EndAfter(2 * kLatency + Scale(kWork, spread(random_)),
               aIndex,
               exchange,
               { PathResult::Reached, false });
    } else if (loss == Loss::Refused) {
      EndAfter(2 * kLatency, aIndex, exchange, { PathResult::Unreachable, true });
    } else if (instance.connected_.erase(aServer) > 0) {
      EndAfter(kAckTimeout, aIndex, exchange, { PathResult::Unreachable, false });
    } else {
      EndAfter(kConnectTimeout, aIndex, exchange, { PathResult::Unreachable, true });
    }
  }

  void EndAfter(Duration aDelay,
                std::size_t aIndex,
                std::uint64_t aExchange,
                const ExchangeResult& aResult)
  {
    queue_.ScheduleAfter(aDelay, [this, aIndex, aExchange, aResult] {
      auto exchange = instances_[aIndex].exchanges_.extract(aExchange);
      if (!exchange.empty()) {
        exchange.mapped().callback_(aResult);
      }
    });
  }

  // Ends the exchanges under way that a loss concerns.
  void Lose(Loss aLoss, std::size_t aIndex, const std::function<bool(std::size_t)>& aIsLost)
  {
    auto& instance = instances_[aIndex];
    const auto exchanges = instance.exchanges_;
    for (const auto& [number, exchange] : exchanges) {
      if (!aIsLost(exchange.server_)) {
        continue;
      }
      if (aLoss == Loss::Refused) {
        EndAfter(kLatency, aIndex, number, { PathResult::NoAnswer, false });
        continue;
      }
      // The answer does not arrive: the request's time runs out instead.
      const auto silenced = ++lastExchange_;
      instance.exchanges_[silenced] = exchange;
      instance.exchanges_.erase(number);
      EndAfter(kTimeLimit, aIndex, silenced, { PathResult::NoAnswer, false });
    }
  }

  void LoseServers(Loss aLoss)
  {
    for (std::size_t server = 0; server < kServersGone; ++server) {
      losses_[server] = aLoss;
    }
    for (std::size_t index = 0; index < kInstances; ++index) {
      Lose(aLoss, index, [](std::size_t aServer) { return aServer < kServersGone; });
    }
  }

  void CutLinks(std::size_t aIndex, Loss aLoss)
  {
    instances_[aIndex].loss_ = aLoss;
    Lose(aLoss, aIndex, [](std::size_t) { return true; });
  }

  // How often an instance that is not in aExcept concluded that its own links are cut.
  int CountConclusions(const std::set<std::size_t>& aExcept = {}) const
  {
    int count = 0;
    for (std::size_t index = 0; index < kInstances; ++index) {
      const auto conclusions = instances_[index].events_.CountOf(Event::ServerLinksCut);
      count += aExcept.contains(index) ? 0 : conclusions;
    }
    return count;
  }

  EventQueue queue_;
  std::minstd_rand random_{ std::get<unsigned>(GetParam()) };
  std::array<Instance, kInstances> instances_;
  std::array<Loss, kServers> losses_{};
  std::uint64_t lastExchange_ = 0;
};

// Guards against instances that give up all their direct paths because many servers are gone.
TEST_P(InstancesOfManyServers, SeventhOfServersIsGone_NoInstanceCountsAsCutOff)
{
  LoseServers(LossOfCase());
  Run(seconds(4));
  EXPECT_EQ(CountConclusions(), 0);
}

// Guards against an instance that takes its own cut links for the loss of the servers.
TEST_P(InstancesOfManyServers, LinksOfOneAreCutAsWell_OnlyThisOneCountsAsCutOffWithinASecond)
{
  constexpr std::size_t kCutOff = 10;
  LoseServers(LossOfCase());
  CutLinks(kCutOff, LossOfCase());
  Run(seconds(1));
  EXPECT_TRUE(instances_[kCutOff].paths_->IsCutOff());
  EXPECT_EQ(CountConclusions({ kCutOff }), 0);
}

// As above, for instances with the most and the fewest requests.
TEST_P(InstancesOfManyServers, LinksOfOneOfEachStrengthAreCut_OnlyTheseCountAsCutOffWithinASecond)
{
  const std::set<std::size_t> cutOff{ 0, 10, 40 };
  LoseServers(LossOfCase());
  for (const auto index : cutOff) {
    CutLinks(index, LossOfCase());
  }
  Run(seconds(1));
  for (const auto index : cutOff) {
    EXPECT_TRUE(instances_.at(index).paths_->IsCutOff()) << index;
  }
  EXPECT_EQ(CountConclusions(cutOff), 0);
}

INSTANTIATE_TEST_SUITE_P(Losses,
                         InstancesOfManyServers,
                         testing::Combine(testing::Values(Loss::Refused, Loss::Silent),
                                          testing::Range(1U, 6U)),
                         [](const testing::TestParamInfo<std::tuple<Loss, unsigned>>& aInfo) {
                           const auto* loss =
                             std::get<0>(aInfo.param) == Loss::Refused ? "Refused" : "Silent";
                           return loss + std::to_string(std::get<1>(aInfo.param));
                         });

} // namespace

} // namespace latchslip
