// A backend server crashes and starts again under the id that it had. The script checks the fences
// of all grants that its new life takes against those with which other lives had the keys.

#include "review/standin-2/Harness.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

// From the pages: heartbeatMs of the settings.
constexpr double kHeartbeat = 0.87;
constexpr double kDownTime = 0.5;
constexpr int kServers = 4;
constexpr int kInstances = 3;
constexpr int kKeys = 65536;

// A grant that a life of a server took.
struct TakenGrant
{
  std::string life_;
  int first_;
  int last_;
  std::uint64_t fence_;
};

// All grants of all lives, and those that break the rule.
class Ledger
{
public:
  void OnGrant(const TakenGrant& aGrant)
  {
    const std::lock_guard lock(mutex_);
    const TakenGrant* former = nullptr;
    for (const auto& other : grants_) {
      const bool overlaps = other.first_ <= aGrant.last_ && aGrant.first_ <= other.last_;
      if (other.life_ != aGrant.life_ && overlaps && other.fence_ >= aGrant.fence_) {
        former = &other;
      }
    }
    if (former != nullptr) {
      ++broken_;
      Record("OWNER " + aGrant.life_ + " takes keys " + std::to_string(aGrant.first_) + ".." +
             std::to_string(aGrant.last_) + " with fence " + std::to_string(aGrant.fence_) +
             ", with which or above which " + former->life_ + " had them (" +
             std::to_string(former->fence_) + ")");
    }
    const bool isKnown = std::any_of(grants_.begin(), grants_.end(), [&](const TakenGrant& aOther) {
      return aOther.life_ == aGrant.life_ && aOther.first_ == aGrant.first_ &&
             aOther.last_ == aGrant.last_ && aOther.fence_ == aGrant.fence_;
    });
    if (!isKnown) {
      grants_.push_back(aGrant);
    }
  }
  int Broken() const { return broken_; }

private:
  std::mutex mutex_;
  std::vector<TakenGrant> grants_;
  std::atomic<int> broken_ = 0;
};

// One life of a server of a sharded service. It knows nothing of lives before it.
class KeyServer : public Listener
{
public:
  KeyServer(std::string aId, int aLife, int aPort, Store& aStore, Ledger& aLedger)
    : id_(std::move(aId))
    , life_(id_ + " (life " + std::to_string(aLife) + ")")
    , port_(aPort)
    , store_(aStore)
    , ledger_(aLedger)
  {
  }

  // Its first status report comes one heartbeat after its start.
  bool Start()
  {
    const auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                        std::chrono::system_clock::now().time_since_epoch())
                        .count();
    if (!Listen(port_)) {
      return false;
    }
    Record(life_ + " starts");
    std::thread([this, born] {
      Sleep(kHeartbeat);
      if (isUp_) {
        store_.Put("servers",
                   id_,
                   boost::json::serialize(
                     boost::json::object{ { "service", "ratecard" },
                                          { "address", "127.0.0.1:" + std::to_string(port_) },
                                          { "zone", "hall-a" },
                                          { "version", "v1" },
                                          { "slots", 4 },
                                          { "state", "ready" },
                                          { "coldRemainingMs", 0 },
                                          { "born", born },
                                          { "seq", 1 } }));
        Record(life_ + " reports itself");
      }
    }).detach();
    return true;
  }

  // The process ends: its connections are reset and its leases are gone.
  void Crash()
  {
    Record(life_ + " crashes");
    isUp_ = false;
    Reset();
  }

  int Served() const { return served_; }
  const std::string& Life() const { return life_; }

protected:
  void Serve(Connection& aConnection) override
  {
    Message request;
    while (aConnection.ReadRequest(request) && isUp_) {
      if (!Handle(aConnection, request)) {
        return;
      }
    }
  }

private:
  struct Lease
  {
    int first_;
    int last_;
    std::uint64_t fence_;
    double until_;
  };

  bool Handle(Connection& aConnection, const Message& aRequest)
  {
    const auto request = aRequest.Header("x-request-id");
    const auto expected = aRequest.Header("x-expect-instance");
    if (!expected.empty() && expected != id_) {
      return aConnection.Answer(421, { { "X-Instance-Id", id_ }, { "X-Request-Id", request } }, "");
    }
    if (aRequest.target_ == "/api/grant" || aRequest.target_ == "/api/release") {
      return HandleCommand(aConnection, aRequest);
    }
    if (!Holds(std::atoi(aRequest.Header("x-shard-key").c_str()))) {
      return aConnection.Answer(
        421,
        { { "X-Not-Executed", "1" }, { "X-Instance-Id", id_ }, { "X-Request-Id", request } },
        "");
    }
    ++served_;
    Sleep(0.02);
    return aConnection.Answer(
      200, { { "X-Request-Id", request }, { "X-Response-Signature", "s." + request } }, "rates");
  }

  bool HandleCommand(Connection& aConnection, const Message& aRequest)
  {
    const auto command = boost::json::parse(aRequest.body_);
    Lease lease{ command.at("from").to_number<int>(),
                 command.at("targetVersion").to_number<int>(),
                 command.at("fence").to_number<std::uint64_t>(),
                 0 };
    const bool isGrant = aRequest.target_ == "/api/grant";
    bool isRefused = false;
    {
      const std::lock_guard lock(mutex_);
      for (const auto& known : leases_) {
        const bool overlaps = known.first_ <= lease.last_ && lease.first_ <= known.last_;
        isRefused = isRefused || (isGrant && overlaps && known.fence_ > lease.fence_);
      }
      if (!isRefused) {
        lease.until_ = isGrant ? Now() + command.at("holdMs").to_number<double>() / 1000 : 0;
        std::erase_if(leases_, [&](const Lease& aKnown) {
          return aKnown.first_ == lease.first_ && aKnown.last_ == lease.last_;
        });
        leases_.push_back(lease);
      }
    }
    if (isGrant && !isRefused) {
      ledger_.OnGrant({ life_, lease.first_, lease.last_, lease.fence_ });
    }
    return aConnection.Answer(isRefused ? 409 : 200, { { "X-Handover", "h" } }, "");
  }

  // The latest grant or release of the key counts.
  bool Holds(int aKey)
  {
    const std::lock_guard lock(mutex_);
    const Lease* latest = nullptr;
    for (const auto& lease : leases_) {
      const bool isOfKey = lease.first_ <= aKey && aKey <= lease.last_;
      if (isOfKey && (latest == nullptr || lease.fence_ >= latest->fence_)) {
        latest = &lease;
      }
    }
    return latest != nullptr && latest->until_ > Now();
  }

  const std::string id_;
  const std::string life_;
  const int port_;
  Store& store_;
  Ledger& ledger_;
  std::mutex mutex_;
  std::vector<Lease> leases_;
  std::atomic<bool> isUp_ = true;
  std::atomic<int> served_ = 0;
};

std::map<int, int>
SendLookups(const std::vector<std::unique_ptr<Instance>>& aInstances, double aSeconds)
{
  std::map<int, int> answers;
  static int last = 0;
  for (const double end = Now() + aSeconds; Now() < end; Sleep(0.02)) {
    const int number = ++last;
    const auto& instance = *aInstances[static_cast<std::size_t>(number % kInstances)];
    ++answers[Send(instance.Port(),
                   "GET",
                   "/rates/" + std::to_string(number),
                   "q" + std::to_string(number),
                   number * 7919 % kKeys,
                   500,
                   "")
                .status_];
  }
  return answers;
}

void
RecordAnswers(const std::string& aWhen, const std::map<int, int>& aAnswers)
{
  std::string line = "lookups " + aWhen + ":";
  for (const auto& [status, count] : aAnswers) {
    line += " " + std::to_string(status) + " x " + std::to_string(count);
  }
  Record(line);
}

} // namespace

int
main(int, char** aArguments)
{
  OpenRecord(aArguments[1]);
  const int base = FindPorts(100);
  // Objects that threads use live until the process ends.
  auto& store = *new Store;
  auto& ledger = *new Ledger;
  if (base == 0 || !store.Listen(base)) {
    return kCannotRun;
  }
  store.Put("op",
            "config",
            MakeManifest({ { "/rates/", "idempotent", "ratecard", 200, 500, 2 } },
                         { { "ratecard", true } }));
  std::vector<KeyServer*> servers;
  for (int number = 0; number < kServers; ++number) {
    servers.push_back(
      new KeyServer("i-" + std::to_string(number), 1, base + 60 + number, store, ledger));
    if (!servers.back()->Start()) {
      return kCannotRun;
    }
  }
  std::vector<std::unique_ptr<Instance>> instances;
  for (int number = 1; number <= kInstances; ++number) {
    instances.push_back(std::make_unique<Instance>(number, base, base, aArguments[2]));
    instances.back()->Start();
  }
  if (!WaitUntilReady(instances, 20)) {
    Record("the instances are not ready");
    return kCannotRun;
  }
  Sleep(5);
  const auto before = SendLookups(instances, 3);
  RecordAnswers("before", before);
  if (!before.contains(200)) {
    return kCannotRun;
  }
  std::vector<KeyServer*> reborn;
  if (HasTrouble()) {
    servers[1]->Crash();
    Sleep(kDownTime);
    reborn.push_back(new KeyServer("i-1", 2, base + 61, store, ledger));
    if (!reborn.back()->Start()) {
      Record("the server's port is not free again");
      return kCannotRun;
    }
  }
  RecordAnswers("after", SendLookups(instances, 8));
  for (const auto* server : reborn) {
    Record(server->Life() + " ran " + std::to_string(server->Served()) + " requests");
  }
  for (const auto& instance : instances) {
    if (instance->HasEnded()) {
      Record("an instance has ended by itself");
      return kCannotRun;
    }
  }
  Record("grants that break the rule: " + std::to_string(ledger.Broken()));
  instances.clear();
  std::_Exit(ledger.Broken() > 0 ? kBroken : kHeld);
}
