// Benchmarks of the gateway's decisions. Argument: number of servers.

#include "LibGateway/CrashSuspects.h"
#include "LibGateway/GatewayRouter.h"
#include "LibKeys/KeyBalancer.h"
#include "LibKeys/OwnershipPlacer.h"
#include "LibNet/RequestIdentity.h"
#include "LibPermit/PermitDispatcher.h"

#include <benchmark/benchmark.h>

namespace latchslip {

namespace {

class NullEvents : public EventSink
{
public:
  void Record(Event, std::string_view) override {}
};

class CountingRequestActions : public RequestActions
{
public:
  void Send(const AttemptCommand& aCommand) override { last_ = aCommand.number_; }
  void Cancel(AttemptNumber) override {}
  void Deliver(RequestNumber, AttemptNumber) override { ++delivered_; }
  void Refuse(RequestNumber, const Refusal&) override {}
  bool HasConnection(const std::string&) const override { return true; }
  void RecordLeaving(const std::string&, std::uint64_t) override {}
  void CountKey(const std::string&, KeyNumber) override {}

  AttemptNumber last_ = 0;
  std::uint64_t delivered_ = 0;
};

std::shared_ptr<const RouteTable>
MakeRoutes(bool aIsKeyed)
{
  RoutingConfiguration configuration;
  configuration.version_ = 1;
  configuration.services_ = { { "rates", 500, aIsKeyed } };
  Route route;
  route.host_ = "a.example";
  route.pathPrefix_ = "/rates/";
  route.isRepeatable_ = true;
  route.maxAttempts_ = 2;
  route.targets_ = { { "rates", 1 } };
  configuration.routes_ = { route };
  return std::make_shared<const RouteTable>(RouteTable::Create(configuration).value());
}

std::vector<KeyServer>
MakeServers(std::size_t aCount)
{
  std::vector<KeyServer> servers;
  for (std::size_t index = 0; index < aCount; ++index) {
    const auto id = "i-" + std::to_string(index);
    servers.push_back({ id, "10.0.0.1:" + std::to_string(8000 + index), 4, true });
  }
  return servers;
}

// All decisions about a request that is sent and answered.
void
DecideRequests(benchmark::State& aState, bool aIsKeyed)
{
  const auto servers = MakeServers(static_cast<std::size_t>(aState.range(0)));
  NullEvents events;
  CountingRequestActions actions;
  ServerDirectory directory;
  Instant now = seconds(100);
  for (const auto& server : servers) {
    directory.Put(now, { server.id_, "rates", server.address_, "hall", 4, false, 1 });
  }
  NullPermitSource permits;
  GatewayRouter router({ "hall", {}, 1 }, directory, actions, permits, events);
  router.SetInstances(10);
  router.SetRoutes(now, MakeRoutes(aIsKeyed));
  router.SetOwnership(now, KeyBalancer::AssignAll("rates", 0, servers));
  RequestNumber number = 0;
  for (auto _ : aState) {
    ++number;
    now += microseconds(500);
    RoutedRequest request;
    request.number_ = number;
    request.host_ = "a.example";
    request.path_ = "/rates/1";
    request.key_ = static_cast<KeyNumber>((number * 7919) % (kLastKey + 1));
    router.OnRequest(now, std::move(request));
    router.OnAttemptEnded(
      now + microseconds(300), actions.last_, { AttemptEnd::Answered, 200, false, std::nullopt });
  }
  aState.counters["answered_share"] =
    static_cast<double>(actions.delivered_) / static_cast<double>(number);
}

void
BM_GatewayRequest(benchmark::State& aState)
{
  DecideRequests(aState, false);
}
BENCHMARK(BM_GatewayRequest)->Arg(10)->Arg(100)->Arg(1000);

void
BM_GatewayKeyedRequest(benchmark::State& aState)
{
  DecideRequests(aState, true);
}
BENCHMARK(BM_GatewayKeyedRequest)->Arg(10)->Arg(100)->Arg(1000);

// Counts the permits that a dispatcher issues.
class CountingDispatcherActions : public DispatcherActions
{
public:
  void RecordLeaving(const std::string&, std::uint64_t) override {}
  void RecordSuspension(const std::string&, CallerId, Duration) override {}
  void RecordResignation(std::size_t, Duration) override {}
  void Answer(CallerId, const MessageFromDispatcher& aMessage) override
  {
    permits_ += std::holds_alternative<Permit>(aMessage) ? 1 : 0;
  }

  std::size_t permits_ = 0;
};

// All decisions of a dispatcher about one request: the permit request and the end of the send.
void
BM_PermitDispatch(benchmark::State& aState)
{
  const auto servers = MakeServers(static_cast<std::size_t>(aState.range(0)));
  CountingDispatcherActions actions;
  ServerDirectory directory;
  Instant now = seconds(100);
  for (const auto& server : servers) {
    directory.Put(now, { server.id_, "rates", server.address_, "hall", 4, false, 1 });
  }
  PermitDispatcher dispatcher(directory, actions);
  dispatcher.SetRoutes(now, MakeRoutes(false));
  std::size_t number = 0;
  for (auto _ : aState) {
    ++number;
    now += microseconds(500);
    PermitRequest request;
    request.number_ = number;
    request.service_ = "rates";
    request.hall_ = "hall";
    request.inTime_ = milliseconds(300);
    request.timeLeft_ = milliseconds(1000);
    dispatcher.OnMessage(now, 1, request);
    dispatcher.OnMessage(
      now, 1, SendEnd{ number, SendResult::Answered, milliseconds(50), std::nullopt });
  }
  aState.counters["permitted_share"] =
    static_cast<double>(actions.permits_) / static_cast<double>(number);
}
BENCHMARK(BM_PermitDispatch)->Arg(10)->Arg(100)->Arg(1000);

// The fingerprint of a request with a body of that many bytes.
void
BM_RequestFingerprint(benchmark::State& aState)
{
  const std::string body(static_cast<std::size_t>(aState.range(0)), 'x');
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      ComputeFingerprint({ "POST", "a.example", "/book/some/thing", "4711", "key", body }));
  }
}
BENCHMARK(BM_RequestFingerprint)->Arg(0)->Arg(1200)->Arg(65536)->Arg(4194304);

// Whether a request is quarantined, among that many suspects, and whether its answer clears one.
void
BM_JudgeRequest(benchmark::State& aState)
{
  CrashSuspects suspects;
  for (RequestFingerprint number = 1; number <= static_cast<std::uint64_t>(aState.range(0));
       ++number) {
    suspects.OnConnectionLost({ number, "s1", 0, seconds(1), seconds(2) });
  }
  RequestFingerprint fingerprint = 0;
  for (auto _ : aState) {
    ++fingerprint;
    benchmark::DoNotOptimize(suspects.RemainingQuarantine(seconds(3), fingerprint << 32));
    benchmark::DoNotOptimize(suspects.OnSendEnded(seconds(3),
                                                  { fingerprint << 32, "s2", 0, seconds(2) },
                                                  SendResult::Answered,
                                                  milliseconds(50),
                                                  false));
  }
}
BENCHMARK(BM_JudgeRequest)->Arg(0)->Arg(10)->Arg(1000);

// One round of rebalancing when a range of adjacent keys is hot.
void
BM_EvenOutKeys(benchmark::State& aState)
{
  const auto servers = MakeServers(static_cast<std::size_t>(aState.range(0)));
  const auto ownership = KeyBalancer::AssignAll("rates", 0, servers);
  KeyLoad load;
  std::vector<KeyCount> counts;
  for (KeyNumber key = 1000; key < 1200; ++key) {
    counts.push_back({ key, 50 });
  }
  load.Add(seconds(1), counts);
  load.Refresh(seconds(1));
  const KeyBalancer balancer{ {} };
  std::size_t moved = 0;
  for (auto _ : aState) {
    const auto next = balancer.Rebalance(ownership, servers, load, ownership.lastFence_);
    moved = next ? ChangesBetween(ownership, *next).ranges_.size() : 0;
  }
  aState.counters["ranges_changed"] = static_cast<double>(moved);
  aState.counters["row_bytes_per_range"] =
    static_cast<double>(SerializeOwnership(ownership).size()) /
    static_cast<double>(ownership.ranges_.size());
}
BENCHMARK(BM_EvenOutKeys)->Arg(10)->Arg(100)->Arg(400)->Arg(1000)->Arg(3000);

} // namespace

} // namespace latchslip
