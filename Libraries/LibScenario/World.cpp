#include "LibScenario/World.h"

#include "LibScenario/WorldParts.h"

#include <algorithm>

namespace latchslip {

namespace {

constexpr Duration kTick = milliseconds(10);
constexpr Duration kListPoll = milliseconds(500);
constexpr Duration kStartLimit = seconds(20);
constexpr Duration kMostClockOffset = seconds(100000);

} // namespace

World::World(std::uint64_t aSeed, std::vector<std::string> aHalls)
  : random_(aSeed)
  , halls_(std::move(aHalls))
{
}

World::~World() = default;

void
World::AddInstance(const std::string& aName)
{
  const Duration offset(random_() % static_cast<std::uint64_t>(kMostClockOffset.count()));
  const auto& hall = halls_[instances_.size() % halls_.size()];
  instances_.emplace(aName, std::make_unique<InstanceSide>(*this, aName, hall, offset));
}

void
World::AddService(const ServiceSettings& aSettings)
{
  ServiceDeclaration service;
  service.name_ = aSettings.name_;
  service.checksOrders_ = aSettings.checksOrders_;
  service.slots_ = aSettings.slots_;
  service.connections_ = 130;
  for (std::size_t number = 1; number <= aSettings.servers_; ++number) {
    auto server = std::make_unique<Server>();
    server->name_ = aSettings.name_ + "-" + std::to_string(number);
    server->settings_ = aSettings;
    server->hall_ = halls_[number % halls_.size()];
    server->clockOffset_ =
      Duration(random_() % static_cast<std::uint64_t>(kMostClockOffset.count()));
    service.servers_.push_back(
      { server->name_, "127.0.0.1:" + std::to_string(9000 + number), server->hall_, false });
    servers_[server->name_] = std::move(server);
  }
  declaration_.services_.push_back(std::move(service));
}

void
World::Boot(InstanceSide& aInstance)
{
  aInstance.incarnation_ = ++nextBoot_;
  aInstance.isLeaving_ = false;
  aInstance.isStopped_ = false;
  aInstance.serverOfWork_.clear();
  aInstance.core_ = std::make_unique<InstanceCore>(
    MakeInstanceId(aInstance.name_, std::to_string(aInstance.incarnation_)),
    aInstance.hall_,
    InstanceTiming{},
    aInstance,
    aInstance);
  unlisted_.erase(aInstance.name_);
}

bool
World::Start()
{
  for (auto& [name, server] : servers_) {
    RestartServer(name);
  }
  for (auto& [name, instance] : instances_) {
    Boot(*instance);
  }
  DeliverLists();
  for (auto& [name, instance] : instances_) {
    ConnectPeers(*instance);
  }
  Advance(milliseconds(100));
  Plan("start", instances_.begin()->first, declaration_);
  Confirm("start", instances_.begin()->first);
  const auto limit = Now() + kStartLimit;
  const auto isReady = [&] {
    std::size_t granted = 0;
    for (const auto& [name, instance] : instances_) {
      for (const auto& [key, held] : instance->core_->Dispatch().Held()) {
        granted += held->keeper_.State() == GrantState::Granted ? 1 : 0;
      }
    }
    const auto up = std::count_if(
      servers_.begin(), servers_.end(), [](const auto& aServer) { return aServer.second->IsUp(); });
    return granted >= static_cast<std::size_t>(up) && StatusOfConfirm("start") == 200;
  };
  while (!isReady() && Now() < limit) {
    Advance(milliseconds(50));
  }
  return isReady();
}

void
World::Advance(Duration aSpan)
{
  const auto end = Now() + aSpan;
  while (Now() < end) {
    const auto step = std::min(kTick, end - Now());
    RunLoads(step);
    queue_.RunUntil(Now() + step);
    TickAll();
  }
}

void
World::TickAll()
{
  if (Now().count() % kListPoll.count() < kTick.count()) {
    DeliverLists();
  }
  for (auto& [name, instance] : instances_) {
    if (!instance->core_ || frozen_.contains(name)) {
      continue;
    }
    instance->core_->Tick(instance->Clock());
    CheckViews(*instance);
    if (instance->isLeaving_ && instance->core_->MayStop()) {
      invariants_.OnCut(Now(),
                        name,
                        instance->core_->Callers().Pending() +
                          instance->core_->Dispatch().HeldCount());
      instance->core_.reset();
      instance->isStopped_ = true;
      ListGone(name);
    }
  }
}

void
World::CheckViews(InstanceSide& aInstance)
{
  const auto& view = aInstance.core_->CurrentView();
  const auto& self = aInstance.core_->Members().Self();
  for (const auto& stamp : view.Stamps()) {
    const auto* row = view.FindRow(stamp.key_);
    if (row == nullptr) {
      continue;
    }
    const auto* placed =
      stamp.key_ == kConfigurationKey
        ? nullptr
        : view.FindPlacement(std::string_view(stamp.key_).substr(kPlacementPrefix.size()));
    const auto token =
      placed == nullptr ? TokenOfConfigurationRow(row->value_) : placed->placement_.token_;
    invariants_.OnView(Now(), self, stamp.key_, row->version_, token);
  }
}

void
World::DeliverLists()
{
  std::vector<ListedInstance> list;
  for (const auto& [name, instance] : instances_) {
    if (!unlisted_.contains(name)) {
      list.push_back({ name, "127.0.0.1:7000", instance->hall_, instance->isLeaving_ });
    }
  }
  queue_.After(listLag_, [this, list] {
    for (auto& [name, instance] : instances_) {
      if (instance->core_ && !frozen_.contains(name)) {
        instance->core_->OnInstanceList(instance->Clock(), list);
      }
    }
  });
}

void
World::ListGone(const std::string& aName)
{
  unlisted_.insert(aName);
}

void
World::KillInstance(const std::string& aName)
{
  auto& instance = *instances_.at(aName);
  if (!instance.core_) {
    return;
  }
  const auto id = instance.core_->Members().Self();
  instance.core_.reset();
  frozen_.erase(aName);
  waitingForThaw_.erase(aName);
  // All its connections are reset: servers continue their running work as orphans, peers see the
  // connection close, and the outcome of its callers' requests is unknown.
  for (auto& [name, server] : servers_) {
    if (!server->IsUp()) {
      continue;
    }
    for (const auto& [work, serverName] : instance.serverOfWork_) {
      const auto running = server->workByOrder_.find(work);
      if (serverName == name && running != server->workByOrder_.end()) {
        server->state_->Orphan(running->second);
      }
    }
  }
  for (auto& [name, other] : instances_) {
    if (other->core_ && !IsCut(name, aName)) {
      Carry(aName, name, [this, name = name, id] {
        auto& peer = *instances_.at(name);
        peer.core_->OnPeerDown(peer.Clock(), id);
      });
    }
  }
  std::vector<CallerId> stranded;
  for (const auto& [caller, request] : callers_) {
    if (request.instance_ == aName) {
      stranded.push_back(caller);
    }
  }
  for (const auto caller : stranded) {
    OnCallerAnswer(instance, caller, MakeUnknown(Reason::ConnectionBroken));
  }
}

void
World::KillServer(const std::string& aName, bool aSilently)
{
  auto& server = *servers_.at(aName);
  server.state_.reset();
  server.isSilent_ = aSilently;
  server.workByOrder_.clear();
  frozen_.erase(aName);
  waitingForThaw_.erase(aName);
  invariants_.OnServerLost(server.settings_.name_, aName);
  if (aSilently) {
    return;
  }
  for (auto& [name, instance] : instances_) {
    for (const auto& [work, serverName] : instance->serverOfWork_) {
      if (serverName == aName) {
        ReplyWork(aName, name, instance->incarnation_, work, WorkReply{});
      }
    }
  }
}

void
World::BreakConnections(const std::string& aServer)
{
  auto* server = FindServer(aServer);
  if (server == nullptr) {
    return;
  }
  for (auto& [name, instance] : instances_) {
    for (const auto& [work, serverName] : instance->serverOfWork_) {
      if (serverName != aServer) {
        continue;
      }
      const auto running = server->workByOrder_.find(work);
      if (running != server->workByOrder_.end()) {
        server->state_->Orphan(running->second);
      }
      ReplyWork(aServer, name, instance->incarnation_, work, WorkReply{});
    }
  }
}

void
World::RestartInstance(const std::string& aName)
{
  KillInstance(aName);
  auto& instance = *instances_.at(aName);
  Boot(instance);
  DeliverLists();
  ConnectPeers(instance);
}

void
World::RestartServer(const std::string& aName)
{
  auto& server = *servers_.at(aName);
  if (server.IsUp()) {
    KillServer(aName, false);
  }
  server.boot_ = ++nextBoot_;
  server.isSilent_ = false;
  server.state_ = std::make_unique<ServerState>(
    server.settings_.slots_, server.settings_.checksOrders_, server.boot_);
}

void
World::SetShedding(const std::string& aServer, bool aSheds)
{
  servers_.at(aServer)->sheds_ = aSheds;
}

void
World::Freeze(const std::string& aName)
{
  frozen_.insert(aName);
}

void
World::Thaw(const std::string& aName)
{
  if (frozen_.erase(aName) == 0) {
    return;
  }
  auto waiting = std::move(waitingForThaw_[aName]);
  waitingForThaw_.erase(aName);
  for (auto& action : waiting) {
    action();
  }
}

void
World::Cut(const std::string& aOne, const std::string& aOther)
{
  cuts_.insert(std::minmax(aOne, aOther));
}

void
World::Heal(const std::string& aOne, const std::string& aOther)
{
  cuts_.erase(std::minmax(aOne, aOther));
  for (const auto& way : { std::pair(aOne, aOther), std::pair(aOther, aOne) }) {
    auto held = std::move(heldUp_[way]);
    heldUp_.erase(way);
    for (auto& action : held) {
      Carry(way.first, way.second, std::move(action));
    }
  }
}

void
World::HealAll()
{
  const auto cuts = cuts_;
  for (const auto& [one, other] : cuts) {
    Heal(one, other);
  }
}

void
World::DrainInstance(const std::string& aName)
{
  auto& instance = *instances_.at(aName);
  instance.isLeaving_ = true;
  instance.core_->BeginLeaving(instance.Clock());
}

void
World::StartLoad(const LoadSettings& aSettings)
{
  loads_.emplace_back(aSettings, 0);
}

void
World::RunLoads(Duration aSpan)
{
  for (auto& [load, due] : loads_) {
    due += load.rate_ * std::chrono::duration<double>(aSpan).count();
    while (due >= 1) {
      due -= 1;
      const double share = static_cast<double>(random_() % 10000) / 10000;
      // Round robin, so that the time between two requests for a key is not random.
      const auto key = share < load.hotShare_ ? 0 : nextRequest_ % load.keys_;
      const auto instance = PickInstance();
      if (!instance.empty()) {
        Send("r" + std::to_string(++nextRequest_), instance, load, "k" + std::to_string(key));
      }
    }
  }
}

std::string
World::PickInstance()
{
  // The platform's load balancer skips instances that refuse connections or announce that they are
  // leaving; it can't detect frozen ones.
  std::vector<std::string> takers;
  for (const auto& [name, instance] : instances_) {
    if (instance->core_ && !instance->isLeaving_) {
      takers.push_back(name);
    }
  }
  return takers.empty() ? std::string() : takers[random_() % takers.size()];
}

void
World::Send(const std::string& aRequestId,
            const std::string& aInstance,
            const LoadSettings& aHow,
            const std::string& aKey)
{
  const auto caller = ++nextCaller_;
  callers_[caller] = { aRequestId, aHow.service_, aKey, aInstance, Now() };
  invariants_.OnSent(aRequestId, aHow.isRepeatable_);
  ++counts_.sent_;
  auto& instance = *instances_.at(aInstance);
  if (!instance.core_) {
    OnCallerAnswer(instance, caller, MakeNotRun(Reason::HolderUnreachable, Duration{ 0 }));
    return;
  }
  Carry("callers", aInstance, [this, caller, aInstance, aHow, aRequestId, aKey] {
    auto& side = *instances_.at(aInstance);
    WorkRequest request;
    request.service_ = aHow.service_;
    request.group_ = aHow.group_;
    request.key_ = aKey;
    request.requestId_ = aRequestId;
    request.isRepeatable_ = aHow.isRepeatable_;
    request.deadline_ = side.Clock() + aHow.deadline_;
    request.body_ = std::make_shared<const std::string>(aRequestId);
    side.core_->OnCaller(side.Clock(), caller, request);
  });
}

void
World::Plan(const std::string& aPlan, const std::string& aInstance, const Declaration& aWanted)
{
  auto& instance = *instances_.at(aInstance);
  const auto id = ++nextCaller_;
  planOfOperator_[id] = "plan " + aPlan;
  instance.core_->OnPlan(instance.Clock(), id, SerializeDeclaration(aWanted));
}

void
World::Confirm(const std::string& aPlan, const std::string& aInstance)
{
  auto& instance = *instances_.at(aInstance);
  const auto id = ++nextCaller_;
  auto& confirmation = confirmations_[aPlan];
  confirmation.status_ = 0;
  confirmation.askedAt_ = Now();
  planOfOperator_[id] = "confirm " + aPlan;
  instance.core_->OnConfirm(instance.Clock(), id, confirmation.plan_);
}

unsigned
World::StatusOfConfirm(const std::string& aPlan) const
{
  const auto found = confirmations_.find(aPlan);
  return found == confirmations_.end() ? 0 : found->second.status_;
}

const std::string&
World::AnswerOfConfirm(const std::string& aPlan) const
{
  return confirmations_.at(aPlan).answer_;
}

Duration
World::TimeOfConfirm(const std::string& aPlan) const
{
  const auto& confirmation = confirmations_.at(aPlan);
  return confirmation.answeredAt_ - confirmation.askedAt_;
}

std::optional<RequestOutcome>
World::OutcomeOf(const std::string& aRequestId) const
{
  const auto found = outcomes_.find(aRequestId);
  return found == outcomes_.end() ? std::nullopt : std::optional(found->second.first);
}

Reason
World::ReasonOf(const std::string& aRequestId) const
{
  const auto found = outcomes_.find(aRequestId);
  return found == outcomes_.end() ? Reason::None : found->second.second;
}

Duration
World::LongestGap(const std::string& aService) const
{
  Duration longest{ 0 };
  const auto found = gaps_.find(aService);
  if (found != gaps_.end()) {
    for (const auto& [key, gap] : found->second) {
      longest = std::max({ longest, gap.second, Now() - gap.first });
    }
  }
  return longest;
}

void
World::ForgetGaps()
{
  for (auto& [service, keys] : gaps_) {
    for (auto& [key, gap] : keys) {
      gap = { Now(), Duration{ 0 } };
    }
  }
  busy_.clear();
  executedByGroup_.clear();
}

std::size_t
World::SlicesMoved() const
{
  return EventCount(Event::SliceMoved);
}

double
World::Imbalance(const std::string& aService) const
{
  double most = 0;
  double sum = 0;
  std::size_t count = 0;
  for (const auto& [name, server] : servers_) {
    if (server->settings_.name_ != aService || !server->IsUp()) {
      continue;
    }
    const auto found = busy_.find(name);
    const auto busy = found == busy_.end() ? 0.0 : static_cast<double>(found->second.count());
    most = std::max(most, busy);
    sum += busy;
    ++count;
  }
  return sum <= 0 ? 1 : most * static_cast<double>(count) / sum;
}

double
World::ShareOf(const std::string& aGroup, const std::string& aService) const
{
  std::size_t total = 0;
  for (const auto& [key, count] : executedByGroup_) {
    total += key.first == aService ? count : 0;
  }
  const auto found = executedByGroup_.find({ aService, aGroup });
  return total == 0 || found == executedByGroup_.end()
           ? 0
           : static_cast<double>(found->second) / static_cast<double>(total);
}

bool
World::IsStopped(const std::string& aInstance) const
{
  return instances_.at(aInstance)->isStopped_;
}

bool
World::IsUp(const std::string& aInstance) const
{
  return instances_.at(aInstance)->core_ != nullptr;
}

InstanceCore*
World::Core(const std::string& aInstance)
{
  const auto found = instances_.find(aInstance);
  return found == instances_.end() ? nullptr : found->second->core_.get();
}

std::vector<std::string>
World::InstanceNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, instance] : instances_) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string>
World::ServerNames(const std::string& aService) const
{
  std::vector<std::string> names;
  for (const auto& [name, server] : servers_) {
    if (server->settings_.name_ == aService) {
      names.push_back(name);
    }
  }
  return names;
}

std::size_t
World::EventCount(Event aEvent) const
{
  const auto found = eventCounts_.find(aEvent);
  return found == eventCounts_.end() ? 0 : found->second;
}

} // namespace latchslip
