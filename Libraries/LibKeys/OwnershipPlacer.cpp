#include "LibKeys/OwnershipPlacer.h"

#include <algorithm>

namespace latchslip {

namespace {

// Renewals per lease duration. After the loss of a placer, at least half of each lease is left for
// its successor to take over.
constexpr int kRenewalsAHold = 3;
// Renewals for one server are sent one after the other, to share a connection. A renewal that has
// waited this long is sent in parallel. It is a small part of the lease time left when a renewal is
// due.
constexpr Duration kRenewalPatience = milliseconds(500);
// Delay before a failed command is retried.
constexpr Duration kOrderPause = milliseconds(250);
// Interval between rebalancing rounds. The load estimate of a key is an average over seconds.
constexpr Duration kRebalanceInterval = milliseconds(500);
// A new placer does not rebalance for this long. It waits for the load reports of the other
// instances, which also establish which instances need updates about moves: one report interval
// plus a margin.
constexpr Duration kLoadSettle = milliseconds(1000);
// Cooldown of a moved range: the move leaves its keys without an owner for about a second, and the
// load that it brings becomes visible only afterwards.
constexpr Duration kMoveRest = milliseconds(1500);
// Polling interval for due commands.
constexpr Duration kStep = milliseconds(50);
// Consecutive refused connections that, together with the other signs, prove that a server has
// left.
constexpr unsigned kProvingRefusals = 3;
// Number of fences skipped when the owners are written again in a later epoch of the store. It
// exceeds the number of fences issued in the seconds by which a copy of the store lags behind: a
// takeover issues one per range, a few thousand, and takes two seconds.
constexpr FenceNumber kFencesLeftOut = FenceNumber{ 1 } << 20;
// The initial assignment waits until the number of servers has not changed for kServersSettle,
// because each server that joins later must be given keys of the others; it waits kMostSettle at
// most.
constexpr Duration kServersSettle = milliseconds(1600);
constexpr Duration kMostSettle = seconds(5);

std::string
Describe(const KeyRange& aRange)
{
  return "keys=" + std::to_string(aRange.first_) + ".." + std::to_string(aRange.last_) +
         " owner=" + aRange.owner_ + " fence=" + std::to_string(aRange.fence_) +
         " previous=" + (aRange.previous_.empty() ? "-" : aRange.previous_);
}

KeyCommand
MakeOrder(const KeyRange& aRange, const std::string& aServer, const std::string& aAddress)
{
  KeyCommand order;
  order.server_ = aServer;
  order.address_ = aAddress;
  order.first_ = aRange.first_;
  order.last_ = aRange.last_;
  order.fence_ = aRange.fence_;
  return order;
}

} // namespace

OwnershipPlacer::OwnershipPlacer(std::string aService,
                                 OwnershipPlacerSettings aSettings,
                                 PlacerActions& aActions,
                                 EventSink& aEvents)
  : service_(std::move(aService))
  , settings_(aSettings)
  , actions_(aActions)
  , events_(aEvents)
  , balancer_(aSettings.balancer_)
{
}

void
OwnershipPlacer::Start(Instant aNow,
                       std::optional<KeyOwnership> aOwnership,
                       const std::map<std::string, Instant>& aDoubts)
{
  committed_ = {};
  committed_.service_ = service_;
  states_.clear();
  writing_.reset();
  orders_.Clear();
  holds_.Start(aDoubts);
  hasFormerFences_ = aOwnership.has_value();
  nextTime_ = aNow;
  startedAt_ = aNow;
  nextRebalance_ = aNow + kLoadSettle;
  fenceTimes_.clear();
  restedFence_ = aOwnership ? aOwnership->lastFence_ : 0;
  ordersFrom_ = Instant::min();
  if (!aOwnership) {
    return;
  }
  const auto until = aNow + settings_.isolatedRenewalTime_ +
                     Scale(settings_.leaseDuration_, settings_.clockDriftFactor_);
  for (const auto& range : aOwnership->ranges_) {
    holds_.SetFormer(range.owner_, until);
    if (!range.previous_.empty()) {
      holds_.SetFormer(range.previous_, until);
    }
  }
  Adopt(std::move(*aOwnership));
}

void
OwnershipPlacer::OnFormerPlacerStopped(Instant aNow)
{
  const auto latest = aNow + Scale(settings_.leaseDuration_, settings_.clockDriftFactor_);
  holds_.LimitFormer(latest);
  ordersFrom_ = std::min(ordersFrom_, latest);
}

void
OwnershipPlacer::BlockUntilLostGrantsExpire(Instant aNow)
{
  ordersFrom_ = aNow + settings_.isolatedRenewalTime_ +
                Scale(settings_.leaseDuration_, settings_.clockDriftFactor_);
}

void
OwnershipPlacer::SetServers(Instant aNow, std::vector<KeyServer> aServers)
{
  if (aServers.size() != servers_.size()) {
    serversSince_ = aNow;
  }
  NoteLives(aServers);
  servers_ = std::move(aServers);
}

void
OwnershipPlacer::NoteLives(const std::vector<KeyServer>& aServers)
{
  for (const auto& server : aServers) {
    if (server.incarnation_ == 0) {
      continue;
    }
    const auto [known, isNew] = incarnations_.try_emplace(server.id_, server.incarnation_);
    if (!isNew && known->second != server.incarnation_) {
      known->second = server.incarnation_;
      restarted_.insert(server.id_);
    }
  }
}

void
OwnershipPlacer::Adopt(KeyOwnership aOwnership)
{
  std::vector<RangeState> states;
  states.reserve(aOwnership.ranges_.size());
  std::size_t old = 0;
  for (const auto& range : aOwnership.ranges_) {
    while (old < committed_.ranges_.size() && committed_.ranges_[old].last_ < range.first_) {
      ++old;
    }
    const bool isKept =
      old < committed_.ranges_.size() && IsContinuation(committed_.ranges_[old], range);
    states.push_back(isKept ? states_[old] : RangeState{});
  }
  committed_ = std::move(aOwnership);
  states_ = std::move(states);
}

bool
OwnershipPlacer::IsContinuation(const KeyRange& aOld, const KeyRange& aNew)
{
  return aOld.first_ <= aNew.first_ && aNew.last_ <= aOld.last_ && aOld.owner_ == aNew.owner_ &&
         aOld.fence_ == aNew.fence_;
}

void
OwnershipPlacer::OnWritten(Instant aNow)
{
  if (!writing_) {
    return;
  }
  const bool isRaised = hasFormerFences_ || committed_.epoch_ < writing_->epoch_;
  hasFormerFences_ = false;
  ForgetRaised();
  Adopt(*std::exchange(writing_, std::nullopt));
  if (isRaised) {
    // The owners are unchanged, so no range enters its cooldown.
    restedFence_ = committed_.lastFence_;
  }
  fenceTimes_.emplace_back(aNow, committed_.lastFence_);
  events_.Record(Event::OwnershipWritten,
                 "service=" + service_ + " ranges=" + std::to_string(committed_.ranges_.size()) +
                   " last_fence=" + std::to_string(committed_.lastFence_));
  nextTime_ = aNow;
}

void
OwnershipPlacer::ForgetRaised()
{
  std::erase_if(restarted_, [this](const std::string& aServer) {
    return std::all_of(
      writing_->ranges_.begin(), writing_->ranges_.end(), [&](const KeyRange& aRange) {
        const auto* former = committed_.Find(aRange.first_);
        return aRange.owner_ != aServer || former == nullptr || former->fence_ < aRange.fence_;
      });
  });
}

void
OwnershipPlacer::OnWriteFailed(Instant aNow, KeyOwnership aStored)
{
  writing_.reset();
  Adopt(std::move(aStored));
  nextTime_ = aNow + kOrderPause;
}

void
OwnershipPlacer::OnTime(Instant aNow, bool aMayWrite)
{
  nextTime_ = aNow + kStep;
  if (aNow < ordersFrom_) {
    // Writing is also withheld: the row's old epoch tells the next placer that it has to wait as
    // well.
    return;
  }
  for (std::size_t index = 0; index < committed_.ranges_.size(); ++index) {
    Advance(aNow, committed_.ranges_[index], states_[index]);
  }
  if (writing_ || !aMayWrite) {
    return;
  }
  auto next = Plan(aNow);
  if (!next) {
    return;
  }
  writing_ = std::move(next);
  actions_.Write(*writing_);
}

std::optional<KeyOwnership>
OwnershipPlacer::Plan(Instant aNow)
{
  if (committed_.ranges_.empty()) {
    return DealFirst(aNow);
  }
  if (hasFormerFences_ || committed_.epoch_ < epoch_) {
    return RaiseFences();
  }
  const auto isRestarted = [this](const KeyRange& aRange) {
    return restarted_.contains(aRange.owner_);
  };
  if (std::any_of(committed_.ranges_.begin(), committed_.ranges_.end(), isRestarted)) {
    return RaiseFences();
  }
  restarted_.clear();
  auto settled = ClearSettled();
  load_.Refresh(aNow);
  const auto& base = settled ? *settled : committed_;
  if (auto replaced = KeyBalancer::Replace(base, servers_, load_)) {
    return replaced;
  }
  if (settled) {
    return settled;
  }
  return EvenOut(aNow);
}

std::optional<KeyOwnership>
OwnershipPlacer::DealFirst(Instant aNow) const
{
  if (aNow - serversSince_ < kServersSettle && aNow - startedAt_ < kMostSettle) {
    return std::nullopt;
  }
  // An earlier initial assignment and its fences may have been lost by the store.
  const auto lastFence = std::max(committed_.lastFence_, epoch_ * kFencesLeftOut);
  auto first = KeyBalancer::AssignAll(service_, lastFence, servers_);
  first.epoch_ = epoch_;
  return first.ranges_.empty() ? std::nullopt : std::optional(std::move(first));
}

std::optional<KeyOwnership>
OwnershipPlacer::EvenOut(Instant aNow)
{
  // NOTE: Moves in progress do not delay rebalancing, since those of a silent server take seconds.
  // Ranges that are moving stay where they are and count for their new owners.
  if (aNow < nextRebalance_) {
    return std::nullopt;
  }
  nextRebalance_ = aNow + kRebalanceInterval;
  return balancer_.EvenOut(committed_, servers_, load_, RestedFence(aNow));
}

// Every move raises the fence, so the fence of a range shows when it last moved.
FenceNumber
OwnershipPlacer::RestedFence(Instant aNow)
{
  while (!fenceTimes_.empty() && aNow - fenceTimes_.front().first >= kMoveRest) {
    restedFence_ = fenceTimes_.front().second;
    fenceTimes_.pop_front();
  }
  return restedFence_;
}

std::optional<KeyOwnership>
OwnershipPlacer::ClearSettled() const
{
  std::optional<KeyOwnership> next;
  for (std::size_t index = 0; index < committed_.ranges_.size(); ++index) {
    const auto& range = committed_.ranges_[index];
    const auto& state = states_[index];
    // An owner that has since been lost is not waited for; its range is reassigned next.
    const bool isOwnerLost = FindUsable(servers_, range.owner_) == nullptr;
    const bool isSettled = state.isGranted_ || (state.isCleared_ && isOwnerLost);
    if (range.previous_.empty() || !isSettled) {
      continue;
    }
    if (!next) {
      next = committed_;
    }
    next->ranges_[index].previous_.clear();
  }
  return next;
}

// A server that has acknowledged a higher fence rejects late commands of a former placer, so that
// no long wait is needed when its keys move later. A restarted server must not be granted its keys
// under the fence of its earlier incarnation.
KeyOwnership
OwnershipPlacer::RaiseFences() const
{
  auto next = committed_;
  const bool isOfAllRanges = hasFormerFences_ || committed_.epoch_ < epoch_;
  if (next.epoch_ < epoch_) {
    next.epoch_ = epoch_;
    next.lastFence_ += kFencesLeftOut;
  }
  for (auto& range : next.ranges_) {
    if (isOfAllRanges || restarted_.contains(range.owner_)) {
      range.fence_ = ++next.lastFence_;
    }
  }
  return next;
}

void
OwnershipPlacer::ForgetFormerHold(const std::string& aServer)
{
  if (hasFormerFences_) {
    return;
  }
  for (std::size_t index = 0; index < committed_.ranges_.size(); ++index) {
    const auto& range = committed_.ranges_[index];
    const auto& state = states_[index];
    const bool isUnconfirmed = range.owner_ == aServer && !state.isGranted_;
    // The server still holds such a range under the former placer's grant. With more ranges than
    // commands may be outstanding, some releases are sent after all of the server's grants.
    const bool isUnreleased = range.previous_ == aServer && !state.isCleared_;
    if (isUnconfirmed || isUnreleased) {
      return;
    }
  }
  holds_.ForgetFormer(aServer);
}

void
OwnershipPlacer::Advance(Instant aNow, const KeyRange& aRange, RangeState& aState)
{
  if (aState.order_ != 0 || aNow < aState.nextOrder_) {
    return;
  }
  const bool isWaiting = !aRange.previous_.empty() && !aState.isCleared_;
  if (!orders_.HasRoomFor(isWaiting ? aRange.previous_ : aRange.owner_)) {
    return;
  }
  if (!isWaiting && restarted_.contains(aRange.owner_)) {
    return;
  }
  const bool isRenewal = aState.isGranted_ && aRange.previous_.empty();
  if (isRenewal && orders_.HasOrderTo(aRange.owner_) &&
      aNow < aState.nextOrder_ + kRenewalPatience) {
    return;
  }
  if (isWaiting) {
    ClearFormerOwner(aNow, aRange, aState);
    return;
  }
  SendGrant(aNow, aRange, aState);
}

const char*
OwnershipPlacer::ReasonToClear(Instant aNow, const KeyRange& aRange, const RangeState& aState) const
{
  // The lease of an outstanding grant is known only when the grant ends.
  if (!orders_.HasGrantTo(aRange.previous_, aRange.Span()) &&
      aNow >= holds_.Of(aRange.previous_, aRange.Span())) {
    return "expired";
  }
  const auto incarnation = actions_.FindIncarnation(aRange.previous_);
  if (!incarnation) {
    return nullptr;
  }
  if (incarnation->hasEnded_) {
    return "ended";
  }
  // A network partition may also cause refused connections, but not for a server that announced its
  // shutdown and is no longer listed.
  const bool hasLeft =
    incarnation->isLeaving_ && !incarnation->isListed_ && aState.refusals_ >= kProvingRefusals;
  return hasLeft ? "left" : nullptr;
}

void
OwnershipPlacer::ClearFormerOwner(Instant aNow, const KeyRange& aRange, RangeState& aState)
{
  if (const auto* reason = ReasonToClear(aNow, aRange, aState)) {
    aState.isCleared_ = true;
    events_.Record(Event::KeysCleared, Describe(aRange) + " reason=" + reason);
    SendGrant(aNow, aRange, aState);
    return;
  }
  const auto incarnation = actions_.FindIncarnation(aRange.previous_);
  if (!incarnation) {
    return;
  }
  auto order = MakeOrder(aRange, aRange.previous_, incarnation->address_);
  order.isRelease_ = true;
  SendOrder(aState, std::move(order));
}

void
OwnershipPlacer::SendGrant(Instant aNow, const KeyRange& aRange, RangeState& aState)
{
  const auto* server = FindUsable(servers_, aRange.owner_);
  if (server == nullptr) {
    aState.nextOrder_ = aNow + kOrderPause;
    return;
  }
  auto order = MakeOrder(aRange, aRange.owner_, server->address_);
  order.handover_ = aState.handover_;
  order.leaseDuration_ = settings_.leaseDuration_;
  SendOrder(aState, std::move(order));
}

void
OwnershipPlacer::SendOrder(RangeState& aState, KeyCommand aOrder)
{
  if (const auto incarnation = incarnations_.find(aOrder.server_);
      incarnation != incarnations_.end()) {
    aOrder.incarnation_ = incarnation->second;
  }
  const auto order = orders_.Add(std::move(aOrder));
  aState.order_ = order.number_;
  actions_.SendCommand(order);
}

OwnershipPlacer::RangeState*
OwnershipPlacer::StateOf(CommandNumber aOrder)
{
  const auto state = std::find_if(states_.begin(), states_.end(), [&](const RangeState& aState) {
    return aState.order_ == aOrder;
  });
  return state == states_.end() ? nullptr : &*state;
}

void
OwnershipPlacer::OnCommandEnded(Instant aNow, CommandNumber aOrder, const CommandOutcome& aOutcome)
{
  const auto found = orders_.Take(aOrder, aOutcome.end_);
  if (!found) {
    return;
  }
  const auto& order = *found;
  if (!order.isRelease_) {
    ExtendHold(aNow, order, aOutcome.end_);
  }
  // NOTE: When a range is split while its command is outstanding, each part inherits the state.
  for (auto* state = StateOf(aOrder); state != nullptr; state = StateOf(aOrder)) {
    state->order_ = 0;
    if (order.isRelease_) {
      OnReleaseEnded(aNow, *state, aOutcome);
    } else {
      OnGrantEnded(aNow, *state, aOutcome.end_);
    }
  }
  if (!order.isRelease_ && aOutcome.end_ == CommandStatus::Done) {
    ForgetFormerHold(order.server_);
  }
  RecordOrderEnd(order, aOutcome.end_);
  nextTime_ = aNow;
}

void
OwnershipPlacer::OnReleaseEnded(Instant aNow, RangeState& aState, const CommandOutcome& aOutcome)
{
  const auto end = aOutcome.end_;
  aState.isCleared_ = end == CommandStatus::Done || end == CommandStatus::OtherIncarnation;
  aState.handover_ = aOutcome.handover_;
  // A server whose machine is being removed first refuses connections and then becomes unreachable,
  // so an unreachable server keeps its count of refusals.
  const bool isReached = end != CommandStatus::Refused && end != CommandStatus::NotSent;
  aState.refusals_ = isReached ? 0 : aState.refusals_ + (end == CommandStatus::Refused ? 1 : 0);
  aState.nextOrder_ = aState.isCleared_ ? aNow : aNow + kOrderPause;
}

void
OwnershipPlacer::OnGrantEnded(Instant aNow, RangeState& aState, CommandStatus aEnd) const
{
  const bool isDone = aEnd == CommandStatus::Done;
  aState.isGranted_ = aState.isGranted_ || isDone;
  aState.nextOrder_ = aNow + (isDone ? settings_.leaseDuration_ / kRenewalsAHold : kOrderPause);
}

void
OwnershipPlacer::RecordOrderEnd(const KeyCommand& aOrder, CommandStatus aEnd)
{
  // Successful grants are not logged, because they are renewed all the time.
  if (aEnd == CommandStatus::Done && !aOrder.isRelease_) {
    return;
  }
  events_.Record(Event::KeyOrderEnded,
                 "server=" + aOrder.server_ + " keys=" + std::to_string(aOrder.first_) + ".." +
                   std::to_string(aOrder.last_) + " fence=" + std::to_string(aOrder.fence_) +
                   " order=" + (aOrder.isRelease_ ? "release" : "grant") +
                   " end=" + std::string(kCommandStatusNames.NameOf(aEnd)));
}

void
OwnershipPlacer::ExtendHold(Instant aNow, const KeyCommand& aGrant, CommandStatus aEnd)
{
  const auto hold = Scale(settings_.leaseDuration_, settings_.clockDriftFactor_);
  if (aEnd == CommandStatus::Done || aEnd == CommandStatus::HigherFence) {
    holds_.Extend(aNow, aGrant.server_, aGrant.Span(), aNow + hold);
  } else if (aEnd == CommandStatus::Unanswered) {
    const auto latest = settings_.lateOrders_ + hold;
    holds_.Extend(aNow, aGrant.server_, aGrant.Span(), aNow + latest);
    actions_.RecordUncertainLease(aNow, aGrant.server_, latest);
  }
}

} // namespace latchslip
