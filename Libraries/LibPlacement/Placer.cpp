#include "LibPlacement/Placer.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace latchslip {

namespace {

// Enough slices to spread the load of a lost server over all the others, and few enough to
// keep the placement row at a few kilobytes.
constexpr std::size_t kSlicesPerServer = 16;

} // namespace

Placer::Placer(std::string aService, PlacerTiming aTiming)
  : service_(std::move(aService))
  , timing_(aTiming)
  , holders_(aTiming.formerGrantTimeout_)
{
}

void
Placer::Reset()
{
  reports_.clear();
  holders_.Reset();
  reachableSince_.clear();
}

void
Placer::OnReport(Instant aNow, const ServerReport& aReport)
{
  if (aReport.hasStopped_) {
    holders_.OnStopped(aReport.server_, aReport.holder_);
    return;
  }
  auto& lastReport = reports_[aReport.server_];
  const bool isOlder =
    aReport.fence_ < lastReport.fence_ ||
    (aReport.fence_ == lastReport.fence_ && aReport.holder_ == lastReport.holder_ &&
     aReport.sequence_ <= lastReport.sequence_);
  if (isOlder) {
    return;
  }
  if (aReport.isReachable_) {
    reachableSince_.emplace(aReport.server_, aNow);
  } else {
    reachableSince_.erase(aReport.server_);
  }
  lastReport = aReport;
  if (aReport.hasLoad_) {
    auto& load = loads_[aReport.server_];
    load.AddReport(aReport);
  }
}

const ServerReport*
Placer::FindReport(const PlacedServer& aServer) const
{
  const auto found = reports_.find(aServer.name_);
  const bool isCurrent = found != reports_.end() && found->second.fence_ == aServer.fence_ &&
                         found->second.holder_ == aServer.holder_;
  return isCurrent ? &found->second : nullptr;
}

void
Placer::ReconcileServers(PlacementDraft& aDraft)
{
  auto& servers = aDraft.next_.servers_;
  std::map<std::string_view, const ServerDeclaration*> declarations;
  std::map<std::string, ServerIndex> indices;
  for (const auto& declared : aDraft.service_.servers_) {
    declarations[declared.name_] = &declared;
  }
  for (ServerIndex index = 0; index < servers.size(); ++index) {
    indices[servers[index].name_] = index;
  }
  for (const auto& declared : aDraft.service_.servers_) {
    const auto index = indices.find(declared.name_);
    if (index == indices.end()) {
      PlacedServer added;
      added.name_ = declared.name_;
      added.hall_ = declared.hall_;
      added.state_ = declared.draining_ ? PlacedState::Draining : PlacedState::Active;
      servers.push_back(std::move(added));
      continue;
    }
    auto& server = servers[index->second];
    server.hall_ = declared.hall_;
    if (declared.draining_ && server.state_ == PlacedState::Active) {
      server.state_ = PlacedState::Draining;
      aDraft.AddDecision(Event::ServerLeaving,
                         "server=" + server.name_ + " reason=declared-draining");
    }
    if (!declared.draining_ && server.state_ == PlacedState::Draining) {
      server.state_ = PlacedState::Active;
    }
  }
  for (auto& server : servers) {
    const bool isDeclared = declarations.contains(server.name_);
    if (!isDeclared && server.state_ == PlacedState::Active) {
      server.state_ = PlacedState::Draining;
      aDraft.AddDecision(Event::ServerLeaving,
                         "server=" + server.name_ + " reason=no-longer-declared");
    }
  }
}

void
Placer::FinishMoves(PlacementDraft& aDraft)
{
  for (auto& slice : aDraft.next_.slices_) {
    if (!slice.IsMoving()) {
      continue;
    }
    const auto& target = aDraft.next_.servers_[slice.next_];
    const auto* report = FindReport(aDraft.next_.servers_[slice.owner_]);
    const bool isReleased = report != nullptr && report->releasedVersion_ == aDraft.version_;
    if (isReleased) {
      aDraft.AddDecision(Event::SliceMoved,
                         "slice=" + std::to_string(slice.start_) + " to=" + target.name_ +
                           " reason=released");
      MoveLoad(loads_, slice.start_, aDraft.next_.servers_[slice.owner_].name_, target.name_);
      slice.owner_ = slice.next_;
      slice.next_ = kNoServer;
    } else if (target.state_ != PlacedState::Active) {
      // The target is not available any more; the owner keeps the slice.
      slice.next_ = kNoServer;
    }
  }
}

ServerIndex
Placer::ServerWithFewestSlices(const PlacementDraft& aDraft,
                               const std::vector<std::size_t>& aCounts)
{
  const auto active = aDraft.ActiveServers();
  const auto least = std::min_element(active.begin(), active.end(), [&](auto aLeft, auto aRight) {
    return aCounts[aLeft] < aCounts[aRight];
  });
  return least == active.end() ? kNoServer : *least;
}

bool
Placer::IsLossAllowed(Instant aNow, std::size_t aActive)
{
  std::erase_if(losses_, [&](Instant aLoss) { return aNow - aLoss > timing_.lossWindow_; });
  const auto total = static_cast<double>(aActive + losses_.size());
  return static_cast<double>(losses_.size() + 1) <= std::max(1.0, total * timing_.maxLossFraction_);
}

bool
Placer::IsGrantExpired(const PlacementDraft& aDraft,
                       const PlacedServer& aServer,
                       const ServerReport& aReport) const
{
  if (!aReport.isWithheld_) {
    return false;
  }
  if (!aReport.isUnconfirmed_) {
    return true;
  }
  // A holder that never reached the server cannot determine whether the grants of its predecessors
  // have expired.
  return holders_.AreFormerGrantsExpired(aDraft.now_, aServer);
}

std::size_t
Placer::ReassignSlices(PlacementDraft& aDraft, ServerIndex aLost)
{
  std::size_t count = 0;
  auto counts = aDraft.next_.CountSlices();
  for (auto& slice : aDraft.next_.slices_) {
    if (slice.next_ == aLost) {
      slice.next_ = kNoServer;
    }
    if (slice.owner_ != aLost) {
      continue;
    }
    const bool hasTarget =
      slice.IsMoving() && aDraft.next_.servers_[slice.next_].state_ == PlacedState::Active;
    const auto newOwner = hasTarget ? slice.next_ : ServerWithFewestSlices(aDraft, counts);
    ++counts[newOwner];
    MoveLoad(loads_,
             slice.start_,
             aDraft.next_.servers_[aLost].name_,
             aDraft.next_.servers_[newOwner].name_);
    slice.owner_ = newOwner;
    slice.next_ = kNoServer;
    ++count;
  }
  return count;
}

void
Placer::FailOverLostServers(PlacementDraft& aDraft)
{
  for (ServerIndex index = 0; index < aDraft.next_.servers_.size(); ++index) {
    auto& server = aDraft.next_.servers_[index];
    const auto* report = FindReport(server);
    if (server.state_ == PlacedState::Lost || report == nullptr ||
        !IsGrantExpired(aDraft, server, *report)) {
      continue;
    }
    if (report->isReachable_) {
      // The server is reachable again; resuming it avoids moving its slices.
      continue;
    }
    const auto active = aDraft.ActiveServers().size();
    const bool hasOtherServer = active > (server.state_ == PlacedState::Active ? 1U : 0U);
    if (!hasOtherServer || !IsLossAllowed(aDraft.now_, active)) {
      if (deferredServers_.insert(server.name_).second) {
        deferrals_.push_back(
          { Event::ServerLossDeferred,
            "server=" + server.name_ +
              (hasOtherServer ? " reason=too-many-at-once" : " reason=no-other-server") });
      }
      continue;
    }
    losses_.push_back(aDraft.now_);
    deferredServers_.erase(server.name_);
    server.state_ = PlacedState::Lost;
    aDraft.lostServers_.push_back(server.name_);
    const auto count = ReassignSlices(aDraft, index);
    aDraft.AddDecision(Event::ServerLost,
                       "server=" + server.name_ + " slices=" + std::to_string(count) +
                         " reason=grant-ran-out");
  }
}

void
Placer::ReactivateReturnedServers(PlacementDraft& aDraft)
{
  for (auto& server : aDraft.next_.servers_) {
    if (server.state_ != PlacedState::Lost) {
      continue;
    }
    const auto* report = FindReport(server);
    const auto since = reachableSince_.find(server.name_);
    const bool isBack = report != nullptr && report->isReachable_ && !report->isWithheld_ &&
                        since != reachableSince_.end() &&
                        aDraft.now_ - since->second >= timing_.reactivationDelay_;
    if (isBack) {
      const auto* declared = aDraft.service_.FindServer(server.name_);
      const bool drains = declared == nullptr || declared->draining_;
      server.state_ = drains ? PlacedState::Draining : PlacedState::Active;
      aDraft.AddDecision(Event::ServerReturned,
                         "server=" + server.name_ + " reason=stayed-reachable");
    }
  }
}

void
Placer::CreateInitialSlices(PlacementDraft& aDraft)
{
  if (!aDraft.next_.slices_.empty()) {
    return;
  }
  const auto active = aDraft.ActiveServers();
  if (active.empty()) {
    return;
  }
  const std::size_t total = active.size() * kSlicesPerServer;
  const KeyHash width = std::numeric_limits<KeyHash>::max() / total;
  for (std::size_t index = 0; index < total; ++index) {
    aDraft.next_.slices_.push_back({ width * index, active[index % active.size()], kNoServer });
  }
}

void
Placer::DrainServers(PlacementDraft& aDraft)
{
  auto counts = aDraft.next_.CountSlices();
  for (auto& slice : aDraft.next_.slices_) {
    const auto& owner = aDraft.next_.servers_[slice.owner_];
    if (owner.state_ != PlacedState::Draining || slice.IsMoving()) {
      continue;
    }
    const auto target = ServerWithFewestSlices(aDraft, counts);
    if (target == kNoServer) {
      return;
    }
    ++counts[target];
    slice.next_ = target;
    aDraft.AddDecision(Event::SliceMoveStarted,
                       "slice=" + std::to_string(slice.start_) + " from=" + owner.name_ +
                         " to=" + aDraft.next_.servers_[target].name_ + " reason=draining");
  }
}

void
Placer::RemoveUndeclared(PlacementDraft& aDraft)
{
  auto counts = aDraft.next_.CountSlices();
  for (ServerIndex index = 0; index < aDraft.next_.servers_.size();) {
    const auto& server = aDraft.next_.servers_[index];
    if (counts[index] != 0 || aDraft.service_.FindServer(server.name_) != nullptr) {
      ++index;
      continue;
    }
    aDraft.next_.servers_.erase(aDraft.next_.servers_.begin() + index);
    counts.erase(counts.begin() + index);
    for (auto& slice : aDraft.next_.slices_) {
      slice.owner_ -= slice.owner_ > index ? 1 : 0;
      slice.next_ -= slice.IsMoving() && slice.next_ > index ? 1 : 0;
    }
  }
}

bool
Placer::FillEmptyServer(PlacementDraft& aDraft)
{
  const auto active = aDraft.ActiveServers();
  auto counts = aDraft.next_.CountSlices();
  const auto isEmpty = [&](ServerIndex aServer) { return counts[aServer] == 0; };
  const auto empty = std::find_if(active.begin(), active.end(), isEmpty);
  if (empty == active.end()) {
    return false;
  }
  const std::size_t fairShare = aDraft.next_.slices_.size() / active.size();
  for (std::size_t moved = 0; moved < fairShare; ++moved) {
    const auto mostLoaded =
      static_cast<ServerIndex>(std::max_element(counts.begin(), counts.end()) - counts.begin());
    if (counts[mostLoaded] <= moved + 1) {
      break;
    }
    const auto taken = std::find_if(
      aDraft.next_.slices_.begin(), aDraft.next_.slices_.end(), [&](const Slice& aSlice) {
        return aSlice.owner_ == mostLoaded && !aSlice.IsMoving();
      });
    taken->next_ = *empty;
    --counts[mostLoaded];
    aDraft.AddDecision(Event::SliceMoveStarted,
                       "slice=" + std::to_string(taken->start_) +
                         " from=" + aDraft.next_.servers_[mostLoaded].name_ +
                         " to=" + aDraft.next_.servers_[*empty].name_ + " reason=empty-server");
  }
  return true;
}

void
Placer::BalanceLoad(PlacementDraft& aDraft)
{
  auto& placement = aDraft.next_;
  for (const auto& move : ChooseMoves(
         placement, loads_, RebalancePolicy::Of(aDraft.profile_, aDraft.service_.slots_))) {
    auto index = placement.SliceIndexOf(move.start_);
    if (move.isSingleKey_) {
      if (move.start_ != std::numeric_limits<KeyHash>::max()) {
        placement.SplitAt(move.start_ + 1);
      }
      index = placement.SplitAt(move.start_);
      aDraft.AddDecision(Event::SliceSplit,
                         "hash=" + std::to_string(move.start_) + " reason=hot-key");
    } else if (move.isHalf_) {
      const auto width = placement.LastHashOf(index) - move.start_;
      index = placement.SplitAt(move.start_ + width / 2 + 1);
      aDraft.AddDecision(Event::SliceSplit,
                         "slice=" + std::to_string(move.start_) + " reason=too-heavy");
    }
    placement.slices_[index].next_ = move.to_;
    aDraft.AddDecision(Event::SliceMoveStarted,
                       "slice=" + std::to_string(placement.slices_[index].start_) +
                         " from=" + placement.servers_[move.from_].name_ +
                         " to=" + placement.servers_[move.to_].name_ +
                         " reason=load load=" + std::to_string(move.load_));
  }
}

void
Placer::Rebalance(PlacementDraft& aDraft)
{
  if (aDraft.now_ - rebalancedAt_ < timing_.rebalanceInterval_) {
    return;
  }
  rebalancedAt_ = aDraft.now_;
  holders_.BalanceHolders(aDraft);
  const bool isSettled = std::none_of(aDraft.next_.slices_.begin(),
                                      aDraft.next_.slices_.end(),
                                      [](const Slice& aSlice) { return aSlice.IsMoving(); });
  if (!isSettled || FillEmptyServer(aDraft)) {
    return;
  }
  BalanceLoad(aDraft);
  const auto even = aDraft.ActiveServers().size() * kSlicesPerServer;
  if (aDraft.decisions_.empty() && aDraft.next_.slices_.size() > even * 2) {
    aDraft.next_.MergeAdjacent(even);
  }
}

std::optional<PlacementProposal>
Placer::Propose(Instant aNow,
                const ServiceDeclaration& aService,
                PlacementProfile aProfile,
                const Placement& aCurrent,
                RowVersion aVersion,
                const Membership& aMembership)
{
  PlacementDraft draft{ aNow, aService, aProfile, aVersion, aMembership, aCurrent };
  draft.next_.service_ = service_;
  ReconcileServers(draft);
  FinishMoves(draft);
  holders_.Assign(draft);
  holders_.RemoveStoppedHolders(
    draft, [this](const PlacedServer& aServer) { return FindReport(aServer); });
  FailOverLostServers(draft);
  ReactivateReturnedServers(draft);
  CreateInitialSlices(draft);
  DrainServers(draft);
  Rebalance(draft);
  RemoveUndeclared(draft);
  if (draft.next_ == aCurrent || draft.next_.slices_.empty()) {
    return std::nullopt;
  }
  PlacementProposal proposal;
  proposal.placement_ = std::move(draft.next_);
  proposal.baseVersion_ = aVersion;
  proposal.decisions_ = std::move(draft.decisions_);
  proposal.lostServers_ = std::move(draft.lostServers_);
  return proposal;
}

void
Placer::OnNotCommitted(const PlacementProposal& aProposal)
{
  // Losses that were not committed do not count against the loss limit.
  const auto count = std::min(aProposal.lostServers_.size(), losses_.size());
  losses_.resize(losses_.size() - count);
}

std::vector<PlacementDecision>
Placer::TakeDeferrals()
{
  return std::exchange(deferrals_, {});
}

std::vector<ResumeCommand>
Placer::TakeResumeCommands(const Placement& aCurrent)
{
  std::vector<ResumeCommand> commands;
  for (const auto& server : aCurrent.servers_) {
    const auto* report = FindReport(server);
    if (report == nullptr || !report->isWithheld_ || !report->isReachable_) {
      continue;
    }
    commands.push_back({ report->service_, report->server_, report->fence_, report->sequence_ });
    // The report is kept, so that an older one that arrives late is still recognized as
    // older.
    reports_[server.name_].isWithheld_ = false;
  }
  return commands;
}

} // namespace latchslip
