#include "AllocationCount.h"
#include "LibDispatch/ClaimRegistry.h"
#include "LibDispatch/ServerQueue.h"
#include "LibNet/PeerCodec.h"
#include "LibNet/ServerProtocol.h"
#include "Samples.h"

#include <benchmark/benchmark.h>

namespace latchslip {

namespace {

constexpr std::size_t kSlicesPerServer = 16;

// Looks up the slice and the holder of a key. Argument: number of slices.
void
BM_RouteLookup(benchmark::State& aState)
{
  const auto placement =
    MakePlacement(static_cast<std::size_t>(aState.range(0)) / kSlicesPerServer, kSlicesPerServer);
  const std::string key = "hotel-darkhan-1234";
  std::uint64_t salt = 0;
  const auto before = Allocations();
  for (auto _ : aState) {
    const auto hash = HashKey(key) + (salt += 0x9e3779b97f4a7c15ULL);
    const auto& slice = placement.slices_[placement.SliceIndexOf(hash)];
    benchmark::DoNotOptimize(&placement.servers_[slice.owner_].holder_);
  }
  aState.counters["allocations"] = static_cast<double>(Allocations().count_ - before.count_) /
                                   static_cast<double>(aState.iterations());
}
BENCHMARK(BM_RouteLookup)->Arg(160)->Arg(1600)->Arg(16000)->Arg(160000);

// Bytes of a placement in memory and on the wire, per slice. Argument: number of servers.
void
BM_PlacementSize(benchmark::State& aState)
{
  const auto servers = static_cast<std::size_t>(aState.range(0));
  const auto text = SerializePlacement(MakePlacement(servers, kSlicesPerServer));
  const Row row{ PlacementKey("rates"), 1, text };
  double viewBytes = 0;
  for (auto _ : aState) {
    View view;
    view.Install({ std::string(kConfigurationKey),
                   1,
                   SerializeConfigurationRow("i#a/1", MakeDeclaration(servers)) });
    benchmark::DoNotOptimize(view.Install(row));
    const auto* placed = view.FindPlacement("rates");
    viewBytes = static_cast<double>(row.value_.size() +
                                    placed->placement_.slices_.capacity() * sizeof(Slice) +
                                    placed->placement_.servers_.capacity() * sizeof(PlacedServer));
  }
  aState.counters["row_bytes_per_slice"] =
    static_cast<double>(text.size()) / static_cast<double>(servers * kSlicesPerServer);
  aState.counters["view_bytes_per_slice"] =
    viewBytes / static_cast<double>(servers * kSlicesPerServer);
}
BENCHMARK(BM_PlacementSize)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

void
BM_QueueAdmitAndStart(benchmark::State& aState)
{
  ServerQueue queue(4);
  std::vector<SharingIntent> intents;
  for (int group = 0; group < aState.range(0); ++group) {
    SharingIntent intent;
    intent.group_ = "group-" + std::to_string(group);
    intent.portion_ = 1 + group % 3;
    intent.maxWaiting_ = 1000;
    intents.push_back(intent);
  }
  queue.Configure(4, intents);
  WorkId id = 0;
  for (auto _ : aState) {
    const auto& group = intents[id % intents.size()].group_;
    queue.Admit(seconds(1), ++id, group, seconds(1000));
    if (const auto started = queue.StartNext()) {
      queue.Finish(*started, milliseconds(2));
    }
  }
}
BENCHMARK(BM_QueueAdmitAndStart)->Arg(2)->Arg(10)->Arg(50);

void
BM_ClaimBatch(benchmark::State& aState)
{
  const auto batch = static_cast<ClaimId>(aState.range(0));
  ClaimTiming timing;
  timing.batch_ = batch;
  ClaimRegistry registry("instance-1#0123abcd", timing);
  Instant now = seconds(1);
  ClaimId id = 0;
  std::size_t transactions = 0;
  for (auto _ : aState) {
    now += seconds(1);
    for (ClaimId count = 0; count < batch; ++count) {
      ++id;
      registry.Submit(now, id, "claim/bookings/web/" + std::to_string(id), "instance-2#0123abcd/1");
    }
    const auto call = registry.NextCall(now);
    StoreReply reply;
    reply.status_ = StoreStatus::Done;
    benchmark::DoNotOptimize(registry.OnReply(now, reply));
    transactions += call ? 1 : 0;
    for (ClaimId count = 0; count < batch; ++count) {
      registry.Close(id - count, "answered 200");
    }
    // The closing writes are batched with later transactions; here they are committed at once.
    now += seconds(1);
    if (registry.NextCall(now)) {
      registry.OnReply(now, reply);
    }
  }
  aState.counters["claims_per_transaction"] =
    static_cast<double>(id) / static_cast<double>(std::max<std::size_t>(transactions, 1));
}
BENCHMARK(BM_ClaimBatch)->Arg(1)->Arg(16)->Arg(64)->Unit(benchmark::kMicrosecond);

void
BM_MembershipTick(benchmark::State& aState)
{
  const auto count = static_cast<std::size_t>(aState.range(0));
  Membership members("instance-0#a", "hall-a", MembershipTiming{});
  members.OnList(seconds(1), MakeInstanceList(count));
  for (std::size_t index = 1; index < count; ++index) {
    members.OnContact(seconds(1), "instance-" + std::to_string(index) + "#a", "hall-b", false);
  }
  Instant now = seconds(1);
  for (auto _ : aState) {
    now += milliseconds(10);
    benchmark::DoNotOptimize(members.Tick(now));
  }
  aState.counters["watchers"] = static_cast<double>(members.WatcherNames().size());
}
BENCHMARK(BM_MembershipTick)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

void
BM_HeartbeatEncodeDecode(benchmark::State& aState)
{
  const WireMessage message(PeerMessage(Heartbeat{ false, 123, milliseconds(4) }));
  std::size_t bytes = 0;
  for (auto _ : aState) {
    const auto wire = EncodeWire(message);
    bytes = wire.size();
    benchmark::DoNotOptimize(
      DecodeWire({ wire.data() + kFrameHeaderBytes, wire.size() - kFrameHeaderBytes }));
  }
  aState.counters["bytes"] = static_cast<double>(bytes);
}
BENCHMARK(BM_HeartbeatEncodeDecode);

void
BM_ForwardEncodeDecode(benchmark::State& aState)
{
  ForwardedRequest forwarded;
  forwarded.request_.service_ = "rates";
  forwarded.request_.group_ = "web";
  forwarded.request_.key_ = "hotel-darkhan-1234";
  forwarded.request_.requestId_ = "request-123456";
  forwarded.request_.body_ =
    std::make_shared<const std::string>(static_cast<std::size_t>(aState.range(0)), 'b');
  const WireMessage message{ PeerMessage(forwarded) };
  for (auto _ : aState) {
    const auto wire = EncodeWire(message);
    benchmark::DoNotOptimize(
      DecodeWire({ wire.data() + kFrameHeaderBytes, wire.size() - kFrameHeaderBytes }));
  }
}
BENCHMARK(BM_ForwardEncodeDecode)->Arg(64)->Arg(65536)->Arg(4194304)->Unit(benchmark::kMicrosecond);

// One renewal of a grant: makes the command, serializes it and handles the reply. Argument: number
// of key ranges.
void
BM_GrantRenewal(benchmark::State& aState)
{
  std::vector<HashRange> ranges;
  for (int index = 0; index < aState.range(0); ++index) {
    const auto start = static_cast<KeyHash>(index) << 40U;
    ranges.emplace_back(start, start + 1000);
  }
  GrantManager keeper("rates", "rates-1", true, GrantTiming{});
  keeper.SetDesiredRanges(1, 1, ranges, true);
  Instant now = seconds(1);
  double bytes = 0;
  for (auto _ : aState) {
    now += milliseconds(150);
    for (const auto& command : keeper.Tick(now)) {
      const auto request = MakeGrantRequest(command);
      bytes = static_cast<double>(request.body_->size());
      GrantReply reply;
      reply.accepted_ = true;
      reply.bootId_ = 1;
      reply.clock_ = now.count();
      reply.fence_ = 1;
      reply.generation_ = command.generation_;
      keeper.OnReply(now, now, command, reply);
    }
  }
  aState.counters["bytes"] = bytes;
}
BENCHMARK(BM_GrantRenewal)->Arg(1)->Arg(16)->Arg(64)->Unit(benchmark::kMicrosecond);

// An outbox without I/O, so that only the decisions are measured.
class NullOutbox : public Outbox
{
public:
  bool SendToPeer(const InstanceId&, const PeerMessage&) override { return true; }
  void CallStore(CallTag aTag, const StoreCall&) override { lastStore_ = aTag; }
  void SendGrant(CallTag aTag, const std::string&, const GrantCommand& aCommand) override
  {
    grants_.emplace_back(aTag, aCommand);
  }
  void SendWork(const WorkCommand& aCommand) override { lastWork_ = aCommand.id_; }
  void CancelWork(WorkId) override {}
  void AnswerCaller(CallerId, const WorkAnswer&) override { ++answered_; }
  void AnswerOperator(OperatorId, const OperatorAnswer&) override {}

  CallTag lastStore_ = 0;
  WorkId lastWork_ = 0;
  std::uint64_t answered_ = 0;
  std::vector<std::pair<CallTag, GrantCommand>> grants_;
};

class NullEvents : public EventSink
{
public:
  void Record(Event, std::string_view) override {}
};

// A fleet of one instance, which is the holder of all servers and has all grants.
class SingleInstanceFleet
{
public:
  explicit SingleInstanceFleet(std::size_t aServers)
    : core_("instance-0#a", "hall-c", InstanceTiming{}, outbox_, events_)
  {
    core_.OnInstanceList(now_, MakeInstanceList(1));
    core_.Tick(now_);
    auto placement = MakePlacement(aServers, kSlicesPerServer);
    placement.placer_ = "instance-0#a";
    for (auto& server : placement.servers_) {
      server.holder_ = "instance-0#a";
    }
    StoreReply reply;
    reply.status_ = StoreStatus::Done;
    reply.rows_ = { { std::string(kConfigurationKey),
                      1,
                      SerializeConfigurationRow("instance-0#a/1", MakeDeclaration(aServers)) },
                    { PlacementKey("rates"), 1, SerializePlacement(placement) } };
    core_.OnStoreReply(now_, outbox_.lastStore_, reply);
    Renew();
    Renew();
  }

  // One tick, after which all grant commands are accepted at once.
  void Renew()
  {
    now_ += milliseconds(150);
    core_.Tick(now_);
    const auto grants = std::exchange(outbox_.grants_, {});
    for (const auto& [tag, command] : grants) {
      GrantReply reply;
      reply.accepted_ = true;
      reply.bootId_ = 1;
      reply.clock_ = now_.count();
      reply.fence_ = command.fence_;
      reply.generation_ = command.generation_;
      core_.OnGrantReply(now_, tag, reply);
    }
  }

  Instant now_ = seconds(1);
  NullOutbox outbox_;
  NullEvents events_;
  InstanceCore core_;
};

// All decisions about one repeatable request at the holder of its server: entry, admission, slots,
// dispatch and answer. Argument: number of servers.
void
BM_RequestDecisions(benchmark::State& aState)
{
  SingleInstanceFleet fleet(static_cast<std::size_t>(aState.range(0)));
  WorkRequest request;
  request.service_ = "rates";
  request.group_ = "web";
  request.isRepeatable_ = true;
  request.key_ = "hotel-darkhan-1234";
  request.body_ = std::make_shared<const std::string>("body");
  WorkReply reply;
  reply.outcome_ = WorkOutcome::Answered;
  reply.status_ = 200;
  CallerId caller = 0;
  const auto before = Allocations();
  for (auto _ : aState) {
    request.deadline_ = fleet.now_ + seconds(2);
    fleet.core_.OnCaller(fleet.now_, ++caller, request);
    fleet.core_.OnWorkReply(fleet.now_, fleet.outbox_.lastWork_, reply);
  }
  aState.counters["allocations"] = static_cast<double>(Allocations().count_ - before.count_) /
                                   static_cast<double>(aState.iterations());
  aState.counters["answered_share"] =
    static_cast<double>(fleet.outbox_.answered_) / static_cast<double>(caller);
}
BENCHMARK(BM_RequestDecisions)->Arg(10)->Arg(100)->Arg(1000);

// One tick of an idle instance with all its renewals. Argument: number of servers it holds.
void
BM_IdleTick(benchmark::State& aState)
{
  SingleInstanceFleet fleet(static_cast<std::size_t>(aState.range(0)));
  for (auto _ : aState) {
    fleet.Renew();
  }
}
BENCHMARK(BM_IdleTick)->Arg(4)->Arg(40)->Arg(400)->Unit(benchmark::kMicrosecond);

// Cost per instance of installing a changed placement. Argument: number of servers.
void
BM_InstallChange(benchmark::State& aState)
{
  const auto servers = static_cast<std::size_t>(aState.range(0));
  const auto text = SerializePlacement(MakePlacement(servers, kSlicesPerServer));
  View view;
  RowVersion version = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(view.Install({ PlacementKey("rates"), ++version, text }));
  }
  aState.counters["bytes"] = static_cast<double>(text.size());
}
BENCHMARK(BM_InstallChange)->Arg(10)->Arg(100)->Arg(1000)->Unit(benchmark::kMicrosecond);

} // namespace

} // namespace latchslip
