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
  struct Attempt
  {
    std::string server_;
    std::uint64_t send_ = 0;
  };

  Instant Now() const { return world_.queue_.Now(); }
  void After(Duration aDelay, std::function<void()> aAction)
  {
    world_.queue_.ScheduleAfter(aDelay, std::move(aAction));
  }
  void Tick();
  // Ends an attempt if it is still the same send.
  void End(AttemptNumber aAttempt, std::uint64_t aSend, const AttemptOutcome& aOutcome);
  void ArriveAtServer(AttemptNumber aAttempt, std::uint64_t aSend, const std::string& aServer);
  void ResetAll(const std::function<bool(const Attempt&)>& aIsAffected);

  // RequestActions
  void Send(const AttemptCommand& aCommand) override;
  void Cancel(AttemptNumber aAttempt) override { attempts_.erase(aAttempt); }
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

  // PermitListener
  void OnPermit(Instant aNow, AttemptNumber aNumber, const std::string& aServer) override
  {
    router_.OnPermit(aNow, aNumber, aServer);
  }
  void OnPermitDelayed(Instant aNow, AttemptNumber aNumber) override
  {
    router_.OnPermitDelayed(aNow, aNumber);
  }
  void OnPermitDenied(Instant aNow, AttemptNumber aNumber, Duration aWait) override
  {
    router_.OnPermitDenied(aNow, aNumber, aWait);
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
  std::map<AttemptNumber, Attempt> attempts_;
  // Servers to which a connection is open, as far as this instance can tell.
  std::set<std::string> connected_;
  std::uint64_t lastSend_ = 0;
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
InstancesWorld::Instance::Send(const AttemptCommand& aCommand)
{
  const auto number = aCommand.number_;
  const auto send = ++lastSend_;
  const auto& server = aCommand.server_;
  attempts_[number] = { server, send };
  AttemptOutcome notSent;
  notSent.end_ = AttemptEnd::NotSent;
  const bool isOpen = connected_.contains(server);
  if (isOpen && (cut_ == LinkCut::Silent || cut_ == LinkCut::Refused)) {
    // The connection was open before the cut: it takes the request, which is never acknowledged, or
    // is reset.
    AttemptOutcome lost;
    lost.isConnectionLost_ = cut_ == LinkCut::Refused;
    connected_.erase(server);
    After(lost.isConnectionLost_ ? 2 * kOneWayLatency : kAckTimeout,
          [=, this] { End(number, send, lost); });
    return;
  }
  if (cut_ == LinkCut::Silent) {
    After(kConnectTimeout, [=, this] { End(number, send, notSent); });
    return;
  }
  const bool isCut = cut_ == LinkCut::Refused || (cut_ == LinkCut::OnlyNewOnes && !isOpen);
  if (isCut || !world_.servers_.at(server)->isUp_) {
    ++world_.refusedConnections_[server];
    After(2 * kOneWayLatency, [=, this] { End(number, send, notSent); });
    return;
  }
  connected_.insert(server);
  After(kOneWayLatency, [=, this] { ArriveAtServer(number, send, server); });
}

void
InstancesWorld::Instance::ArriveAtServer(AttemptNumber aAttempt,
                                         std::uint64_t aSend,
                                         const std::string& aServer)
{
  auto& server = *world_.servers_.at(aServer);
  const auto work = [this, aAttempt, aSend, aServer, &server] {
    ++server.running_;
    std::exponential_distribution<double> spread(1);
    After(Scale(kWork, spread(world_.random_)), [this, aAttempt, aSend, &server] {
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
        After(kOneWayLatency, [=, this] { End(aAttempt, aSend, answer); });
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
InstancesWorld::Instance::End(AttemptNumber aAttempt,
                              std::uint64_t aSend,
                              const AttemptOutcome& aOutcome)
{
  const auto attempt = attempts_.find(aAttempt);
  if (attempt == attempts_.end() || attempt->second.send_ != aSend) {
    return;
  }
  attempts_.erase(attempt);
  router_.OnAttemptEnded(Now(), aAttempt, aOutcome);
}

void
InstancesWorld::Instance::ResetAll(const std::function<bool(const Attempt&)>& aIsAffected)
{
  AttemptOutcome reset;
  reset.isConnectionLost_ = true;
  const auto attempts = attempts_;
  for (const auto& [number, attempt] : attempts) {
    if (aIsAffected(attempt)) {
      End(number, attempt.send_, reset);
    }
  }
}

void
InstancesWorld::Instance::SetCut(LinkCut aCut)
{
  cut_ = aCut;
  if (aCut == LinkCut::Refused) {
    ResetAll([](const Attempt&) { return true; });
  } else if (aCut == LinkCut::Silent) {
    // No answer arrives, and none of the requests under way is acknowledged any more.
    for (auto& [number, attempt] : attempts_) {
      attempt.send_ = ++lastSend_;
    }
  }
}

void
InstancesWorld::Instance::OnServerEnded(const std::string& aServer)
{
  connected_.erase(aServer);
  ResetAll([&](const Attempt& aAttempt) { return aAttempt.server_ == aServer; });
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
