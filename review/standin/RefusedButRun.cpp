// Case "REFUSED": an extra answer of an upstream is taken for the answer to a retry.
//
// Three machines and six upstreams of a keyed service, which get more requests at times than they
// take, so that they shed some (503 with X-Not-Executed). The machines send those again, to the
// same upstream, since it owns the key. With TROUBLE=1 three of the upstreams send a share of
// their answers twice, the second copy late, in the place of the next answer.

#include "KeyedUpstream.h"

#include <cstdlib>
#include <iostream>

namespace {

using namespace review;

constexpr int kUpstreams = 6;
// Three of six is less than the share of 0.6 that the site files have for this disruption.
constexpr int kFaulty = 3;
// Share of the answers of a faulty upstream, and how long.
constexpr double kExtraShare = 0.03;
constexpr double kShedShare = 0.4;
constexpr int kExtraMs = 5000;
constexpr int kWindows = 2;
constexpr int kCalmMs = 4000;
constexpr int kClientsPerMachine = 24;
constexpr int kDeadlineMs = 2500;
constexpr double kStartLimitS = 25;

const std::string kHost = "ledger.example";

class RunCounter : public KeyedUpstreamObserver
{
public:
  void OnRun(const std::string&, const std::string& aRequest, int) override
  {
    const std::lock_guard lock(mutex_);
    ++runs_[aRequest];
  }
  void OnRunEnded(const std::string&, const std::string&, int) override {}
  void OnGrant(const std::string&, int, int) override {}
  void OnRelease(const std::string&, double) override {}
  std::map<std::string, int> Runs()
  {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

private:
  std::mutex mutex_;
  std::map<std::string, int> runs_;
};

// Answers that clients got, by request id.
class Answers
{
public:
  void Add(const std::string& aRequest, int aStatus)
  {
    const std::lock_guard lock(mutex_);
    answers_[aRequest] = aStatus;
  }
  std::map<std::string, int> All()
  {
    const std::lock_guard lock(mutex_);
    return answers_;
  }

private:
  std::mutex mutex_;
  std::map<std::string, int> answers_;
};

// A client that keeps one connection and sends one request at a time.
void
RunClient(const std::string& aFront,
          const std::string& aName,
          unsigned aSeed,
          Record& aRecord,
          Answers& aAnswers,
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
    const auto key = std::uniform_int_distribution<int>(0, 65535)(random);
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
    aAnswers.Add(id, answer.Status());
    aRecord.Line("client " + id + " got " + std::to_string(answer.Status()));
    if (answer.Header("Connection") == "close") {
      connection.reset();
    }
    if (answer.Status() == 503) {
      // The client comes back with another request when it was told to.
      const double wait = std::atof(answer.Header("Retry-After").c_str());
      SleepMs(std::min(200, static_cast<int>(wait * 1000)));
    }
  }
}

bool
IsPromise(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
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
              R"("timeoutMs":2500,"maxAttempts":2}}]}],"clusters":[{"name":"ledger",)"
              R"("healthPath":"/health","maxConns":130,"protocol":"h1","tls":false,)"
              R"("sharded":true,"warmS":3.0,"grants":"call"}]})");
  RunCounter runs;
  std::vector<std::unique_ptr<KeyedUpstream>> upstreams;
  for (int index = 0; index < kUpstreams; ++index) {
    KeyedUpstream::Settings settings;
    settings.id_ = "i-ledger-" + std::to_string(index);
    settings.service_ = "ledger";
    settings.seed_ = static_cast<unsigned>(index + 1);
    upstreams.push_back(std::make_unique<KeyedUpstream>(settings, store, record, runs));
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
  Answers answers;
  std::atomic<bool> isOver{ false };
  std::vector<std::thread> clients;
  for (int client = 0; client < kClientsPerMachine; ++client) {
    for (std::size_t entry = 0; entry < entries.size(); ++entry) {
      const auto name = "c" + std::to_string(entry) + "." + std::to_string(client);
      const auto seed = static_cast<unsigned>(client * 100 + static_cast<int>(entry));
      clients.emplace_back([&, entry, name, seed] {
        RunClient(entries[entry]->Front(), name, seed, record, answers, isOver);
      });
    }
  }
  for (int window = 0; window < kWindows; ++window) {
    SleepMs(kCalmMs);
    for (int index = 0; isTrouble && index < kUpstreams; ++index) {
      upstreams[index]->SetShedShare(kShedShare);
      upstreams[index]->SetExtraShare(index < kFaulty ? kExtraShare : 0);
    }
    SleepMs(kExtraMs);
    for (const auto& upstream : upstreams) {
      upstream->SetShedShare(0);
      upstream->SetExtraShare(0);
    }
  }
  SleepMs(1000);
  isOver = true;
  for (auto& client : clients) {
    client.join();
  }
  // Whatever is queued at an upstream runs now or never.
  SleepMs(kDeadlineMs + 500);
  const auto ran = runs.Runs();
  int refused = 0;
  int twice = 0;
  for (const auto& [id, status] : answers.All()) {
    if (const auto run = ran.find(id); run != ran.end() && IsPromise(status)) {
      ++refused;
      record.Line("BROKEN REFUSED: " + id + " was answered " + std::to_string(status) +
                  " and has run");
    }
  }
  for (const auto& [id, count] : ran) {
    if (count > 1) {
      ++twice;
      record.Line("BROKEN TWICE: " + id + " ran " + std::to_string(count) + " times");
    }
  }
  int sheds = 0;
  int extras = 0;
  for (const auto& upstream : upstreams) {
    sheds += upstream->Sheds();
    extras += upstream->Extras();
  }
  const auto all = answers.All();
  record.Line(
    "requests answered: " + std::to_string(all.size()) + ", run: " + std::to_string(ran.size()) +
    ", shed by upstreams: " + std::to_string(sheds) + ", extra answers: " + std::to_string(extras) +
    ", refused and run: " + std::to_string(refused) + ", run twice: " + std::to_string(twice));
  for (const auto& entry : entries) {
    if (entry->HasEnded()) {
      record.Line("a machine ended by itself");
      EndProcess(2);
    }
  }
  if (ran.empty()) {
    EndProcess(2);
  }
  EndProcess(refused + twice > 0 ? 1 : 0);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 4) {
    std::cerr << "usage: refused-but-run PROGRAM FOLDER RECORD\n";
    return 2;
  }
  HandleSignals();
  Run(aArguments[1], aArguments[2], aArguments[3]);
}
