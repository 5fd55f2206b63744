// Case "OWNER": an extra answer to a grant is taken for the answer to a release.
//
// Three machines and eight upstreams of a keyed service. One upstream leaves as planned (draining),
// so that its keys are released and granted to others. With TROUBLE=1 the answer to the last grant
// before that is sent a second time, late, in the place of the next answer on its connection.

#include "KeyedUpstream.h"

#include <cstdlib>
#include <iostream>

namespace {

using namespace review;

constexpr int kUpstreams = 8;
// The first range of keys belongs to the first upstream.
constexpr int kLeaving = 0;
constexpr int kBusyKey = 0;
constexpr int kWorkMs = 700;
constexpr int kClientsPerMachine = 4;
// Their requests are spread evenly over the time of one.
constexpr int kBusyClients = 4;
constexpr int kDeadlineMs = 3000;
constexpr double kStartLimitS = 25;

const std::string kHost = "ledger.example";

// Checks that no upstream gets a key that another one is still at work on.
class OwnerChecker : public KeyedUpstreamObserver
{
public:
  explicit OwnerChecker(Record& aRecord)
    : record_(aRecord)
  {
  }

  void OnRun(const std::string& aUpstream, const std::string& aRequest, int aKey) override
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [request, work] : running_) {
      if (work.key_ == aKey && work.upstream_ != aUpstream) {
        record_.Line("BROKEN OWNER: " + aUpstream + " begins " + aRequest + " on key " +
                     std::to_string(aKey) + " while " + work.upstream_ + " is at work on it with " +
                     request);
        ++broken_;
      }
    }
    running_[aRequest] = { aUpstream, aKey, Now() };
    ++runs_;
  }

  void OnRunEnded(const std::string&, const std::string& aRequest, int) override
  {
    const std::lock_guard lock(mutex_);
    running_.erase(aRequest);
  }

  void OnGrant(const std::string& aUpstream, int aFirst, int aLast) override
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [request, work] : running_) {
      if (work.key_ < aFirst || work.key_ > aLast || work.upstream_ == aUpstream) {
        continue;
      }
      // Without a release, its lease lasts for seconds more.
      const auto lease = leaseUntil_.find(work.upstream_);
      if (lease == leaseUntil_.end() || Now() < lease->second) {
        record_.Line("BROKEN OWNER: " + aUpstream + " gets the keys " + std::to_string(aFirst) +
                     ".." + std::to_string(aLast) + " while " + work.upstream_ +
                     " is at work on key " + std::to_string(work.key_) + " with " + request +
                     ", since " + std::to_string(Now() - work.since_) + " s" +
                     (lease == leaseUntil_.end()
                        ? std::string()
                        : ", and its lease had " + std::to_string(lease->second - Now()) +
                            " s left when it was told to release it"));
        ++broken_;
      }
    }
  }

  void OnRelease(const std::string& aUpstream, double aLeaseUntil) override
  {
    const std::lock_guard lock(mutex_);
    leaseUntil_[aUpstream] = aLeaseUntil;
  }

  int Broken()
  {
    const std::lock_guard lock(mutex_);
    return broken_;
  }
  int Runs()
  {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

private:
  struct Work
  {
    std::string upstream_;
    int key_ = 0;
    double since_ = 0;
  };

  std::mutex mutex_;
  Record& record_;
  std::map<std::string, Work> running_;
  // Until when a leaving upstream would have held the keys that it was last told to release.
  std::map<std::string, double> leaseUntil_;
  int broken_ = 0;
  int runs_ = 0;
};

// A client that keeps one connection and sends one request at a time, about one key or about any.
void
RunClient(const std::string& aFront,
          const std::string& aName,
          unsigned aSeed,
          std::optional<int> aKey,
          Record& aRecord,
          const std::atomic<bool>& aIsOver)
{
  std::mt19937 random(aSeed);
  std::unique_ptr<Connection> connection;
  for (int number = 0; !aIsOver; ++number) {
    if (!connection) {
      connection = ConnectTo(aFront, 2 * kDeadlineMs);
      if (!connection) {
        SleepMs(50);
        continue;
      }
    }
    const auto id = aName + "-" + std::to_string(number);
    const auto key = aKey ? *aKey : std::uniform_int_distribution<int>(1024, 65535)(random);
    const std::string body = "pay " + id;
    Message answer;
    const bool isSent =
      connection->Send("POST /pay/now HTTP/1.1\r\nHost: " + kHost + "\r\nX-Request-Id: " + id +
                       "\r\nX-Shard-Key: " + std::to_string(key) +
                       "\r\nX-Deadline-Ms: " + std::to_string(kDeadlineMs) +
                       "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    if (!isSent || connection->ReadResponse(answer) != ReadEnd::Complete) {
      aRecord.Line("client " + id + " got no answer");
      connection.reset();
      continue;
    }
    aRecord.Line("client " + id + " (key " + std::to_string(key) + ") got " +
                 std::to_string(answer.Status()));
    if (answer.Header("Connection") == "close") {
      connection.reset();
    }
    SleepMs(answer.Status() == 503 ? 100 : 20);
  }
}

[[noreturn]] void
Run(const std::string& aProgram, const std::string& aFolder, const std::string& aRecord)
{
  const char* trouble = std::getenv("TROUBLE");
  const bool isTrouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(aRecord);
  const std::vector<std::string> hosts{ "127.0.0.2", "127.0.0.3", "127.0.0.4" };
  const auto ports = ChoosePorts(hosts);
  Store store(ports.store_, record);
  store.Put("op",
            "config",
            R"({"version":7,"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
            R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},"listeners":[{"host":")" +
              kHost +
              R"(","rules":[{"name":"r-1","kind":"non_idempotent","targetLatencyMs":1000,)"
              R"("priority":1,"match":{"pathPrefix":"/pay/"},"action":{"service":"ledger",)"
              R"("timeoutMs":3000,"maxAttempts":2}}]}],"clusters":[{"name":"ledger",)"
              R"("healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,)"
              R"("sharded":true,"warmS":3.0,"grants":"call"}]})");
  OwnerChecker checker(record);
  std::vector<std::unique_ptr<KeyedUpstream>> upstreams;
  for (int index = 0; index < kUpstreams; ++index) {
    KeyedUpstream::Settings settings;
    settings.id_ = "i-ledger-" + std::to_string(index);
    settings.service_ = "ledger";
    settings.workMs_ = kWorkMs;
    settings.queue_ = 8;
    upstreams.push_back(std::make_unique<KeyedUpstream>(settings, store, record, checker));
  }
  std::vector<std::unique_ptr<Entry>> entries;
  for (const auto& host : hosts) {
    entries.push_back(std::make_unique<Entry>(aProgram, aFolder, host, hosts, ports));
    entries.back()->Start();
  }
  if (!AwaitReady(entries, kStartLimitS)) {
    record.Line("the machines did not become ready");
    EndProcess(2);
  }
  SleepMs(6000);
  std::atomic<bool> isOver{ false };
  std::vector<std::thread> clients;
  for (int client = 0; client < kClientsPerMachine + kBusyClients; ++client) {
    for (std::size_t entry = 0; entry < entries.size(); ++entry) {
      const bool isBusy = client < kBusyClients && entry == 0;
      if (!isBusy && client >= kClientsPerMachine) {
        continue;
      }
      const auto name = (isBusy ? "k" : "c") + std::to_string(entry) + "." + std::to_string(client);
      const auto seed = static_cast<unsigned>(client * 100 + static_cast<int>(entry));
      const auto key = isBusy ? std::optional(kBusyKey) : std::nullopt;
      const int delay = isBusy ? client * kWorkMs / kBusyClients : 0;
      clients.emplace_back([&, entry, name, seed, key, delay] {
        SleepMs(delay);
        RunClient(entries[entry]->Front(), name, seed, key, record, isOver);
      });
    }
  }
  SleepMs(5000);
  const int answersBefore = upstreams[kLeaving]->Answers();
  upstreams[kLeaving]->LeaveAfterRenewals(isTrouble);
  SleepMs(5000);
  isOver = true;
  for (auto& client : clients) {
    client.join();
  }
  SleepMs(1000);
  record.Line("answers of the leaving upstream before it leaves: " + std::to_string(answersBefore) +
              ", extra answers: " + std::to_string(upstreams[kLeaving]->Extras()) +
              ", requests run: " + std::to_string(checker.Runs()) +
              ", owner rule broken: " + std::to_string(checker.Broken()));
  for (const auto& entry : entries) {
    if (entry->HasEnded()) {
      record.Line("a machine ended by itself");
      EndProcess(2);
    }
  }
  if (checker.Runs() == 0) {
    EndProcess(2);
  }
  EndProcess(checker.Broken() > 0 ? 1 : 0);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    std::cerr << "usage: owner-at-work PROGRAM FOLDER RECORD\n";
    return 2;
  }
  HandleSignals();
  Run(aArguments[1], aArguments[2], aArguments[3]);
}
