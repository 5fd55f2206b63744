#include "LibPlacement/HolderAssigner.h"

#include "LibBase/KeyHash.h"

#include <algorithm>
#include <utility>

namespace latchslip {

namespace {

// Maximum difference in the number of servers that two instances hold of one service.
constexpr std::size_t kMaxHolderImbalance = 1;

} // namespace

void
HolderAssigner::OnStopped(const std::string& aServer, const InstanceId& aHolder)
{
  stoppedHolders_[aServer].insert(aHolder);
}

void
HolderAssigner::Reset()
{
  stoppedHolders_.clear();
  formerHoldersGoneSince_.clear();
}

bool
HolderAssigner::AreFormerGrantsExpired(Instant aNow, const PlacedServer& aServer) const
{
  const auto gone = formerHoldersGoneSince_.find(aServer.name_);
  return aServer.formerHolders_.empty() && gone != formerHoldersGoneSince_.end() &&
         aNow - gone->second >= formerGrantTimeout_;
}

void
HolderAssigner::Assign(PlacementDraft& aDraft)
{
  std::vector<LiveInstance> candidates;
  for (const auto& instance : aDraft.membership_.LiveInstances(aDraft.now_)) {
    if (!instance.leaving_) {
      candidates.push_back(instance);
    }
  }
  if (candidates.empty()) {
    return;
  }
  std::map<std::string, std::size_t> held;
  for (const auto& server : aDraft.next_.servers_) {
    ++held[server.holder_];
  }
  for (auto& server : aDraft.next_.servers_) {
    const bool hasHolder = !server.holder_.empty() &&
                           aDraft.membership_.IsLive(aDraft.now_, server.holder_) &&
                           !aDraft.membership_.IsLeavingInstance(server.holder_);
    if (hasHolder) {
      continue;
    }
    // A holder in another data hall survives the loss of the server's hall, and can then determine
    // when the server's last grant expired. The hash breaks ties so that the services do not
    // all choose the same instance.
    const auto chosen = std::min_element(
      candidates.begin(), candidates.end(), [&](const auto& aLeft, const auto& aRight) {
        const auto rank = [&](const LiveInstance& aInstance) {
          return std::tuple(aInstance.hall_ == server.hall_,
                            held[aInstance.id_],
                            HashPair(aInstance.id_, aDraft.next_.service_ + server.name_));
        };
        return rank(aLeft) < rank(aRight);
      });
    AssignHolder(aDraft, server, chosen->id_);
    ++held[chosen->id_];
  }
}

void
HolderAssigner::AssignHolder(PlacementDraft& aDraft,
                             PlacedServer& aServer,
                             const InstanceId& aHolder)
{
  auto& formerHolders = aServer.formerHolders_;
  const bool isListed =
    std::find(formerHolders.begin(), formerHolders.end(), aServer.holder_) != formerHolders.end();
  if (!aServer.holder_.empty() && !isListed) {
    formerHolders.push_back(aServer.holder_);
  }
  const auto former = std::exchange(aServer.holder_, aHolder);
  aServer.fence_ = ++aDraft.next_.lastFence_;
  formerHoldersGoneSince_.erase(aServer.name_);
  // A holder that is assigned again must not count as stopped by an old report.
  stoppedHolders_[aServer.name_].erase(aHolder);
  std::erase(formerHolders, aHolder);
  aDraft.AddDecision(Event::HolderAssigned,
                     "server=" + aServer.name_ + " holder=" + aHolder + " former=" + former +
                       " fence=" + std::to_string(aServer.fence_));
}

void
HolderAssigner::RemoveStoppedHolders(PlacementDraft& aDraft, const ReportFunction& aReportOf)
{
  for (auto& server : aDraft.next_.servers_) {
    if (server.formerHolders_.empty()) {
      formerHoldersGoneSince_.emplace(server.name_, aDraft.now_);
      continue;
    }
    const auto& stopped = stoppedHolders_[server.name_];
    std::erase_if(server.formerHolders_,
                  [&](const std::string& aHolder) { return stopped.contains(aHolder); });
    const bool areGone = std::all_of(
      server.formerHolders_.begin(), server.formerHolders_.end(), [&](const std::string& aHolder) {
        return aDraft.membership_.HasStopped(aDraft.now_, aHolder);
      });
    if (!areGone) {
      formerHoldersGoneSince_.erase(server.name_);
      continue;
    }
    const auto since = formerHoldersGoneSince_.emplace(server.name_, aDraft.now_).first->second;
    const auto* report = aReportOf(server);
    // Once a server that checks grants has answered under the higher fence, all grants under
    // lower ones are void. Otherwise they must have expired.
    const bool isFencedOff = aDraft.service_.checksGrants_ && report != nullptr &&
                             report->isReachable_ && !report->isUnconfirmed_;
    if (isFencedOff || aDraft.now_ - since >= formerGrantTimeout_) {
      server.formerHolders_.clear();
    }
  }
}

void
HolderAssigner::BalanceHolders(PlacementDraft& aDraft)
{
  std::map<InstanceId, std::size_t> held;
  std::map<InstanceId, std::string> halls;
  for (const auto& instance : aDraft.membership_.LiveInstances(aDraft.now_)) {
    if (!instance.leaving_) {
      held[instance.id_] = 0;
      halls[instance.id_] = instance.hall_;
    }
  }
  if (held.empty()) {
    return;
  }
  for (const auto& server : aDraft.next_.servers_) {
    const auto found = held.find(server.holder_);
    if (found != held.end()) {
      ++found->second;
    }
  }
  const auto byCount = [](const auto& aLeft, const auto& aRight) {
    return aLeft.second < aRight.second;
  };
  const auto least = std::min_element(held.begin(), held.end(), byCount);
  const auto most = std::max_element(held.begin(), held.end(), byCount);
  if (most->second <= least->second + kMaxHolderImbalance) {
    return;
  }
  // At most one server per round, and never to an instance in the server's own hall.
  for (auto& server : aDraft.next_.servers_) {
    const bool isApart = halls[least->first] != server.hall_;
    if (server.holder_ == most->first && isApart && server.formerHolders_.empty()) {
      AssignHolder(aDraft, server, least->first);
      return;
    }
  }
}

} // namespace latchslip
