#include "LibMembership/Membership.h"

#include "LibBase/KeyHash.h"

#include <algorithm>

namespace latchslip {

namespace {

// Number of watchers of each instance. It is constant, so that the cost of heartbeats does not grow
// with the fleet.
constexpr std::size_t kWatchersPerInstance = 3;
// Number of watchers that must agree before an instance is considered lost.
constexpr std::size_t kSuspicionQuorum = 2;

} // namespace

InstanceId
MakeInstanceId(std::string_view aName, std::string_view aIncarnation)
{
  return std::string(aName) + "#" + std::string(aIncarnation);
}

std::string_view
NameOfInstance(std::string_view aId)
{
  return aId.substr(0, aId.find('#'));
}

Membership::Membership(InstanceId aSelf, std::string aHall, MembershipTiming aTiming)
  : self_(std::move(aSelf))
  , hall_(std::move(aHall))
  , timing_(aTiming)
{
}

void
Membership::OnList(Instant aNow, std::vector<ListedInstance> aList)
{
  // The ring is ordered by the hash of the names, so that neighbours in the list, which often share
  // a rack, do not watch each other.
  std::sort(aList.begin(), aList.end(), [](const auto& aLeft, const auto& aRight) {
    return std::pair(HashKey(aLeft.name_), aLeft.name_) <
           std::pair(HashKey(aRight.name_), aRight.name_);
  });
  list_ = std::move(aList);
  IndexList();
  firstListAt_ = hasList_ ? firstListAt_ : aNow;
  hasList_ = true;
  for (const auto& listed : list_) {
    absentSince_.erase(listed.name_);
  }
  for (const auto& [name, peer] : peers_) {
    if (!IsListed(name)) {
      absentSince_.emplace(name, aNow);
    }
  }
}

void
Membership::IndexList()
{
  positions_.clear();
  watched_.clear();
  for (std::size_t index = 0; index < list_.size(); ++index) {
    positions_[list_[index].name_] = index;
  }
  for (const auto& listed : list_) {
    const auto watchers = SuccessorsOf(listed.name_);
    if (std::find(watchers.begin(), watchers.end(), NameOfInstance(self_)) != watchers.end()) {
      watched_.insert(listed.name_);
    }
  }
}

void
Membership::OnContact(Instant aNow, const InstanceId& aId, std::string_view aHall, bool aLeaving)
{
  const std::string name(NameOfInstance(aId));
  auto& peer = peers_[name];
  if (peer.id_ != aId) {
    peer = Peer{};
    peer.id_ = aId;
    peer.silentSince_ = aNow;
  }
  if (!aHall.empty()) {
    peer.hall_ = aHall;
  }
  peer.leaving_ = aLeaving;
  peer.lastContactAt_ = aNow;
  if (!IsListed(name)) {
    absentSince_.emplace(name, aNow);
  }
}

void
Membership::OnHeartbeat(Instant aNow, const InstanceId& aId, bool aLeaving)
{
  OnContact(aNow, aId, "", aLeaving);
  auto& peer = peers_[std::string(NameOfInstance(aId))];
  peer.silentSince_ = aNow;
}

void
Membership::OnSuspicion(Instant aNow,
                        const InstanceId& aFrom,
                        const InstanceId& aTarget,
                        bool aSuspected)
{
  const auto found = peers_.find(NameOfInstance(aTarget));
  if (found == peers_.end() || found->second.id_ != aTarget) {
    return;
  }
  if (aSuspected) {
    found->second.suspicions_[aFrom] = aNow;
  } else {
    found->second.suspicions_.erase(aFrom);
  }
}

std::vector<SuspicionChange>
Membership::Tick(Instant aNow)
{
  const bool wasPaused = lastTick_ != Instant{ 0 } && aNow - lastTick_ > timing_.pauseLimit_;
  lastTick_ = aNow;
  std::vector<SuspicionChange> changes;
  for (auto& [name, peer] : peers_) {
    if (!watched_.contains(name)) {
      peer.isSuspectedLocally_ = false;
      peer.suspicions_.erase(self_);
      peer.silentSince_ = aNow;
      continue;
    }
    if (wasPaused) {
      // This process was silent itself, so the silence says nothing about the peer.
      peer.silentSince_ = aNow;
    }
    const bool isSilent = aNow - peer.silentSince_ > timing_.silenceLimit_;
    const bool isRepeatDue = isSilent && aNow - peer.announcedAt_ >= timing_.suspicionInterval_;
    const bool isChange = isSilent != peer.isSuspectedLocally_;
    if (isChange || isRepeatDue) {
      peer.isSuspectedLocally_ = isSilent;
      peer.announcedAt_ = aNow;
      OnSuspicion(aNow, self_, peer.id_, isSilent);
      changes.push_back({ peer.id_, isSilent, isChange });
    }
  }
  return changes;
}

bool
Membership::IsListed(std::string_view aName) const
{
  return positions_.contains(aName);
}

std::vector<std::string>
Membership::SuccessorsOf(std::string_view aName) const
{
  const auto found = positions_.find(aName);
  std::vector<std::string> names;
  if (found == positions_.end()) {
    return names;
  }
  const auto position = found->second;
  for (std::size_t step = 1; step < list_.size() && names.size() < kWatchersPerInstance; ++step) {
    names.push_back(list_[(position + step) % list_.size()].name_);
  }
  return names;
}

std::vector<std::string>
Membership::WatcherNames() const
{
  return SuccessorsOf(NameOfInstance(self_));
}

std::vector<ListedInstance>
Membership::Peers() const
{
  std::vector<ListedInstance> peers;
  std::copy_if(list_.begin(), list_.end(), std::back_inserter(peers), [&](const auto& aListed) {
    return aListed.name_ != NameOfInstance(self_);
  });
  return peers;
}

bool
Membership::IsSuspectedByQuorum(Instant aNow, const std::string& aName, const Peer& aPeer) const
{
  const auto watchers = SuccessorsOf(aName);
  const auto needed = std::min(kSuspicionQuorum, watchers.size());
  const auto suspecting =
    std::count_if(aPeer.suspicions_.begin(), aPeer.suspicions_.end(), [&](const auto& aSuspicion) {
      return aNow - aSuspicion.second <= timing_.suspicionTimeout_;
    });
  return suspecting > 0 && static_cast<std::size_t>(suspecting) >= needed;
}

bool
Membership::IsLive(Instant aNow, std::string_view aId) const
{
  if (aId == self_) {
    return true;
  }
  const auto name = NameOfInstance(aId);
  const auto found = peers_.find(name);
  if (found == peers_.end()) {
    // A starting instance must not take the roles of peers that it had no time to contact.
    return IsListed(name) && name != NameOfInstance(self_) &&
           aNow - firstListAt_ < timing_.firstContactTimeout_;
  }
  return found->second.id_ == aId && IsListed(found->first) &&
         !IsSuspectedByQuorum(aNow, found->first, found->second);
}

bool
Membership::IsSettled(Instant aNow) const
{
  const bool isOver = hasList_ && aNow - firstListAt_ >= timing_.settleTimeout_;
  const auto peers = Peers();
  return isOver || (hasList_ && std::all_of(peers.begin(), peers.end(), [&](const auto& aListed) {
                      return peers_.contains(aListed.name_);
                    }));
}

bool
Membership::IsLeavingInstance(std::string_view aId) const
{
  if (aId == self_) {
    return leaving_;
  }
  const auto name = NameOfInstance(aId);
  const auto found = peers_.find(name);
  const bool hasAnnounced = found != peers_.end() && found->second.leaving_;
  const auto position = positions_.find(name);
  return hasAnnounced || (position != positions_.end() && list_[position->second].leaving_);
}

bool
Membership::HasStopped(Instant aNow, std::string_view aId) const
{
  const auto name = NameOfInstance(aId);
  if (name == NameOfInstance(self_)) {
    return aId != self_;
  }
  const auto found = peers_.find(name);
  if (found != peers_.end() && found->second.id_ != aId) {
    return true;
  }
  if (!hasList_ || IsListed(name)) {
    return false;
  }
  const auto absent = absentSince_.find(name);
  return absent == absentSince_.end() || aNow - absent->second >= timing_.goneAfter_;
}

std::vector<LiveInstance>
Membership::LiveInstances(Instant aNow) const
{
  std::vector<LiveInstance> live{ { self_, hall_, leaving_ } };
  for (const auto& [name, peer] : peers_) {
    if (IsLive(aNow, peer.id_)) {
      live.push_back({ peer.id_, peer.hall_, IsLeavingInstance(peer.id_) });
    }
  }
  std::sort(live.begin(), live.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.id_ < aRight.id_;
  });
  return live;
}

bool
Membership::HasMajorityContact(Instant aNow, Duration aBound) const
{
  const auto inContact = std::count_if(peers_.begin(), peers_.end(), [&](const auto& aEntry) {
    return IsListed(aEntry.first) && aNow - aEntry.second.lastContactAt_ <= aBound;
  });
  const auto total = Peers().size() + 1;
  return (static_cast<std::size_t>(inContact) + 1) * 2 > total;
}

std::optional<InstanceId>
Membership::IdOfName(std::string_view aName) const
{
  const auto found = peers_.find(aName);
  if (found == peers_.end()) {
    return std::nullopt;
  }
  return found->second.id_;
}

} // namespace latchslip
