// Entry instances as separate processes, before stand-ins of the platform.

#include "LibNet/HttpClient.h"
#include "LibNet/MonotonicClock.h"
#include "platform/StandIn/StandInBackend.h"

#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sys/wait.h>

extern char** environ; // NOLINT(readability-redundant-declaration)

namespace latchslip::platform {

namespace {

constexpr int kFirstPort = 24600;
constexpr const char* kStoreAddress = "127.0.0.1:24600";

std::string
Loopback(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

// One process of the daemon, which ends with this object.
class EntryProcess
{
public:
  EntryProcess(int aNumber, const std::string& aSettings)
    : settingsFile_(
        std::filesystem::temp_directory_path() /
        ("latchslip-entry-" + std::to_string(getpid()) + "-" + std::to_string(aNumber) + ".json"))
  {
    std::ofstream(settingsFile_) << aSettings;
    const auto variable = "LATCHSLIP_CONFIG=" + settingsFile_.string();
    std::vector<char*> environment;
    for (char** entry = environ; *entry != nullptr; ++entry) {
      environment.push_back(*entry);
    }
    environment.push_back(const_cast<char*>(variable.c_str()));
    environment.push_back(nullptr);
    std::string program = LATCHSLIP_ENTRY;
    std::vector<char*> arguments{ program.data(), nullptr };
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, "/dev/null", O_WRONLY, 0);
    posix_spawn(&id_, program.c_str(), &actions, nullptr, arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
  }

  ~EntryProcess()
  {
    Signal(SIGKILL);
    Wait();
    std::filesystem::remove(settingsFile_);
  }
  EntryProcess(const EntryProcess&) = delete;
  EntryProcess& operator=(const EntryProcess&) = delete;

  void Signal(int aSignal) const
  {
    if (!hasEnded_) {
      kill(id_, aSignal);
    }
  }

  bool HasEnded()
  {
    hasEnded_ = hasEnded_ || waitpid(id_, &status_, WNOHANG) == id_;
    return hasEnded_;
  }

  int Wait()
  {
    if (!hasEnded_) {
      waitpid(id_, &status_, 0);
      hasEnded_ = true;
    }
    return status_;
  }

private:
  std::filesystem::path settingsFile_;
  pid_t id_ = 0;
  int status_ = 0;
  bool hasEnded_ = false;
};

std::string
MakeSettings(int aNumber)
{
  const auto port = kFirstPort + 10 * aNumber;
  return R"({"nodeId":"edge-)" + std::to_string(aNumber) +
         R"(","zone":"hall-a","listen":{"front":")" + Loopback(port) + R"(","ready":")" +
         Loopback(port + 1) + R"(","control":")" + Loopback(port + 2) + R"("},"seeds":[")" +
         Loopback(kFirstPort + 12) +
         R"("],"bounds":["retryBudgetRatio=0.2","budgetExtra=62","budgetWindowS=10","graceS=6",)"
         R"("holdMaxMs=10000"],"platform":{"address":")" +
         kStoreAddress + R"("}})";
}

std::string
MakeManifest(int aVersion, const std::string& aBookingService)
{
  return R"({"version":)" + std::to_string(aVersion) +
         R"(,"listeners":[{"host":"a.example","rules":[)"
         R"({"name":"r1","kind":"idempotent","targetLatencyMs":2000,"priority":1,)"
         R"("match":{"pathPrefix":"/rates/"},)"
         R"("action":{"service":"rates","timeoutMs":4000,"maxAttempts":2}},)"
         R"({"name":"r2","kind":"non_idempotent","targetLatencyMs":2000,"priority":0,)"
         R"("match":{"pathPrefix":"/book/"},"action":{"service":")" +
         aBookingService +
         R"(","timeoutMs":4000,"maxAttempts":2}}]}],)"
         R"("clusters":[{"name":"rates","maxConns":130,"sharded":true},)"
         R"({"name":"bookings","maxConns":130},{"name":"others","maxConns":130}]})";
}

class FleetOfThreeProcesses : public testing::Test
{
protected:
  void SetUp() override
  {
    store_ = StandInStore::Create(context_, kStoreAddress).value();
    store_->Put("op", "config", MakeManifest(3, "bookings"));
    for (int number = 0; number < 3; ++number) {
      Add("k" + std::to_string(number), "rates", 200 + number, true);
      Add("b" + std::to_string(number), "bookings", 210 + number, false);
    }
    Add("o0", "others", 220, false);
    for (int number = 1; number <= 3; ++number) {
      processes_.push_back(std::make_unique<EntryProcess>(number, MakeSettings(number)));
    }
    ASSERT_TRUE(RunUntil([&] { return Served() == 3; }, seconds(15)));
    // Requests before the instances listened found nobody.
    broken_ = 0;
  }

  void Add(const std::string& aId, const std::string& aService, int aPort, bool aIsKeyed)
  {
    StandInBackend::Settings settings;
    settings.id_ = aId;
    settings.service_ = aService;
    settings.address_ = Loopback(kFirstPort + aPort);
    settings.isKeyed_ = aIsKeyed;
    backends_[aId] = StandInBackend::Create(context_, settings, *store_).value();
  }

  // Sends a request to an instance; counts its end.
  void Ask(int aInstance, bool aIsBooking)
  {
    const auto id = "q" + std::to_string(++asked_);
    HttpRequest request;
    request.method_ = aIsBooking ? "POST" : "GET";
    request.target_ = aIsBooking ? "/book/1" : "/rates/1";
    request.headers_ = { { "Host", "a.example" },
                         { "X-Request-Id", id },
                         { "X-Deadline-Ms", "4000" },
                         { "X-Shard-Key", std::to_string((asked_ * 7919) % 65536) } };
    client_->Send(Loopback(kFirstPort + 10 * aInstance),
                  std::move(request),
                  seconds(5),
                  [this, id](const HttpExchange& aExchange) { OnEnd(id, aExchange); });
  }

  void OnEnd(const std::string& aId, const HttpExchange& aExchange)
  {
    ++ended_;
    const auto& answer = aExchange.response_;
    if (aExchange.end_ != ExchangeEnd::Complete) {
      ++broken_;
      return;
    }
    ++statuses_[answer.status_];
    if (answer.status_ == 200) {
      EXPECT_EQ(*answer.body_, "answer to " + aId);
      EXPECT_EQ(answer.Header("X-Response-Signature"), "signed-" + aId);
    }
  }

  // Whether all is served: counts instances that answer a keyed request.
  int Served()
  {
    statuses_.clear();
    const auto before = ended_;
    for (int instance = 1; instance <= 3; ++instance) {
      Ask(instance, false);
    }
    RunUntil([&] { return ended_ == before + 3; }, seconds(6));
    return statuses_[200];
  }

  bool RunUntil(const std::function<bool()>& aIsDone, Duration aMost)
  {
    const auto end = MonotonicNow() + aMost;
    while (!aIsDone()) {
      if (MonotonicNow() >= end) {
        return false;
      }
      context_.run_for(std::chrono::milliseconds(10));
      context_.restart();
    }
    return true;
  }

  // Sends requests of both kinds to the given instances at a steady rate.
  void Load(Duration aTime, const std::vector<int>& aInstances)
  {
    const auto end = MonotonicNow() + aTime;
    std::size_t turn = 0;
    while (MonotonicNow() < end) {
      const auto instance = aInstances[turn % aInstances.size()];
      Ask(instance, ++turn % 2 == 0);
      context_.run_for(std::chrono::milliseconds(5));
      context_.restart();
    }
    RunUntil([&] { return ended_ == asked_; }, seconds(6));
  }

  void ExpectNothingRanTwice() const
  {
    for (const auto& [id, backend] : backends_) {
      for (const auto& [request, runs] : backend->Runs()) {
        EXPECT_EQ(runs, 1) << request << " at " << id;
      }
    }
  }

  boost::asio::io_context context_{ 1 };
  std::unique_ptr<StandInStore> store_;
  std::map<std::string, std::unique_ptr<StandInBackend>> backends_;
  std::unique_ptr<HttpClient> client_ = HttpClient::Create(context_, 64);
  std::vector<std::unique_ptr<EntryProcess>> processes_;
  std::size_t asked_ = 0;
  std::size_t ended_ = 0;
  std::size_t broken_ = 0;
  std::map<unsigned, int> statuses_;
};

TEST_F(FleetOfThreeProcesses, SteadyLoad_EveryRequestGetsItsOwnWholeAnswer)
{
  statuses_.clear();
  Load(seconds(3), { 1, 2, 3 });
  EXPECT_EQ(broken_, 0U);
  EXPECT_EQ(statuses_.size(), 1U);
  EXPECT_GT(statuses_[200], 100);
  ExpectNothingRanTwice();
}

TEST_F(FleetOfThreeProcesses, PlannedStopUnderLoad_CutsNothingAndEndsInTime)
{
  statuses_.clear();
  processes_[0]->Signal(SIGTERM);
  Load(seconds(2), { 1, 2, 3 });
  EXPECT_EQ(broken_, 0U);
  EXPECT_EQ(statuses_.size(), 1U);
  EXPECT_TRUE(RunUntil([&] { return processes_[0]->HasEnded(); }, seconds(6)));
  EXPECT_EQ(processes_[0]->Wait(), 0);
}

TEST_F(FleetOfThreeProcesses, EachInstanceIsKilledInTurn_TheOthersServeAllKeys)
{
  // Whichever is the placer, it is among the first two.
  processes_[0]->Signal(SIGKILL);
  Load(seconds(4), { 2, 3 });
  processes_[1]->Signal(SIGKILL);
  Load(seconds(4), { 3 });
  statuses_.clear();
  Load(seconds(1), { 3 });
  EXPECT_EQ(statuses_.size(), 1U);
  EXPECT_GT(statuses_[200], 30);
  ExpectNothingRanTwice();
}

TEST_F(FleetOfThreeProcesses, ServerLeaves_GetsNothingNewAndItsKeysAreServed)
{
  backends_["k0"]->Leave();
  backends_["b0"]->Leave();
  Load(seconds(2), { 1, 2, 3 });
  const auto runs = backends_["k0"]->Runs().size() + backends_["b0"]->Runs().size();
  statuses_.clear();
  Load(seconds(2), { 1, 2, 3 });
  EXPECT_EQ(backends_["k0"]->Runs().size() + backends_["b0"]->Runs().size(), runs);
  EXPECT_EQ(statuses_.size(), 1U);
}

TEST_F(FleetOfThreeProcesses, RouteMovesToAnotherService_InForceEverywhereInTwoSeconds)
{
  store_->Put("op", "config", MakeManifest(5, "others"));
  Load(seconds(2), { 1, 2, 3 });
  const auto before = backends_["o0"]->Runs().size();
  std::size_t old = 0;
  for (const auto* id : { "b0", "b1", "b2" }) {
    old += backends_[id]->Runs().size();
  }
  Load(seconds(2), { 1, 2, 3 });
  std::size_t now = 0;
  for (const auto* id : { "b0", "b1", "b2" }) {
    now += backends_[id]->Runs().size();
  }
  EXPECT_EQ(now, old);
  EXPECT_GT(backends_["o0"]->Runs().size(), before);
}

TEST_F(FleetOfThreeProcesses, StoreIsAwayForLongerThanAGrantHolds_AllIsServed)
{
  store_->SetDown(true);
  Load(seconds(7), { 1, 2, 3 });
  statuses_.clear();
  Load(seconds(1), { 1, 2, 3 });
  store_->SetDown(false);
  EXPECT_EQ(statuses_.size(), 1U);
  EXPECT_GT(statuses_[200], 30);
}

TEST_F(FleetOfThreeProcesses, SettingsAreReadAgainOnSignal_ProcessGoesOn)
{
  processes_[0]->Signal(SIGHUP);
  statuses_.clear();
  Load(seconds(1), { 1 });
  EXPECT_FALSE(processes_[0]->HasEnded());
  EXPECT_EQ(statuses_.size(), 1U);
}

TEST(EntryProcess, SettingsAreMalformed_EndsWithItsOwnStatus)
{
  EntryProcess process(9, R"({"nodeId":"edge-9"})");
  const auto status = process.Wait();
  ASSERT_TRUE(WIFEXITED(status));
  EXPECT_EQ(WEXITSTATUS(status), 2);
}

} // namespace

} // namespace latchslip::platform
