// Choice of servers (load balancing) in GatewayRouter.

#include "LibGateway/GatewayRouter.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace latchslip {

namespace {

// Cost factor of a server in another data hall: traffic between halls is charged, and its latency
// is higher.
constexpr double kOtherHallCostFactor = 1.7;
// Cost factor of a server to which a connection must be opened: connections are charged, and
// opening one may hold a slot of the server for a moment. Less than 2, so that a second request
// at a connected server costs more than a first at another one.
constexpr double kNewConnectionCostFactor = 1.5;
// Weight of failures in the cost: a server that fails every request counts as this many times as
// slow.
constexpr double kFailureCostWeight = 15;
// Without updates, a range that began to move this long ago has most likely arrived. The request
// is sent to the new owner, which refuses keys that it does not hold.
constexpr Duration kStaleMoveTimeout = milliseconds(400);
// Factor by which an instance may exceed its equal share of a server's connections, because
// clients are not spread evenly over the instances.
constexpr std::size_t kMaxConnectionShareFactor = 3;
// Initial limit on requests in flight at one server, for all instances together, as a multiple of
// its slots.
constexpr std::size_t kInitialLimitPerSlot = 2;
// Maximum of that limit.
constexpr std::size_t kMaxLimitPerSlot = 3;
// Number of instances assumed while it is not known.
constexpr std::size_t kAssumedInstances = 8;

bool
HasServer(const std::vector<ServerCandidate>& aServers)
{
  return std::any_of(aServers.begin(), aServers.end(), [](const ServerCandidate& aServer) {
    return aServer.record_->AcceptsWork();
  });
}

// The servers that can take a request now: those that have not been tried yet or, if there are
// none, the others.
std::vector<ServerCandidate>
AvailableServers(Instant aNow,
                 const std::vector<ServerCandidate>& aServers,
                 const std::vector<std::string>& aTried)
{
  std::vector<ServerCandidate> fresh;
  std::vector<ServerCandidate> again;
  for (const auto& server : aServers) {
    if (!server.record_->AcceptsWork() || !server.load_->HasCapacity(aNow)) {
      continue;
    }
    const bool isTried =
      std::find(aTried.begin(), aTried.end(), server.record_->id_) != aTried.end();
    (isTried ? again : fresh).push_back(server);
  }
  return fresh.empty() ? again : fresh;
}

} // namespace

ServiceState&
GatewayRouter::StateOf(const std::string& aService)
{
  const auto found = services_.find(aService);
  if (found != services_.end()) {
    return found->second;
  }
  return services_.emplace(aService, ServiceState(settings_.retries_)).first->second;
}

std::size_t
GatewayRouter::InstanceCount() const
{
  return instances_ == 0 ? kAssumedInstances : instances_;
}

ServerLoad&
GatewayRouter::LoadOf(const ServerRecord& aRecord, const RoutedService& aService)
{
  const auto instances = InstanceCount();
  const std::size_t slots = std::max(1U, aRecord.slots_);
  const auto connections = std::max<std::size_t>(1, aService.maxConnections_ / instances);
  const auto most = std::min(slots * kMaxLimitPerSlot, connections * kMaxConnectionShareFactor);
  const auto first = std::clamp<std::size_t>(
    (slots * kInitialLimitPerSlot * kMaxConnectionShareFactor + instances - 1) / instances,
    1,
    most);
  auto& load = loads_.try_emplace(aRecord.id_, first, most).first->second;
  load.SetMaxLimit(most);
  load.SetIncarnation(aRecord.incarnation_);
  return load;
}

void
GatewayRouter::RefreshServers(Instant aNow, ServiceState& aState, const RoutedService& aService)
{
  aState.servers_.clear();
  for (const auto* record : directory_.OfService(aService.name_)) {
    auto& load = LoadOf(*record, aService);
    LimitSlowStart(aNow, *record, aService, load);
    aState.servers_.push_back({ record, &load });
  }
}

void
GatewayRouter::LimitSlowStart(Instant aNow,
                              const ServerRecord& aRecord,
                              const RoutedService& aService,
                              ServerLoad& aLoad)
{
  if (aService.slowStartRate_ <= 0 || !aRecord.IsInSlowStart(aNow)) {
    return;
  }
  std::uniform_real_distribution<double> draw(0, 1);
  aLoad.SlowStart().Begin(aNow,
                          aRecord.slowStartUntil_,
                          aService.slowStartRate_ / static_cast<double>(InstanceCount()),
                          draw(random_));
}

void
GatewayRouter::OnDirectoryChanged(Instant aNow)
{
  if (!routes_) {
    return;
  }
  for (const auto& service : routes_->Configuration().services_) {
    RefreshServers(aNow, StateOf(service.name_), service);
  }
  // Requests may still wait for a service that was removed from the configuration.
  for (auto& [name, state] : services_) {
    if (routes_->FindService(name) == nullptr) {
      state.servers_.clear();
    }
  }
  std::erase_if(loads_, [&](const auto& aEntry) {
    // A backoff stays in effect if the server is listed again before its end.
    return directory_.Find(aEntry.first) == nullptr && aEntry.second.InFlight() == 0 &&
           aEntry.second.RemainingBackoff(aNow) == Duration(0);
  });
  std::erase_if(refusalStreaks_, [&](const auto& aEntry) {
    return !loads_.contains(aEntry.first) && routes_->FindService(aEntry.first) == nullptr;
  });
  shares_.KeepServers([&](const std::string& aServer) {
    return routes_->UsesLoadManagement() && loads_.contains(aServer);
  });
  statistics_.KeepServers([&](const std::string& aServer) { return loads_.contains(aServer); });
  paths_->KeepServers(
    [this](const std::string& aServer) { return directory_.Find(aServer) != nullptr; });
  for (const auto& service : routes_->Configuration().services_) {
    SendQueued(aNow, service.name_);
  }
}

void
GatewayRouter::SetRoutes(Instant aNow, std::shared_ptr<const RouteTable> aRoutes)
{
  if (!routes_) {
    firstRoutesAt_ = aNow;
  }
  routes_ = std::move(aRoutes);
  std::erase_if(services_, [&](const auto& aEntry) {
    return routes_->FindService(aEntry.first) == nullptr && aEntry.second.queue_.empty();
  });
  DropRemovedRoutes();
  RefuseRevoked(aNow);
  OnDirectoryChanged(aNow);
  RouteHeldRequests(aNow);
}

void
GatewayRouter::DropRemovedRoutes()
{
  std::set<std::string> names{ kNoRoute };
  for (const auto& route : routes_->Configuration().routes_) {
    names.insert(route.Name());
  }
  statistics_.Permits().KeepServices(
    [&](const std::string& aService) { return routes_->FindService(aService) != nullptr; });
  statistics_.KeepRoutes([&](const std::string& aRoute) { return names.contains(aRoute); });
  std::erase_if(requestAges_, [&](const auto& aEntry) { return !names.contains(aEntry.first); });
  std::erase_if(moveTimes_,
                [&](const auto& aEntry) { return routes_->FindService(aEntry.first) == nullptr; });
  statistics_.KeepGroups([&](const std::string& aGroup) {
    const auto& groups = routes_->Configuration().groups_;
    return std::any_of(groups.begin(), groups.end(), [&](const CallerGroup& aEntry) {
      return aEntry.name_ == aGroup;
    });
  });
}

void
GatewayRouter::RouteHeldRequests(Instant aNow)
{
  std::vector<RequestNumber> unrouted;
  for (const auto& [number, pending] : pending_) {
    if (!pending.routes_) {
      unrouted.push_back(number);
    }
  }
  for (const auto number : unrouted) {
    RouteRequest(aNow, pending_.at(number));
  }
}

void
GatewayRouter::SetOwnership(Instant aNow, KeyOwnership aOwnership)
{
  const auto service = aOwnership.service_;
  std::map<std::pair<std::string, FenceNumber>, Instant> moving;
  for (const auto& range : aOwnership.ranges_) {
    if (!range.previous_.empty()) {
      const std::pair key(service, range.fence_);
      const auto known = movingSince_.find(key);
      moving[key] = known == movingSince_.end() ? aNow : known->second;
    }
  }
  RecordMoves(aNow, aOwnership);
  std::erase_if(movingSince_, [&](const auto& aEntry) { return aEntry.first.first == service; });
  movingSince_.merge(moving);
  ownership_[service] = std::move(aOwnership);
  if (services_.contains(service)) {
    SendQueued(aNow, service);
  }
}

void
GatewayRouter::RecordMoves(Instant aNow, const KeyOwnership& aOwnership)
{
  for (const auto& range : aOwnership.ranges_) {
    const auto since = movingSince_.find({ aOwnership.service_, range.fence_ });
    if (range.previous_.empty() && since != movingSince_.end()) {
      moveTimes_[aOwnership.service_].OnMoved(aNow - since->second);
    }
  }
}

void
GatewayRouter::SetRetryParameters(const RetryBudgetParameters& aParameters)
{
  settings_.retries_ = aParameters;
  for (auto& [name, state] : services_) {
    state.budget_.SetParameters(aParameters);
  }
}

ServerWork
GatewayRouter::TakeWorkOf(const std::string& aServer)
{
  const auto load = loads_.find(aServer);
  return load == loads_.end() ? ServerWork() : load->second.TakeWork();
}

const std::string&
GatewayRouter::ChooseTarget(const Route& aRoute)
{
  const auto& targets = aRoute.targets_;
  if (targets.size() == 1) {
    return targets.front().service_;
  }
  // Smooth weighted round robin keeps the weights exact over short runs too.
  auto& credits = credits_[aRoute.Name()];
  credits.resize(targets.size(), 0);
  double total = 0;
  for (std::size_t index = 0; index < targets.size(); ++index) {
    credits[index] += targets[index].weight_;
    total += targets[index].weight_;
  }
  const auto best = std::max_element(credits.begin(), credits.end());
  *best -= total;
  return targets[static_cast<std::size_t>(best - credits.begin())].service_;
}

GatewayRouter::Choice
GatewayRouter::ChooseServer(Instant aNow, PendingRequest& aPending, ServerCandidate& aChosen)
{
  if (!aPending.service_->isKeyed_) {
    return ChooseAny(aNow, aPending, aChosen);
  }
  const auto choice = ChooseOwner(aNow, aPending, aChosen);
  return choice == Choice::Found && !HasCapacityShare(aNow, aPending, aChosen) ? Choice::NoCapacity
                                                                               : choice;
}

bool
GatewayRouter::HasCapacityShare(Instant aNow,
                                const PendingRequest& aPending,
                                const ServerCandidate& aServer)
{
  if (!routes_->UsesLoadManagement()) {
    return true;
  }
  const auto mean = aServer.load_->MeanLatency();
  const auto work =
    mean > Duration(0) ? mean : TypicalLatency(StateOf(aPending.service_->name_).servers_);
  const auto& record = *aServer.record_;
  shares_.SetShare(aNow, record.id_, std::max(1U, record.slots_), work, InstanceCount());
  return shares_.HasToken(aNow, record.id_);
}

Duration
GatewayRouter::CapacityShareWait(Instant aNow, PendingRequest& aPending)
{
  if (!routes_->UsesLoadManagement()) {
    return Duration(0);
  }
  const auto ahead = QueuedAhead(aPending);
  if (aPending.service_->isKeyed_) {
    return shares_.RemainingWait(aNow, aPending.owner_, ahead);
  }
  auto least = Duration::max();
  for (const auto& server : StateOf(aPending.service_->name_).servers_) {
    if (server.record_->AcceptsWork()) {
      least = std::min(least, shares_.RemainingWait(aNow, server.record_->id_, 0));
    }
  }
  return least == Duration::max() ? Duration(0) : least;
}

bool
GatewayRouter::IsInHandover(Instant aNow, const std::string& aService, const KeyRange& aRange) const
{
  if (aRange.previous_.empty() || !areUpdatesStale_) {
    return !aRange.previous_.empty();
  }
  const auto since = movingSince_.find({ aService, aRange.fence_ });
  return since == movingSince_.end() || aNow - since->second < kStaleMoveTimeout;
}

GatewayRouter::Choice
GatewayRouter::ChooseOwner(Instant aNow, PendingRequest& aPending, ServerCandidate& aChosen)
{
  aPending.owner_.clear();
  const auto ownership = ownership_.find(aPending.service_->name_);
  if (ownership == ownership_.end() || !aPending.request_.key_) {
    return Choice::NoOwner;
  }
  const auto* range = ownership->second.Find(*aPending.request_.key_);
  if (range == nullptr || IsInHandover(aNow, aPending.service_->name_, *range)) {
    return Choice::NoOwner;
  }
  const auto* record = directory_.Find(range->owner_);
  if (record == nullptr || !record->AcceptsWork()) {
    return Choice::NoOwner;
  }
  aPending.owner_ = range->owner_;
  aChosen = { record, &LoadOf(*record, *aPending.service_) };
  return aChosen.load_->HasCapacity(aNow) ? Choice::Found : Choice::NoCapacity;
}

GatewayRouter::Choice
GatewayRouter::ChooseAny(Instant aNow, const PendingRequest& aPending, ServerCandidate& aChosen)
{
  const auto& servers = StateOf(aPending.service_->name_).servers_;
  auto available = AvailableServers(aNow, servers, aPending.tried_);
  std::erase_if(available, [&](const ServerCandidate& aServer) {
    return !HasCapacityShare(aNow, aPending, aServer);
  });
  if (available.empty()) {
    return HasServer(servers) ? Choice::NoCapacity : Choice::NoServer;
  }
  std::vector<ServerCandidate> connected;
  std::copy_if(available.begin(),
               available.end(),
               std::back_inserter(connected),
               [&](const ServerCandidate& aServer) {
                 return actions_.HasConnection(aServer.record_->address_);
               });
  const auto typical = TypicalLatency(servers);
  std::optional<ServerCandidate> chosen;
  SampleTwoChoices(aNow, connected, typical, chosen);
  SampleTwoChoices(aNow, available, typical, chosen);
  aChosen = *chosen;
  return Choice::Found;
}

// The choice is random because instances that do not see each other's load would otherwise all
// choose the same best server.
void
GatewayRouter::SampleTwoChoices(Instant aNow,
                                const std::vector<ServerCandidate>& aServers,
                                Duration aDefault,
                                std::optional<ServerCandidate>& aChosen)
{
  constexpr int kDraws = 2;
  if (aServers.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> draw(0, aServers.size() - 1);
  for (int count = 0; count < kDraws; ++count) {
    const auto& server = aServers[draw(random_)];
    if (!aChosen || CostOf(aNow, server, aDefault) < CostOf(aNow, *aChosen, aDefault)) {
      aChosen = server;
    }
  }
}

double
GatewayRouter::CostOf(Instant aNow, const ServerCandidate& aCandidate, Duration aDefault) const
{
  const auto& load = *aCandidate.load_;
  const auto latency = static_cast<double>(load.ExpectedLatency(aNow, aDefault).count());
  const auto underWay = static_cast<double>(load.InFlight() + 1);
  const auto hall = aCandidate.record_->hall_ == settings_.hall_ ? 1.0 : kOtherHallCostFactor;
  const auto connection =
    actions_.HasConnection(aCandidate.record_->address_) ? 1.0 : kNewConnectionCostFactor;
  return latency * underWay * hall * connection * (1 + kFailureCostWeight * load.FailureShare());
}

} // namespace latchslip
