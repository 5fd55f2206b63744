#include "InstancesWorld.h"

namespace latchslip {

namespace {

constexpr Duration kOneWayLatency = milliseconds(1);
constexpr Duration kConnectTimeout = milliseconds(150);
// An open connection that is cut off is given up after this time if data is not acknowledged.
constexpr Duration kAckTimeout = milliseconds(700);
constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kInTime = milliseconds(300);
constexpr Duration kTimeLeft = milliseconds(800);
// Share of the servers' slots that is busy.
constexpr double kLoad = 0.6;

std::string
AddressOf(std::size_t aInstance)
{
  return "i" + std::to_string(aInstance) + ":1";
}

} // namespace

// A server with its slots and an unbounded queue.
struct InstancesWorld::Server
{
  std::size_t running_ = 0;
  std::deque<std::function<void()>> waiting_;
  bool isUp_ = true;
};

// The parts of an instance that decide, and their I/O in the simulation.
class InstancesWorld::Instance
  : private RequestActions
  , private PermitClientActions
  , private DispatcherActions
  , private PermitListener
{
public:
  Instance(InstancesWorld& aWorld, std::size_t aIndex)
    : world_(aWorld)
    , index_(aIndex)
  {
    permits_.SetListener(*this);
  }

  void Start(std::size_t aInstances);
  void Request(RequestNumber aNumber);
  void SetCut(LinkCut aCut);
  void OnServerEnded(const std::string& aServer);

  FirstTries tries_;

private:
  using OutcomeCallback = std::function<void(const AttemptOutcome&)>;

  // A request under way over a link of this instance.
  struct Exchange
  {
    std::string server_;
    OutcomeCallback callback_;
  };

  Instant Now() const { return world_.queue_.Now(); }
  void After(Duration aDelay, std::function<void()> aAction)
  {
    world_.queue_.ScheduleAfter(aDelay, std::move(aAction));
  }
  void Tick();
  void Probe();
  // Sends a request over a link of this instance.
  void Begin(const std::string& aServer, OutcomeCallback aCallback);
  void End(std::uint64_t aExchange, const AttemptOutcome& aOutcome);
  void ArriveAtServer(std::uint64_t aExchange, const std::string& aServer);
  // Resets the requests under way that aIsAffected names.
  void Reset(const std::function<bool(const Exchange&)>& aIsAffected);
  // Sends a request for another instance.
  void Relay(const std::string& aServer, const OutcomeCallback& aCallback);
  void OnAttemptEnded(AttemptNumber aAttempt, const AttemptOutcome& aOutcome);

  // RequestActions
  void Send(const AttemptCommand& aCommand) override;
  void Cancel(AttemptNumber aAttempt) override { cancelled_.insert(aAttempt); }
  void Deliver(RequestNumber, AttemptNumber) override { ++tries_.served_; }
  void Refuse(RequestNumber, const Refusal& aRefusal) override
  {
    world_.quarantined_ += aRefusal.reason_ == RefusalReason::Quarantined ? 1 : 0;
  }
  bool HasConnection(const std::string& aAddress) const override
  {
    return connected_.contains(aAddress);
  }
  void RecordLeaving(const std::string&, std::uint64_t) override {}
  void CountKey(const std::string&, KeyNumber) override {}

  // PermitClientActions
  void Send(const std::string& aDispatcher, const MessageToDispatcher& aMessage) override
  {
    After(kOneWayLatency, [this, aDispatcher, aMessage] {
      world_.instances_[world_.IndexOf(aDispatcher)]->dispatcher_.OnMessage(
        Now(), index_, aMessage);
    });
  }
  void Connect(const std::string& aDispatcher) override
  {
    After(kOneWayLatency, [this, aDispatcher] { permits_.OnLinkUp(Now(), aDispatcher); });
  }
  void Disconnect(const std::string&) override {}

  // DispatcherActions
  void Answer(CallerId aCaller, const MessageFromDispatcher& aMessage) override
  {
    After(kOneWayLatency, [this, aCaller, aMessage] {
      world_.instances_[aCaller]->permits_.OnMessage(Now(), AddressOf(index_), aMessage);
    });
  }
  void RecordSuspension(const std::string&, CallerId, Duration) override { ++world_.suspensions_; }
  void RecordResignation(std::size_t, Duration) override {}

  // PermitListener
  void OnPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer) override
  {
    router_.OnPermit(aNow, aNumber, aServer);
  }
  void OnPermitDelayed(Instant aNow, AttemptNumber aNumber) override
  {
    router_.OnPermitDelayed(aNow, aNumber);
  }
  void OnPermitDenied(Instant aNow,
                      AttemptNumber aNumber,
                      Duration aWait,
                      bool aIsPromised) override
  {
    router_.OnPermitDenied(aNow, aNumber, aWait, aIsPromised);
  }
  void OnPermitRequestLost(Instant aNow, AttemptNumber aNumber) override
  {
    router_.OnPermitRequestLost(aNow, aNumber);
  }
  void OnQuarantine(Instant aNow, RequestFingerprint aFingerprint) override
  {
    router_.OnQuarantine(aNow, aFingerprint);
  }

  InstancesWorld& world_;
  std::size_t index_;
  LinkCut cut_ = LinkCut::None;
  std::map<std::uint64_t, Exchange> exchanges_;
  std::set<AttemptNumber> cancelled_;
  // Servers to which a connection is open, as far as this instance can tell.
  std::set<std::string> connected_;
  std::uint64_t lastExchange_ = 0;
  ServerPaths paths_{ "hall-" + std::to_string(index_ % 2), 1, world_.events_ };
  ServerDirectory directory_;
  PermitDispatcher dispatcher_{ directory_, *this };
  PermitClient permits_{ *this, world_.events_ };
  GatewayRouter router_{ { "hall-" + std::to_string(index_ % 2), {}, 1 },
                         directory_,
                         *this,
                         permits_,
                         world_.events_ };
};

void
InstancesWorld::Instance::Start(std::size_t aInstances)
{
  RoutingConfiguration configuration;
  configuration.version_ = 1;
  configuration.services_ = { { "plain", 500, false }, { "keyed", 500, true } };
  KeyOwnership ownership{ "keyed", 1, {} };
  for (std::size_t number = 0; number < kServersPerService; ++number) {
    const auto hall = "hall-" + std::to_string(number % 2);
    const auto plain = "p" + std::to_string(number);
    const auto keyed = KeyedServer(number);
    directory_.Put(Now(), { plain, "plain", plain, hall, kSlots, false, 1 });
    directory_.Put(Now(), { keyed, "keyed", keyed, hall, kSlots, false, 1 });
    const auto first = static_cast<KeyNumber>(number);
    ownership.ranges_.push_back({ first, first, keyed, 1, "" });
  }
  for (const auto* service : { "plain", "keyed" }) {
    Route route;
    route.host_ = "a.example";
    route.pathPrefix_ = std::string("/") + service + "/";
    route.isRepeatable_ = true;
    route.latencyTarget_ = kInTime;
    route.timeLimit_ = kTimeLeft;
    route.maxAttempts_ = 2;
    route.targets_ = { { service, 1 } };
    configuration.routes_.push_back(route);
  }
  const auto routes = std::make_shared<const RouteTable>(RouteTable::Create(configuration).value());
  std::map<std::string, FleetPeer> peers;
  for (std::size_t index = 0; index < aInstances; ++index) {
    peers[AddressOf(index)] = { AddressOf(index), "hall-" + std::to_string(index % 2), 1 };
  }
  std::map<std::string, RelayPeer> relays;
  for (const auto& [address, peer] : peers) {
    if (address != AddressOf(index_)) {
      relays[address] = { peer.hall_, peer.DutyCapacity() };
    }
  }
  paths_.SetPeers(relays);
  router_.SetPaths(paths_);
  router_.SetInstances(aInstances);
  dispatcher_.SetRoutes(Now(), routes);
  permits_.SetServices(Now(), { "plain", "keyed" });
  permits_.SetPeers(Now(), peers);
  router_.SetRoutes(Now(), routes);
  router_.SetOwnership(Now(), ownership);
  Tick();
}

void
InstancesWorld::Instance::Tick()
{
  // Messages between instances are processed without a delay of the timers.
  constexpr Duration kTimerStep = milliseconds(1);
  router_.OnTime(Now());
  dispatcher_.OnTime(Now());
  if (Now() % kTickInterval == Duration(0)) {
    permits_.OnTime(Now());
    Probe();
  }
  After(kTimerStep, [this] { Tick(); });
}

void
InstancesWorld::Instance::Request(RequestNumber aNumber)
{
  ++tries_.sent_;
  RoutedRequest request;
  request.number_ = aNumber;
  request.host_ = "a.example";
  request.path_ = aNumber % 2 == 0 ? "/plain/" : "/keyed/";
  request.key_ = static_cast<KeyNumber>(aNumber / 2 % kServersPerService);
  request.timeLeft_ = kTimeLeft;
  // Callers repeat a few requests all day.
  request.fingerprint_ = 1 + aNumber % 50;
  router_.OnRequest(Now(), std::move(request));
}

void
InstancesWorld::Instance::Probe()
{
  if (paths_.IsCutOff()) {
    connected_.clear();
  }
  if (!paths_.TakeProbe(Now())) {
    return;
  }
  const bool isCut = cut_ != LinkCut::None;
  After(cut_ == LinkCut::Silent ? kConnectTimeout : 2 * kOneWayLatency,
        [this, isCut] { paths_.OnProbeEnded(Now(), !isCut); });
}

void
InstancesWorld::Instance::Send(const AttemptCommand& aCommand)
{
  const auto end = [this, number = aCommand.number_](const AttemptOutcome& aOutcome) {
    OnAttemptEnded(number, aOutcome);
  };
  if (aCommand.relay_.empty()) {
    Begin(aCommand.server_, end);
    return;
  }
  After(kOneWayLatency, [this, end, server = aCommand.server_, relay = aCommand.relay_] {
    world_.instances_[world_.IndexOf(relay)]->Relay(server, [this, end](const auto& aOutcome) {
      After(kOneWayLatency, [end, aOutcome] { end(aOutcome); });
    });
  });
}

void
InstancesWorld::Instance::OnAttemptEnded(AttemptNumber aAttempt, const AttemptOutcome& aOutcome)
{
  if (cancelled_.erase(aAttempt) == 0) {
    router_.OnAttemptEnded(Now(), aAttempt, aOutcome);
  }
}

void
InstancesWorld::Instance::Relay(const std::string& aServer, const OutcomeCallback& aCallback)
{
  if (paths_.IsCutOff()) {
    AttemptOutcome declined;
    declined.end_ = AttemptEnd::NotSent;
    declined.path_ = PathResult::NotTried;
    aCallback(declined);
    return;
  }
  Begin(aServer, [this, aServer, aCallback](AttemptOutcome aOutcome) {
    const bool isUnreachable = aOutcome.end_ == AttemptEnd::NotSent;
    const auto path = paths_.OnEndedForAnother(
      Now(), aServer, isUnreachable ? PathResult::Unreachable : PathResult::Reached);
    if (path == PathResult::UnreachableInDoubt) {
      aOutcome.path_ = path;
    }
    aCallback(aOutcome);
  });
}

void
InstancesWorld::Instance::Begin(const std::string& aServer, OutcomeCallback aCallback)
{
  const auto exchange = ++lastExchange_;
  exchanges_[exchange] = { aServer, std::move(aCallback) };
  AttemptOutcome notSent;
  notSent.end_ = AttemptEnd::NotSent;
  const bool isOpen = connected_.contains(aServer);
  if (isOpen && (cut_ == LinkCut::Silent || cut_ == LinkCut::Refused)) {
    // The connection was open before the cut: it takes the request, which is never acknowledged, or
    // is reset.
    AttemptOutcome lost;
    lost.isConnectionLost_ = cut_ == LinkCut::Refused;
    lost.path_ = cut_ == LinkCut::Silent ? PathResult::Unreachable : PathResult::Unknown;
    connected_.erase(aServer);
    After(lost.isConnectionLost_ ? 2 * kOneWayLatency : kAckTimeout,
          [this, exchange, lost] { End(exchange, lost); });
    return;
  }
  if (cut_ == LinkCut::Silent) {
    After(kConnectTimeout, [this, exchange, notSent] { End(exchange, notSent); });
    return;
  }
  const bool isCut = cut_ == LinkCut::Refused || (cut_ == LinkCut::OnlyNewOnes && !isOpen);
  if (isCut || !world_.servers_.at(aServer)->isUp_) {
    ++world_.refusedConnections_[aServer];
    After(2 * kOneWayLatency, [this, exchange, notSent] { End(exchange, notSent); });
    return;
  }
  connected_.insert(aServer);
  After(kOneWayLatency, [this, exchange, aServer] { ArriveAtServer(exchange, aServer); });
}

void
InstancesWorld::Instance::ArriveAtServer(std::uint64_t aExchange, const std::string& aServer)
{
  auto& server = *world_.servers_.at(aServer);
  const auto work = [this, aExchange, &server] {
    ++server.running_;
    std::exponential_distribution<double> spread(1);
    After(Scale(kWork, spread(world_.random_)), [this, aExchange, &server] {
      --server.running_;
      if (!server.waiting_.empty()) {
        const auto next = std::move(server.waiting_.front());
        server.waiting_.pop_front();
        next();
      }
      if (server.isUp_) {
        AttemptOutcome answer;
        answer.end_ = AttemptEnd::Answered;
        answer.status_ = 200;
        After(kOneWayLatency, [this, aExchange, answer] { End(aExchange, answer); });
      }
    });
  };
  if (server.running_ < kSlots) {
    work();
  } else {
    server.waiting_.emplace_back(work);
  }
}

void
InstancesWorld::Instance::End(std::uint64_t aExchange, const AttemptOutcome& aOutcome)
{
  if (const auto exchange = exchanges_.find(aExchange); exchange != exchanges_.end()) {
    const auto callback = std::move(exchange->second.callback_);
    exchanges_.erase(exchange);
    callback(aOutcome);
  }
}

void
InstancesWorld::Instance::Reset(const std::function<bool(const Exchange&)>& aIsAffected)
{
  AttemptOutcome reset;
  reset.isConnectionLost_ = true;
  const auto exchanges = exchanges_;
  for (const auto& [number, exchange] : exchanges) {
    if (aIsAffected(exchange)) {
      End(number, reset);
    }
  }
}

void
InstancesWorld::Instance::SetCut(LinkCut aCut)
{
  cut_ = aCut;
  if (aCut == LinkCut::Refused) {
    Reset([](const Exchange&) { return true; });
  } else if (aCut == LinkCut::Silent) {
    // Answers to the requests under way do not arrive any more.
    exchanges_.clear();
  }
}

void
InstancesWorld::Instance::OnServerEnded(const std::string& aServer)
{
  connected_.erase(aServer);
  Reset([&](const Exchange& aExchange) { return aExchange.server_ == aServer; });
}

InstancesWorld::InstancesWorld(std::size_t aInstances, unsigned aSeed)
  : random_(aSeed)
{
  for (std::size_t number = 0; number < kServersPerService; ++number) {
    servers_["p" + std::to_string(number)] = std::make_unique<Server>();
    servers_[KeyedServer(number)] = std::make_unique<Server>();
  }
  for (std::size_t index = 0; index < aInstances; ++index) {
    instances_.push_back(std::make_unique<Instance>(*this, index));
  }
  for (std::size_t index = 0; index < aInstances; ++index) {
    instances_[index]->Start(aInstances);
    NextRequest(index);
  }
}

InstancesWorld::~InstancesWorld() = default;

std::size_t
InstancesWorld::IndexOf(const std::string& aAddress) const
{
  return std::stoul(aAddress.substr(1));
}

void
InstancesWorld::NextRequest(std::size_t aInstance)
{
  const double rate = kLoad * static_cast<double>(2 * kServersPerService * kSlots) /
                      ToSeconds(kWork) / static_cast<double>(instances_.size());
  std::exponential_distribution<double> pause(rate);
  queue_.ScheduleAfter(Scale(seconds(1), pause(random_)), [this, aInstance] {
    instances_[aInstance]->Request(++lastRequest_);
    NextRequest(aInstance);
  });
}

void
InstancesWorld::SetCut(std::size_t aInstance, LinkCut aCut)
{
  instances_[aInstance]->SetCut(aCut);
}

void
InstancesWorld::EndServer(const std::string& aServer)
{
  servers_.at(aServer)->isUp_ = false;
  for (auto& instance : instances_) {
    instance->OnServerEnded(aServer);
  }
}

FirstTries
InstancesWorld::TakeFirstTries(std::size_t aInstance)
{
  return std::exchange(instances_[aInstance]->tries_, {});
}

std::size_t
InstancesWorld::TakeRefusedConnections(const std::string& aServer)
{
  return std::exchange(refusedConnections_[aServer], 0);
}

} // namespace latchslip
