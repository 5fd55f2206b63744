#include "LibScenario/SimulatedFleet.h"

#include "LibScenario/SimulatedFleetParts.h"

#include <algorithm>

namespace latchslip {

namespace {

constexpr Duration kTickInterval = milliseconds(10);
constexpr Duration kListPollInterval = milliseconds(500);
constexpr Duration kStartTimeout = seconds(20);
constexpr Duration kMaxClockOffset = seconds(100000);

} // namespace

SimulatedFleet::SimulatedFleet(std::uint64_t aSeed, std::vector<std::string> aHalls)
  : random_(aSeed)
  , halls_(std::move(aHalls))
{
}

SimulatedFleet::~SimulatedFleet() = default;

void
SimulatedFleet::AddInstance(const std::string& aName)
{
  const Duration offset(random_() % static_cast<std::uint64_t>(kMaxClockOffset.count()));
  const auto& hall = halls_[instances_.size() % halls_.size()];
  instances_.emplace(aName, std::make_unique<SimulatedInstance>(*this, aName, hall, offset));
}

void
SimulatedFleet::AddService(const ServiceSettings& aSettings)
{
  ServiceDeclaration service;
  service.name_ = aSettings.name_;
  service.checksGrants_ = aSettings.checksGrants_;
  service.slots_ = aSettings.slots_;
  service.connections_ = 130;
  for (std::size_t number = 1; number <= aSettings.servers_; ++number) {
    auto server = std::make_unique<Server>();
    server->name_ = aSettings.name_ + "-" + std::to_string(number);
    server->settings_ = aSettings;
    server->hall_ = halls_[number % halls_.size()];
    server->clockOffset_ =
      Duration(random_() % static_cast<std::uint64_t>(kMaxClockOffset.count()));
    service.servers_.push_back(
      { server->name_, "127.0.0.1:" + std::to_string(9000 + number), server->hall_, false });
    servers_[server->name_] = std::move(server);
  }
  declaration_.services_.push_back(std::move(service));
}

void
SimulatedFleet::StartInstance(SimulatedInstance& aInstance)
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
SimulatedFleet::Start()
{
  for (auto& [name, server] : servers_) {
    RestartServer(name);
  }
  for (auto& [name, instance] : instances_) {
    StartInstance(*instance);
  }
  SendInstanceLists();
  for (auto& [name, instance] : instances_) {
    ConnectPeers(*instance);
  }
  Advance(milliseconds(100));
  Plan("start", instances_.begin()->first, declaration_);
  Confirm("start", instances_.begin()->first);
  const auto limit = Now() + kStartTimeout;
  const auto isReady = [&] {
    std::size_t granted = 0;
    for (const auto& [name, instance] : instances_) {
      for (const auto& [key, held] : instance->core_->Dispatch().Held()) {
        granted += held->grantManager_.State() == GrantState::Granted ? 1 : 0;
      }
    }
    const auto up = std::count_if(
      servers_.begin(), servers_.end(), [](const auto& aServer) { return aServer.second->IsUp(); });
    return granted >= static_cast<std::size_t>(up) && ConfirmationStatus("start") == 200;
  };
  while (!isReady() && Now() < limit) {
    Advance(milliseconds(50));
  }
  return isReady();
}

void
SimulatedFleet::Advance(Duration aSpan)
{
  const auto end = Now() + aSpan;
  while (Now() < end) {
    const auto step = std::min(kTickInterval, end - Now());
    RunLoads(step);
    queue_.RunUntil(Now() + step);
    TickAll();
  }
}

void
SimulatedFleet::TickAll()
{
  if (Now().count() % kListPollInterval.count() < kTickInterval.count()) {
    SendInstanceLists();
  }
  for (auto& [name, instance] : instances_) {
    if (!instance->core_ || frozen_.contains(name)) {
      continue;
    }
    instance->core_->Tick(instance->LocalTime());
    CheckViews(*instance);
    if (instance->isLeaving_ && instance->core_->MayStop()) {
      invariants_.OnInstanceStopped(Now(),
                                    name,
                                    instance->core_->Callers().Pending() +
                                      instance->core_->Dispatch().HeldCount());
      instance->core_.reset();
      instance->isStopped_ = true;
      RemoveFromList(name);
    }
  }
}

void
SimulatedFleet::CheckViews(SimulatedInstance& aInstance)
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
SimulatedFleet::SendInstanceLists()
{
  std::vector<ListedInstance> list;
  for (const auto& [name, instance] : instances_) {
    if (!unlisted_.contains(name)) {
      list.push_back({ name, "127.0.0.1:7000", instance->hall_, instance->isLeaving_ });
    }
  }
  queue_.ScheduleAfter(listLag_, [this, list] {
    for (auto& [name, instance] : instances_) {
      if (instance->core_ && !frozen_.contains(name)) {
        instance->core_->OnInstanceList(instance->LocalTime(), list);
      }
    }
  });
}

void
SimulatedFleet::RemoveFromList(const std::string& aName)
{
  unlisted_.insert(aName);
}

void
SimulatedFleet::KillInstance(const std::string& aName)
{
  auto& instance = *instances_.at(aName);
  if (!instance.core_) {
    return;
  }
  const auto id = instance.core_->Members().Self();
  instance.core_.reset();
  frozen_.erase(aName);
  pausedActions_.erase(aName);
  // All its connections are reset: servers continue their running work as orphans, peers see the
  // connection close, and the outcome of its callers' requests is unknown.
  for (auto& [name, server] : servers_) {
    if (!server->IsUp()) {
      continue;
    }
    for (const auto& [work, serverName] : instance.serverOfWork_) {
      const auto running = server->workByCommand_.find(work);
      if (serverName == name && running != server->workByCommand_.end()) {
        server->state_->MarkOrphaned(running->second);
      }
    }
  }
  for (auto& [name, other] : instances_) {
    if (other->core_ && !IsPartitioned(name, aName)) {
      Deliver(aName, name, [this, name = name, id] {
        auto& peer = *instances_.at(name);
        peer.core_->OnPeerDown(peer.LocalTime(), id);
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
SimulatedFleet::KillServer(const std::string& aName, bool aSilently)
{
  auto& server = *servers_.at(aName);
  server.state_.reset();
  server.isSilent_ = aSilently;
  server.workByCommand_.clear();
  frozen_.erase(aName);
  pausedActions_.erase(aName);
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
SimulatedFleet::BreakConnections(const std::string& aServer)
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
      const auto running = server->workByCommand_.find(work);
      if (running != server->workByCommand_.end()) {
        server->state_->MarkOrphaned(running->second);
      }
      ReplyWork(aServer, name, instance->incarnation_, work, WorkReply{});
    }
  }
}

void
SimulatedFleet::RestartInstance(const std::string& aName)
{
  KillInstance(aName);
  auto& instance = *instances_.at(aName);
  StartInstance(instance);
  SendInstanceLists();
  ConnectPeers(instance);
}

void
SimulatedFleet::RestartServer(const std::string& aName)
{
  auto& server = *servers_.at(aName);
  if (server.IsUp()) {
    KillServer(aName, false);
  }
  server.boot_ = ++nextBoot_;
  server.isSilent_ = false;
  server.state_ = std::make_unique<ServerState>(
    server.settings_.slots_, server.settings_.checksGrants_, server.boot_);
}

void
SimulatedFleet::SetShedding(const std::string& aServer, bool aIsShedding)
{
  servers_.at(aServer)->isShedding_ = aIsShedding;
}

void
SimulatedFleet::Freeze(const std::string& aName)
{
  frozen_.insert(aName);
}

void
SimulatedFleet::Thaw(const std::string& aName)
{
  if (frozen_.erase(aName) == 0) {
    return;
  }
  auto waiting = std::move(pausedActions_[aName]);
  pausedActions_.erase(aName);
  for (auto& action : waiting) {
    action();
  }
}

void
SimulatedFleet::Partition(const std::string& aOne, const std::string& aOther)
{
  partitions_.insert(std::minmax(aOne, aOther));
}

void
SimulatedFleet::Heal(const std::string& aOne, const std::string& aOther)
{
  partitions_.erase(std::minmax(aOne, aOther));
  for (const auto& way : { std::pair(aOne, aOther), std::pair(aOther, aOne) }) {
    auto held = std::move(heldMessages_[way]);
    heldMessages_.erase(way);
    for (auto& action : held) {
      Deliver(way.first, way.second, std::move(action));
    }
  }
}

void
SimulatedFleet::HealAll()
{
  const auto cuts = partitions_;
  for (const auto& [one, other] : cuts) {
    Heal(one, other);
  }
}

void
SimulatedFleet::DrainInstance(const std::string& aName)
{
  auto& instance = *instances_.at(aName);
  instance.isLeaving_ = true;
  instance.core_->BeginLeaving(instance.LocalTime());
}

void
SimulatedFleet::StartLoad(const LoadSettings& aSettings)
{
  loads_.emplace_back(aSettings, 0);
}

void
SimulatedFleet::RunLoads(Duration aSpan)
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
SimulatedFleet::PickInstance()
{
  // The platform's load balancer skips instances that refuse connections or announce that they are
  // leaving; it can't detect frozen ones.
  std::vector<std::string> candidates;
  for (const auto& [name, instance] : instances_) {
    if (instance->core_ && !instance->isLeaving_) {
      candidates.push_back(name);
    }
  }
  return candidates.empty() ? std::string() : candidates[random_() % candidates.size()];
}

void
SimulatedFleet::Send(const std::string& aRequestId,
                     const std::string& aInstance,
                     const LoadSettings& aLoad,
                     const std::string& aKey)
{
  const auto caller = ++nextCaller_;
  callers_[caller] = { aRequestId, aLoad.service_, aKey, aInstance, Now() };
  invariants_.OnSent(aRequestId, aLoad.isRepeatable_);
  ++counts_.sent_;
  auto& instance = *instances_.at(aInstance);
  if (!instance.core_) {
    OnCallerAnswer(instance, caller, MakeNotRun(Reason::HolderUnreachable, Duration{ 0 }));
    return;
  }
  Deliver("callers", aInstance, [this, caller, aInstance, aLoad, aRequestId, aKey] {
    auto& side = *instances_.at(aInstance);
    WorkRequest request;
    request.service_ = aLoad.service_;
    request.group_ = aLoad.group_;
    request.key_ = aKey;
    request.requestId_ = aRequestId;
    request.isRepeatable_ = aLoad.isRepeatable_;
    request.deadline_ = side.LocalTime() + aLoad.deadline_;
    request.body_ = std::make_shared<const std::string>(aRequestId);
    side.core_->OnCaller(side.LocalTime(), caller, request);
  });
}

void
SimulatedFleet::Plan(const std::string& aPlan,
                     const std::string& aInstance,
                     const Declaration& aDeclaration)
{
  auto& instance = *instances_.at(aInstance);
  const auto id = ++nextCaller_;
  planOfOperator_[id] = "plan " + aPlan;
  instance.core_->OnPlan(instance.LocalTime(), id, SerializeDeclaration(aDeclaration));
}

void
SimulatedFleet::Confirm(const std::string& aPlan, const std::string& aInstance)
{
  auto& instance = *instances_.at(aInstance);
  const auto id = ++nextCaller_;
  auto& confirmation = confirmations_[aPlan];
  confirmation.status_ = 0;
  confirmation.requestedAt_ = Now();
  planOfOperator_[id] = "confirm " + aPlan;
  instance.core_->OnConfirm(instance.LocalTime(), id, confirmation.plan_);
}

unsigned
SimulatedFleet::ConfirmationStatus(const std::string& aPlan) const
{
  const auto found = confirmations_.find(aPlan);
  return found == confirmations_.end() ? 0 : found->second.status_;
}

const std::string&
SimulatedFleet::ConfirmationAnswer(const std::string& aPlan) const
{
  return confirmations_.at(aPlan).answer_;
}

Duration
SimulatedFleet::ConfirmationTime(const std::string& aPlan) const
{
  const auto& confirmation = confirmations_.at(aPlan);
  return confirmation.answeredAt_ - confirmation.requestedAt_;
}

std::optional<RequestOutcome>
SimulatedFleet::OutcomeOf(const std::string& aRequestId) const
{
  const auto found = outcomes_.find(aRequestId);
  return found == outcomes_.end() ? std::nullopt : std::optional(found->second.first);
}

Reason
SimulatedFleet::ReasonOf(const std::string& aRequestId) const
{
  const auto found = outcomes_.find(aRequestId);
  return found == outcomes_.end() ? Reason::None : found->second.second;
}

Duration
SimulatedFleet::LongestGap(const std::string& aService) const
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
SimulatedFleet::ResetMeasurements()
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
SimulatedFleet::SlicesMoved() const
{
  return EventCount(Event::SliceMoved);
}

double
SimulatedFleet::Imbalance(const std::string& aService) const
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
SimulatedFleet::ShareOf(const std::string& aGroup, const std::string& aService) const
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
SimulatedFleet::IsStopped(const std::string& aInstance) const
{
  return instances_.at(aInstance)->isStopped_;
}

bool
SimulatedFleet::IsUp(const std::string& aInstance) const
{
  return instances_.at(aInstance)->core_ != nullptr;
}

InstanceCore*
SimulatedFleet::Core(const std::string& aInstance)
{
  const auto found = instances_.find(aInstance);
  return found == instances_.end() ? nullptr : found->second->core_.get();
}

std::vector<std::string>
SimulatedFleet::InstanceNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, instance] : instances_) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string>
SimulatedFleet::ServerNames(const std::string& aService) const
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
SimulatedFleet::EventCount(Event aEvent) const
{
  const auto found = eventCounts_.find(aEvent);
  return found == eventCounts_.end() ? 0 : found->second;
}

} // namespace latchslip
