#include "LibKeys/OwnershipPlacer.h"

#include <algorithm>

namespace latchslip {

namespace {

// Renewals per lease duration. After the loss of a placer, at least half of each lease is left for
// its successor to take over.
constexpr int kRenewalsPerLease = 3;
// Renewals for one server are sent one after the other, to share a connection. A renewal that has
// waited this long is sent in parallel. It is a small part of the lease time left when a renewal is
// due.
constexpr Duration kMaxRenewalWait = milliseconds(500);
// Delay before a failed command is retried.
constexpr Duration kCommandRetryDelay = milliseconds(250);
// Interval between rebalancing rounds. The load estimate of a key is an average over seconds.
constexpr Duration kRebalanceInterval = milliseconds(500);
// A new placer does not rebalance for this long. It waits for the load reports of the other
// instances, which also establish which instances need updates about moves: one report interval
// plus a margin.
constexpr Duration kLoadSettleTime = milliseconds(1000);
// Cooldown of a moved range: the move leaves its keys without an owner for about a second, and the
// load that it brings becomes visible only afterwards.
constexpr Duration kMoveCooldown = milliseconds(1500);
// The session of a fence that was sent in an exchange of no session, or in one that has ended.
constexpr ServerSession kUnknownSession = 0;
// Polling interval for due commands.
constexpr Duration kPollInterval = milliseconds(50);
// Consecutive refused connections that, together with the other signs, prove that a server has
// left.
constexpr unsigned kRefusalsToProveLeft = 3;
// Number of fences skipped for each epoch when the owners are written again in a later one. It
// exceeds the number of fences issued in the seconds by which a copy of the store lags behind: a
// takeover issues kFencesPerIssue per range, for a few thousand ranges, and takes two seconds.
constexpr FenceNumber kEpochFenceGap = FenceNumber{ 1 } << 22;
// The initial assignment waits until the number of servers has not changed for kServersSettleTime,
// because each server that joins later must be given keys of the others; it waits kMaxSettleTime at
// most.
constexpr Duration kServersSettleTime = milliseconds(1600);
constexpr Duration kMaxSettleTime = seconds(5);

std::string
Describe(const KeyRange& aRange)
{
  return "keys=" + std::to_string(aRange.first_) + ".." + std::to_string(aRange.last_) +
         " owner=" + aRange.owner_ + " fence=" + std::to_string(aRange.fence_) +
         " previous=" + (aRange.previous_.empty() ? "-" : aRange.previous_);
}

KeyCommand
MakeCommand(const KeyRange& aRange,
            FenceNumber aFence,
            const std::string& aServer,
            const std::string& aAddress)
{
  KeyCommand command;
  command.server_ = aServer;
  command.address_ = aAddress;
  command.first_ = aRange.first_;
  command.last_ = aRange.last_;
  command.fence_ = aFence;
  return command;
}

// Whether the command certainly did not reach the server.
bool
IsUnsent(CommandStatus aEnd)
{
  return aEnd == CommandStatus::NotSent || aEnd == CommandStatus::Refused ||
         aEnd == CommandStatus::SessionEnded;
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
                       const std::map<std::string, Instant>& aUncertainLeases)
{
  committed_ = {};
  committed_.service_ = service_;
  states_.clear();
  writing_.reset();
  commands_.Clear();
  leaseBounds_.Start(aUncertainLeases);
  hasFormerFences_ = aOwnership.has_value();
  isFormerShort_ = false;
  nextTime_ = aNow;
  startedAt_ = aNow;
  nextRebalance_ = aNow + kLoadSettleTime;
  recentFences_.clear();
  maxMovableFence_ = aOwnership ? aOwnership->lastFence_ : 0;
  blockedUntil_ = Instant::min();
  if (!aOwnership) {
    return;
  }
  const auto renewalTime = FormerRenewalTime(*aOwnership);
  isFormerShort_ = renewalTime == settings_.shortIsolatedRenewalTime_;
  const auto until =
    aNow + renewalTime + Scale(settings_.leaseDuration_, settings_.clockDriftFactor_);
  for (const auto& range : aOwnership->ranges_) {
    leaseBounds_.SetFormer(range.owner_, until);
    if (!range.previous_.empty()) {
      leaseBounds_.SetFormer(range.previous_, until);
    }
  }
  Adopt(std::move(*aOwnership));
}

// In a later epoch of the store, a write that took the short bound out may have been lost.
Duration
OwnershipPlacer::FormerRenewalTime(const KeyOwnership& aOwnership) const
{
  const bool isShort = aOwnership.hasShortIsolation_ && aOwnership.epoch_ >= epoch_;
  return isShort ? settings_.shortIsolatedRenewalTime_ : settings_.isolatedRenewalTime_;
}

// The field also states that all placers before this one have stopped: they may go on renewing
// until their bound after this start. A successor that hears that this one has stopped relies on
// that.
bool
OwnershipPlacer::WantsShortIsolation(Instant aNow) const
{
  const auto renewalTime =
    isFormerShort_ ? settings_.shortIsolatedRenewalTime_ : settings_.isolatedRenewalTime_;
  return usesLoadManagement_ && aNow >= startedAt_ + renewalTime;
}

// A write that is outstanding may be in the store already.
bool
OwnershipPlacer::HasShortIsolation() const
{
  return committed_.hasShortIsolation_ || (writing_ && writing_->hasShortIsolation_);
}

void
OwnershipPlacer::OnFormerPlacerStopped(Instant aStoppedAt, Instant aClaimSeenAt)
{
  if (usesLoadManagement_ && !isFormerShort_) {
    return;
  }
  // A placer before the former one may still renew grants, unless the row states that all of them
  // have stopped.
  const auto lastRenewal = isFormerShort_
                             ? aStoppedAt
                             : std::max(aStoppedAt, aClaimSeenAt + settings_.isolatedRenewalTime_);
  const auto latest = lastRenewal + Scale(settings_.leaseDuration_, settings_.clockDriftFactor_);
  leaseBounds_.LimitFormer(latest);
  blockedUntil_ = std::min(blockedUntil_, latest);
}

void
OwnershipPlacer::BlockUntilLostGrantsExpire(Instant aNow)
{
  blockedUntil_ = aNow + settings_.isolatedRenewalTime_ +
                  Scale(settings_.leaseDuration_, settings_.clockDriftFactor_);
}

void
OwnershipPlacer::SetServers(Instant aNow, KeyServers aServers)
{
  if (aServers.All().size() != servers_.All().size()) {
    serversChangedAt_ = aNow;
  }
  DetectRestarts(aNow, aServers);
  servers_ = std::move(aServers);
}

void
OwnershipPlacer::DetectRestarts(Instant aNow, const KeyServers& aServers)
{
  for (const auto& server : aServers.All()) {
    if (server.incarnation_ == 0) {
      continue;
    }
    const auto [known, isNew] = incarnations_.try_emplace(server.id_, server.incarnation_);
    if (!isNew && known->second != server.incarnation_) {
      known->second = server.incarnation_;
      OnRestarted(aNow, server.id_);
    }
  }
}

// A first grant that is outstanding may have reached the former incarnation.
void
OwnershipPlacer::OnRestarted(Instant aNow, const std::string& aServer)
{
  for (const auto index : OwnedBy(aServer)) {
    auto& state = states_[index];
    const bool isGrantOutstanding =
      state.command_ != 0 && !IsWaiting(committed_.ranges_[index], state);
    if (state.session_ || isGrantOutstanding) {
      RaiseFence(state, aNow);
    }
  }
}

std::vector<std::size_t>
OwnershipPlacer::OwnedBy(const std::string& aServer) const
{
  const auto positions = positionsOf_.find(aServer);
  if (positions == positionsOf_.end()) {
    return {};
  }
  auto owned = positions->second;
  std::erase_if(owned,
                [&](std::size_t aIndex) { return committed_.ranges_[aIndex].owner_ != aServer; });
  return owned;
}

bool
OwnershipPlacer::IsWaiting(const KeyRange& aRange, const RangeState& aState)
{
  return !aRange.previous_.empty() && !aState.isCleared_;
}

// What an outstanding command brings no longer concerns the range: its end is ignored, as its
// number is forgotten here.
void
OwnershipPlacer::RaiseFence(RangeState& aState, Instant aDueAt)
{
  if (aState.raises_ + 1 == kFencesPerIssue) {
    aState.needsFence_ = true;
    return;
  }
  RangeState raised;
  raised.raises_ = aState.raises_ + 1;
  raised.isCleared_ = aState.isCleared_;
  raised.handover_ = aState.isGranted_ ? std::string() : std::move(aState.handover_);
  raised.nextCommandAt_ = aDueAt;
  aState = std::move(raised);
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
  IndexServers();
}

void
OwnershipPlacer::IndexServers()
{
  positionsOf_.clear();
  for (std::size_t index = 0; index < committed_.ranges_.size(); ++index) {
    const auto& range = committed_.ranges_[index];
    positionsOf_[range.owner_].push_back(index);
    if (!range.previous_.empty()) {
      positionsOf_[range.previous_].push_back(index);
    }
  }
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
  Adopt(*std::exchange(writing_, std::nullopt));
  if (isRaised) {
    // The owners are unchanged, so no range enters its cooldown.
    maxMovableFence_ = committed_.lastFence_;
  }
  recentFences_.emplace_back(aNow, committed_.lastFence_);
  events_.Record(Event::OwnershipWritten,
                 "service=" + service_ + " ranges=" + std::to_string(committed_.ranges_.size()) +
                   " last_fence=" + std::to_string(committed_.lastFence_));
  nextTime_ = aNow;
}

void
OwnershipPlacer::OnWriteFailed(Instant aNow, KeyOwnership aStored)
{
  const bool isKnown = aStored == committed_ || (writing_ && aStored == *writing_);
  hasFormerFences_ = hasFormerFences_ || !isKnown;
  writing_.reset();
  Adopt(std::move(aStored));
  nextTime_ = aNow + kCommandRetryDelay;
}

void
OwnershipPlacer::OnTime(Instant aNow, bool aMayWrite)
{
  nextTime_ = aNow + kPollInterval;
  if (aNow < blockedUntil_) {
    // Writing is also withheld: the old epoch in the row makes the next placer wait as
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
  next->hasShortIsolation_ = WantsShortIsolation(aNow);
  writing_ = std::move(next);
  actions_.Write(*writing_);
}

std::optional<KeyOwnership>
OwnershipPlacer::Plan(Instant aNow)
{
  if (committed_.ranges_.empty()) {
    return AssignInitially(aNow);
  }
  if (hasFormerFences_ || committed_.epoch_ < epoch_) {
    return RaiseFences();
  }
  const auto needsFence = [](const RangeState& aState) { return aState.needsFence_; };
  if (std::any_of(states_.begin(), states_.end(), needsFence)) {
    return RaiseFences();
  }
  auto settled = DropClearedOwners();
  load_.Refresh(aNow);
  const auto& base = settled ? *settled : committed_;
  if (auto replaced = KeyBalancer::ReplaceOwners(base, servers_, load_)) {
    return replaced;
  }
  if (settled) {
    return settled;
  }
  if (committed_.hasShortIsolation_ != WantsShortIsolation(aNow)) {
    return committed_;
  }
  return Rebalance(aNow);
}

std::optional<KeyOwnership>
OwnershipPlacer::AssignInitially(Instant aNow) const
{
  if (aNow - serversChangedAt_ < kServersSettleTime && aNow - startedAt_ < kMaxSettleTime) {
    return std::nullopt;
  }
  // An earlier initial assignment and its fences may have been lost by the store.
  const auto lastFence = std::max(committed_.lastFence_, epoch_ * kEpochFenceGap);
  auto first = KeyBalancer::AssignAll(service_, lastFence, servers_);
  first.epoch_ = epoch_;
  return first.ranges_.empty() ? std::nullopt : std::optional(std::move(first));
}

std::optional<KeyOwnership>
OwnershipPlacer::Rebalance(Instant aNow)
{
  // NOTE: Moves in progress do not delay rebalancing, since those of a silent server take seconds.
  // Ranges that are moving stay where they are and count for their new owners.
  if (aNow < nextRebalance_) {
    return std::nullopt;
  }
  nextRebalance_ = aNow + kRebalanceInterval;
  return balancer_.Rebalance(committed_, servers_, load_, MaxMovableFence(aNow));
}

// Every move raises the fence, so the fence of a range shows when it last moved.
FenceNumber
OwnershipPlacer::MaxMovableFence(Instant aNow)
{
  while (!recentFences_.empty() && aNow - recentFences_.front().first >= kMoveCooldown) {
    maxMovableFence_ = recentFences_.front().second;
    recentFences_.pop_front();
  }
  return maxMovableFence_;
}

std::optional<KeyOwnership>
OwnershipPlacer::DropClearedOwners() const
{
  std::optional<KeyOwnership> next;
  for (std::size_t index = 0; index < committed_.ranges_.size(); ++index) {
    const auto& range = committed_.ranges_[index];
    const auto& state = states_[index];
    if (range.previous_.empty()) {
      continue;
    }
    // An owner that has since been lost is not waited for; its range is reassigned next.
    const bool isOwnerLost = servers_.FindUsable(range.owner_) == nullptr;
    if (!state.isGranted_ && !(state.isCleared_ && isOwnerLost)) {
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
// no long wait is needed when its keys move later.
KeyOwnership
OwnershipPlacer::RaiseFences() const
{
  auto next = committed_;
  const bool isOfAllRanges = hasFormerFences_ || committed_.epoch_ < epoch_;
  if (next.epoch_ < epoch_) {
    // Each epoch since then may have issued fences that are lost.
    next.lastFence_ += (epoch_ - next.epoch_) * kEpochFenceGap;
    next.epoch_ = epoch_;
  }
  for (std::size_t index = 0; index < next.ranges_.size(); ++index) {
    if (isOfAllRanges || states_[index].needsFence_) {
      next.ranges_[index].fence_ = IssueFences(next.lastFence_);
    }
  }
  return next;
}

void
OwnershipPlacer::DropFormerBounds(const std::string& aServer)
{
  if (hasFormerFences_ || !leaseBounds_.HasFormer(aServer)) {
    return;
  }
  const auto isOpen = [&](std::size_t aIndex) {
    const auto& range = committed_.ranges_[aIndex];
    const auto& state = states_[aIndex];
    const bool isUnconfirmed = range.owner_ == aServer && !state.isGranted_;
    // The server still holds such a range under the former placer's grant. With more ranges than
    // commands may be outstanding, some releases are sent after all of the server's grants.
    const bool isUnreleased = range.previous_ == aServer && !state.isCleared_;
    return isUnconfirmed || isUnreleased;
  };
  const auto positions = positionsOf_.find(aServer);
  if (positions == positionsOf_.end() ||
      std::none_of(positions->second.begin(), positions->second.end(), isOpen)) {
    leaseBounds_.DropFormer(aServer);
  }
}

void
OwnershipPlacer::Advance(Instant aNow, const KeyRange& aRange, RangeState& aState)
{
  if (aState.command_ != 0 || aNow < aState.nextCommandAt_) {
    return;
  }
  const bool isWaiting = IsWaiting(aRange, aState);
  if (!commands_.CanSendTo(isWaiting ? aRange.previous_ : aRange.owner_)) {
    return;
  }
  if (IsRenewal(aRange, aState) && commands_.HasCommandTo(aRange.owner_) &&
      aNow < aState.nextCommandAt_ + kMaxRenewalWait) {
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
  if (!commands_.HasGrantTo(aRange.previous_, aRange.Span()) &&
      aNow >= leaseBounds_.LatestExpiry(aRange.previous_, aRange.Span())) {
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
  const bool hasLeft = incarnation->isLeaving_ && !incarnation->isListed_ &&
                       aState.connectionRefusals_ >= kRefusalsToProveLeft;
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
  auto command = MakeCommand(aRange, aRange.fence_, aRange.previous_, incarnation->address_);
  command.isRelease_ = true;
  StartCommand(aState, std::move(command));
}

bool
OwnershipPlacer::IsRenewal(const KeyRange& aRange, const RangeState& aState)
{
  return aState.isGranted_ && aRange.previous_.empty();
}

void
OwnershipPlacer::SendGrant(Instant aNow, const KeyRange& aRange, RangeState& aState)
{
  // Another placer has sent its fences in sessions of its own.
  if (hasFormerFences_) {
    return;
  }
  if (aState.session_ == kUnknownSession) {
    RaiseFence(aState, aNow);
  }
  if (aState.needsFence_) {
    return;
  }
  const auto* server = servers_.FindUsable(aRange.owner_);
  if (server == nullptr) {
    aState.nextCommandAt_ = aNow + kCommandRetryDelay;
    return;
  }
  const auto fence = aRange.fence_ + aState.raises_;
  auto command = MakeCommand(aRange, fence, aRange.owner_, server->address_);
  command.handover_ = aState.handover_;
  command.leaseDuration_ = settings_.leaseDuration_;
  command.isRenewal_ = IsRenewal(aRange, aState);
  command.session_ = aState.session_.value_or(kUnknownSession);
  StartCommand(aState, std::move(command));
}

void
OwnershipPlacer::StartCommand(RangeState& aState, KeyCommand aCommand)
{
  if (const auto incarnation = incarnations_.find(aCommand.server_);
      incarnation != incarnations_.end()) {
    aCommand.incarnation_ = incarnation->second;
  }
  const auto command = commands_.Add(std::move(aCommand));
  aState.command_ = command.number_;
  actions_.SendCommand(command);
}

void
OwnershipPlacer::OnCommandEnded(Instant aNow,
                                CommandNumber aCommand,
                                const CommandOutcome& aOutcome)
{
  const auto found = commands_.Take(aCommand, aOutcome.end_);
  if (!found) {
    return;
  }
  const auto& command = *found;
  if (ProvesEnd(command, aOutcome.end_)) {
    actions_.RecordEnded(command.server_, command.incarnation_);
  }
  if (!command.isRelease_) {
    ExtendLeaseBound(aNow, command, aOutcome.end_);
  }
  ApplyCommandEnd(aNow, command, aOutcome);
  if (!command.isRelease_ && aOutcome.end_ == CommandStatus::Done) {
    DropFormerBounds(command.server_);
  }
  RecordCommandEnd(command, aOutcome);
  nextTime_ = aNow;
}

bool
OwnershipPlacer::ProvesEnd(const KeyCommand& aCommand, CommandStatus aEnd) const
{
  if (aEnd != CommandStatus::Malformed) {
    return aEnd == CommandStatus::OtherIncarnation;
  }
  // The address has passed to a server of a service without keys.
  const auto incarnation = actions_.FindIncarnation(aCommand.server_);
  return incarnation && incarnation->isSucceeded_;
}

// A range keeps the state of its command only while it lies within the range of that command.
void
OwnershipPlacer::ApplyCommandEnd(Instant aNow,
                                 const KeyCommand& aCommand,
                                 const CommandOutcome& aOutcome)
{
  const auto& ranges = committed_.ranges_;
  const auto first = std::lower_bound(
    ranges.begin(), ranges.end(), aCommand.first_, [](const KeyRange& aRange, KeyNumber aKey) {
      return aRange.first_ < aKey;
    });
  for (auto range = first; range != ranges.end() && range->last_ <= aCommand.last_; ++range) {
    auto& state = states_[static_cast<std::size_t>(range - ranges.begin())];
    if (state.command_ != aCommand.number_) {
      continue;
    }
    state.command_ = 0;
    if (aCommand.isRelease_) {
      OnReleaseEnded(aNow, state, aOutcome);
    } else {
      OnGrantEnded(aNow, state, aOutcome);
    }
  }
  // A server that was not reached may restart without closing its connections, as one does whose
  // machine loses power.
  if (aCommand.session_ != 0 && IsUnsent(aOutcome.end_)) {
    EndSession(aCommand.server_, aCommand.session_, aNow + NextGrantDelay(aOutcome.end_));
  }
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
  aState.connectionRefusals_ =
    isReached ? 0 : aState.connectionRefusals_ + (end == CommandStatus::Refused ? 1 : 0);
  aState.nextCommandAt_ = aState.isCleared_ ? aNow : aNow + kCommandRetryDelay;
}

void
OwnershipPlacer::OnGrantEnded(Instant aNow,
                              RangeState& aState,
                              const CommandOutcome& aOutcome) const
{
  if (!IsUnsent(aOutcome.end_)) {
    aState.session_ = aOutcome.session_;
  }
  aState.isGranted_ = aState.isGranted_ || aOutcome.end_ == CommandStatus::Done;
  aState.nextCommandAt_ = aNow + NextGrantDelay(aOutcome.end_);
}

Duration
OwnershipPlacer::NextGrantDelay(CommandStatus aEnd) const
{
  switch (aEnd) {
    case CommandStatus::Done:
      return settings_.leaseDuration_ / kRenewalsPerLease;
    case CommandStatus::SessionEnded:
      // Nothing was sent, and nothing is known against another session.
      return Duration(0);
    default:
      return kCommandRetryDelay;
  }
}

void
OwnershipPlacer::EndSession(const std::string& aServer, ServerSession aSession, Instant aDueAt)
{
  for (const auto index : OwnedBy(aServer)) {
    auto& state = states_[index];
    if (state.session_ && *state.session_ <= aSession) {
      RaiseFence(state, aDueAt);
    }
  }
}

void
OwnershipPlacer::RecordCommandEnd(const KeyCommand& aCommand, const CommandOutcome& aOutcome)
{
  // Successful grants are not logged, because they are renewed all the time.
  if (aOutcome.end_ == CommandStatus::Done && !aCommand.isRelease_) {
    return;
  }
  events_.Record(Event::KeyOrderEnded,
                 "server=" + aCommand.server_ + " keys=" + std::to_string(aCommand.first_) + ".." +
                   std::to_string(aCommand.last_) + " fence=" + std::to_string(aCommand.fence_) +
                   " order=" + (aCommand.isRelease_ ? "release" : "grant") +
                   " end=" + std::string(kCommandStatusNames.NameOf(aOutcome.end_)) +
                   " status=" + std::to_string(aOutcome.status_));
}

void
OwnershipPlacer::ExtendLeaseBound(Instant aNow, const KeyCommand& aGrant, CommandStatus aEnd)
{
  const auto lease = Scale(settings_.leaseDuration_, settings_.clockDriftFactor_);
  if (aEnd == CommandStatus::Done || aEnd == CommandStatus::HigherFence) {
    leaseBounds_.Extend(aNow, aGrant.server_, aGrant.Span(), aNow + lease);
  } else if (aEnd == CommandStatus::Unanswered) {
    const auto latest = settings_.maxCommandDelay_ + lease;
    leaseBounds_.Extend(aNow, aGrant.server_, aGrant.Span(), aNow + latest);
    actions_.RecordUncertainLease(aNow, aGrant.server_, latest);
  }
}

} // namespace latchslip
