#include "ShardedFleet.h"

#include <algorithm>
#include <deque>

namespace latchslip {

namespace {

constexpr Duration kOneWayLatency = milliseconds(1);
constexpr Duration kTickInterval = milliseconds(50);
constexpr Duration kInTime = milliseconds(800);
constexpr Duration kTimeLeft = milliseconds(1600);
// Bytes of a permit message with its part of the frame and of the packet headers.
constexpr double kMessageBytes = 120;
constexpr double kBitsPerByte = 8;
constexpr KeyNumber kKeysPerServer = 8;

std::string
AddressOf(std::size_t aInstance)
{
  return "i" + std::to_string(aInstance) + ":1";
}

std::size_t
IndexOf(const std::string& aAddress)
{
  return std::stoul(aAddress.substr(1));
}

std::string
ServerId(std::size_t aNumber)
{
  return "server-" + std::to_string(aNumber);
}

std::shared_ptr<const RouteTable>
MakeRoutes()
{
  RoutingConfiguration configuration;
  configuration.version_ = 1;
  configuration.services_ = { { "keyed", 500, true } };
  Route route;
  route.host_ = "a.example";
  route.pathPrefix_ = "/";
  route.latencyTarget_ = kInTime;
  route.timeLimit_ = kTimeLeft;
  route.maxAttempts_ = 2;
  route.hasLargeBodies_ = true;
  route.targets_ = { { "keyed", 1 } };
  configuration.routes_ = { route };
  return std::make_shared<const RouteTable>(RouteTable::Create(configuration).value());
}

} // namespace

// A server with its slots and a short queue.
struct ShardedFleet::Server
{
  unsigned running_ = 0;
  std::deque<std::function<void()>> waiting_;
};

// The parts of an instance that decide, and their I/O in the simulation.
class ShardedFleet::Instance
  : private RequestActions
  , private PermitClientActions
  , private DispatcherActions
  , private PermitListener
{
public:
  Instance(ShardedFleet& aFleet, std::size_t aIndex)
    : fleet_(aFleet)
    , index_(aIndex)
  {
    permits_.SetListener(*this);
  }

  void Start()
  {
    dispatcher_.SetRoutes(Now(), routes_);
    permits_.SetLoadManagement(routes_->UsesLoadManagement());
    permits_.SetServices(Now(), { "keyed" });
    router_.SetRoutes(Now(), routes_);
    // Spreads the timers of the instances.
    fleet_.queue_.ScheduleAfter(milliseconds(1 + static_cast<int>(index_ % 50)),
                                [this] { Tick(); });
  }

  void SetPeers(const std::map<std::string, FleetPeer>& aPeers)
  {
    router_.SetInstances(aPeers.size());
    permits_.SetPeers(Now(), aPeers);
  }

  void SetServers(std::size_t aServers)
  {
    KeyOwnership ownership{ "keyed", ++ownershipVersion_, {} };
    for (std::size_t number = 0; number < aServers; ++number) {
      const auto id = ServerId(number);
      if (directory_.Find(id) == nullptr) {
        directory_.Put(Now(), { id, "keyed", id, "hall", fleet_.settings_.slots_, false, 1 });
      }
      const auto first = static_cast<KeyNumber>(number * kKeysPerServer);
      ownership.ranges_.push_back(
        { first, static_cast<KeyNumber>(first + kKeysPerServer - 1), id, 1, "" });
    }
    dispatcher_.OnDirectoryChanged(Now());
    permits_.SetDispatcherCounts(Now(), CountDispatchers(*routes_, directory_));
    router_.OnDirectoryChanged(Now());
    router_.SetOwnership(Now(), ownership);
  }

  void Request(RequestNumber aNumber, KeyNumber aKey)
  {
    RoutedRequest request;
    request.number_ = aNumber;
    request.host_ = "a.example";
    request.path_ = "/";
    request.key_ = aKey;
    request.timeLeft_ = kTimeLeft;
    router_.OnRequest(Now(), std::move(request));
  }

  // Closes the links between this instance, which has ended, and the others.
  void CloseLinks()
  {
    isUp_ = false;
    for (auto& other : fleet_.instances_) {
      if (other->isUp_) {
        other->permits_.OnLinkDown(Now(), AddressOf(index_));
        other->dispatcher_.OnCallerGone(Now(), index_);
      }
    }
  }

  bool IsUp() const { return isUp_; }
  const PermitDispatcher& Dispatcher() const { return dispatcher_; }
  std::size_t InFlight() const { return router_.InFlight(); }

  // Added to each answer as a dispatcher.
  Duration answerDelay_{ 0 };
  // Time at which the link has sent all messages.
  Instant linkFreeAt_{ 0 };

private:
  Instant Now() const { return fleet_.queue_.Now(); }

  void Tick()
  {
    if (!isUp_) {
      return;
    }
    constexpr Duration kTimerStep = milliseconds(1);
    router_.OnTime(Now());
    dispatcher_.OnTime(Now());
    if (Now() >= nextTick_) {
      nextTick_ = Now() + kTickInterval;
      permits_.OnTime(Now());
    }
    fleet_.queue_.ScheduleAfter(kTimerStep, [this] { Tick(); });
  }

  // RequestActions
  void Send(const AttemptCommand& aCommand) override
  {
    fleet_.queue_.ScheduleAfter(kOneWayLatency, [this, aCommand] { ArriveAtServer(aCommand); });
  }
  void Cancel(AttemptNumber aAttempt) override { cancelled_.insert(aAttempt); }
  void Deliver(RequestNumber, AttemptNumber) override { ++fleet_.counts_.delivered_; }
  void Refuse(RequestNumber, const Refusal&) override { ++fleet_.counts_.refused_; }
  bool HasConnection(const std::string&) const override { return true; }
  void RecordLeaving(const std::string&, std::uint64_t) override {}
  void CountKey(const std::string&, KeyNumber) override {}

  void ArriveAtServer(const AttemptCommand& aCommand)
  {
    auto& server = *fleet_.servers_.at(aCommand.server_);
    ++fleet_.counts_.arrivals_;
    if (server.running_ == fleet_.settings_.slots_ &&
        server.waiting_.size() >= fleet_.settings_.serverQueue_) {
      ++fleet_.counts_.rejections_;
      End(aCommand.number_, AttemptEnd::NotRun, server);
      return;
    }
    const auto work = [this, aCommand, &server] { Work(aCommand, server); };
    if (server.running_ < fleet_.settings_.slots_) {
      work();
    } else {
      server.waiting_.emplace_back(work);
    }
  }

  void Work(const AttemptCommand& aCommand, Server& aServer)
  {
    ++aServer.running_;
    if (++fleet_.runs_[aCommand.request_] == 2) {
      ++fleet_.counts_.repeated_;
    }
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    fleet_.queue_.ScheduleAfter(Scale(fleet_.settings_.work_, spread(fleet_.random_)),
                                [this, aCommand, &aServer] {
                                  --aServer.running_;
                                  if (!aServer.waiting_.empty()) {
                                    const auto next = std::move(aServer.waiting_.front());
                                    aServer.waiting_.pop_front();
                                    next();
                                  }
                                  End(aCommand.number_, AttemptEnd::Answered, aServer);
                                });
  }

  void End(AttemptNumber aAttempt, AttemptEnd aEnd, const Server& aServer)
  {
    AttemptOutcome outcome;
    outcome.end_ = aEnd;
    outcome.status_ = aEnd == AttemptEnd::Answered ? 200 : 503;
    outcome.server_ = ServerStatus{ aServer.running_,
                                    static_cast<unsigned>(aServer.waiting_.size()),
                                    fleet_.settings_.slots_ };
    fleet_.queue_.ScheduleAfter(kOneWayLatency, [this, aAttempt, outcome] {
      if (isUp_ && cancelled_.erase(aAttempt) == 0) {
        router_.OnAttemptEnded(Now(), aAttempt, outcome);
      }
    });
  }

  // PermitClientActions
  void Send(const std::string& aDispatcher, const MessageToDispatcher& aMessage) override
  {
    if (const auto* request = std::get_if<PermitRequest>(&aMessage)) {
      requestedAt_[request->number_] = Now();
    }
    fleet_.counts_.withoutPermit_ += std::holds_alternative<SendNotice>(aMessage) &&
                                         std::get<SendNotice>(aMessage).ago_ == Duration(0)
                                       ? 1
                                       : 0;
    auto& dispatcher = *fleet_.instances_[IndexOf(aDispatcher)];
    const auto deliver = [this, &dispatcher, aMessage] {
      if (isUp_ && dispatcher.isUp_) {
        dispatcher.dispatcher_.OnMessage(Now(), index_, aMessage);
      }
    };
    if (&dispatcher == this) {
      fleet_.queue_.ScheduleAfter(Duration(0), deliver);
    } else {
      fleet_.Transmit(index_, deliver);
    }
  }
  void Connect(const std::string& aDispatcher) override
  {
    fleet_.queue_.ScheduleAfter(2 * kOneWayLatency, [this, aDispatcher] {
      if (fleet_.instances_[IndexOf(aDispatcher)]->isUp_) {
        permits_.OnLinkUp(Now(), aDispatcher);
      } else {
        permits_.OnLinkDown(Now(), aDispatcher);
      }
    });
  }
  void Disconnect(const std::string&) override {}

  // DispatcherActions
  void Answer(CallerId aCaller, const MessageFromDispatcher& aMessage) override
  {
    auto& caller = *fleet_.instances_[aCaller];
    const auto deliver = [this, &caller, aMessage] {
      if (isUp_ && caller.isUp_) {
        caller.CountFirstAnswer(aMessage);
        caller.permits_.OnMessage(Now(), AddressOf(index_), aMessage);
      }
    };
    if (&caller == this) {
      fleet_.queue_.ScheduleAfter(Duration(0), deliver);
    } else {
      fleet_.Transmit(index_,
                      [this, deliver] { fleet_.queue_.ScheduleAfter(answerDelay_, deliver); });
    }
  }
  void RecordSuspension(const std::string&, CallerId, Duration) override {}
  void RecordResignation(std::size_t, Duration) override { ++fleet_.counts_.resignations_; }

  void CountFirstAnswer(const MessageFromDispatcher& aMessage)
  {
    const auto count = [this](AttemptNumber aNumber) {
      if (const auto request = requestedAt_.find(aNumber); request != requestedAt_.end()) {
        fleet_.counts_.firstAnswers_.push_back(Now() - request->second);
        requestedAt_.erase(request);
      }
    };
    if (const auto* permit = std::get_if<Permit>(&aMessage)) {
      count(permit->number_);
    } else if (const auto* delay = std::get_if<PermitDelay>(&aMessage)) {
      count(delay->number_);
    } else if (const auto* denial = std::get_if<PermitDenial>(&aMessage)) {
      count(denial->number_);
    }
  }

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

  ShardedFleet& fleet_;
  std::size_t index_;
  bool isUp_ = true;
  Instant nextTick_{ 0 };
  std::uint64_t ownershipVersion_ = 0;
  std::set<AttemptNumber> cancelled_;
  // When each permit request without an answer was sent.
  std::map<AttemptNumber, Instant> requestedAt_;
  std::shared_ptr<const RouteTable> routes_ = MakeRoutes();
  ServerDirectory directory_;
  PermitDispatcher dispatcher_{ directory_, *this };
  PermitClient permits_{ *this, fleet_.events_ };
  GatewayRouter router_{ { "hall", {}, static_cast<std::uint32_t>(index_ + 1) },
                         directory_,
                         *this,
                         permits_,
                         fleet_.events_ };
};

ShardedFleet::ShardedFleet(const ShardedFleetSettings& aSettings)
  : settings_(aSettings)
  , random_(aSettings.seed_)
{
  std::set<std::size_t> all;
  for (std::size_t index = 0; index < settings_.strong_ + settings_.weak_; ++index) {
    instances_.push_back(std::make_unique<Instance>(*this, index));
    all.insert(index);
  }
  const auto servers = std::exchange(settings_.servers_, 0);
  for (auto& instance : instances_) {
    instance->Start();
  }
  AddServers(servers);
  for (std::size_t index = 0; index < instances_.size(); ++index) {
    SetRoster(index, all);
  }
  NextRequest();
}

ShardedFleet::~ShardedFleet() = default;

std::map<std::string, FleetPeer>
ShardedFleet::Peers(const std::set<std::size_t>& aMembers) const
{
  std::map<std::string, FleetPeer> peers;
  for (const auto index : aMembers) {
    const bool isStrong = index < settings_.strong_;
    const auto address = AddressOf(index);
    peers[address] = { address,
                       "hall",
                       isStrong ? 0.5 : 0.1,
                       isStrong ? settings_.strongLinkMbps_ : settings_.weakLinkMbps_ };
  }
  return peers;
}

void
ShardedFleet::SetRoster(std::size_t aInstance, const std::set<std::size_t>& aMembers)
{
  instances_[aInstance]->SetPeers(Peers(aMembers));
}

void
ShardedFleet::AddServers(std::size_t aCount)
{
  for (std::size_t number = 0; number < aCount; ++number) {
    servers_[ServerId(settings_.servers_++)] = std::make_unique<Server>();
  }
  for (auto& instance : instances_) {
    instance->SetServers(settings_.servers_);
  }
}

void
ShardedFleet::End(std::size_t aInstance)
{
  auto& instance = *instances_[aInstance];
  // Their callers get no answer, and they do not count as lost by the others.
  counts_.requests_ -= instance.InFlight();
  instance.CloseLinks();
}

void
ShardedFleet::Transmit(std::size_t aInstance, std::function<void()> aAction)
{
  const double mbps =
    aInstance < settings_.strong_ ? settings_.strongLinkMbps_ : settings_.weakLinkMbps_;
  // Mbit/s are bits per microsecond.
  const Duration time(static_cast<Duration::rep>(kMessageBytes * kBitsPerByte / mbps));
  auto& freeAt = instances_[aInstance]->linkFreeAt_;
  freeAt = std::max(freeAt, queue_.Now()) + time;
  queue_.ScheduleAt(freeAt + kOneWayLatency, std::move(aAction));
}

void
ShardedFleet::NextRequest()
{
  std::exponential_distribution<double> pause(settings_.rate_);
  queue_.ScheduleAfter(Scale(seconds(1), pause(random_)), [this] {
    if (isDraining_) {
      return;
    }
    std::uniform_int_distribution<std::size_t> instance(0, instances_.size() - 1);
    std::uniform_int_distribution<std::size_t> key(0, settings_.servers_ * kKeysPerServer - 1);
    auto& chosen = *instances_[instance(random_)];
    const auto number = static_cast<KeyNumber>(key(random_));
    if (chosen.IsUp()) {
      ++counts_.requests_;
      chosen.Request(++lastRequest_, number);
    }
    NextRequest();
  });
}

void
ShardedFleet::SetAnswerDelay(std::size_t aInstance, Duration aDelay)
{
  instances_[aInstance]->answerDelay_ = aDelay;
}

void
ShardedFleet::Drain()
{
  isDraining_ = true;
  Run(2 * kTimeLeft);
}

std::set<std::size_t>
ShardedFleet::Dispatchers() const
{
  std::set<std::size_t> dispatchers;
  for (std::size_t index = 0; index < instances_.size(); ++index) {
    const auto& instance = *instances_[index];
    if (instance.IsUp() && instance.Dispatcher().InFlight() + instance.Dispatcher().Queued() > 0) {
      dispatchers.insert(index);
    }
  }
  return dispatchers;
}

std::size_t
ShardedFleet::QueuedAt(std::size_t aInstance) const
{
  return instances_[aInstance]->Dispatcher().Queued();
}

std::size_t
ShardedFleet::BusiestDispatcher() const
{
  const auto dispatchers = Dispatchers();
  return *std::max_element(dispatchers.begin(), dispatchers.end(), [&](auto aLeft, auto aRight) {
    return instances_[aLeft]->Dispatcher().InFlight() < instances_[aRight]->Dispatcher().InFlight();
  });
}

} // namespace latchslip
