#include "LibFleet/FleetRoster.h"

#include "LibBase/KeyHash.h"

#include <algorithm>

namespace latchslip {

namespace {

// Two, so that a hall still has one while the other is cut off or slow.
constexpr std::size_t kReadersPerHall = 2;
// Up to this size each instance polls the store itself, so that none depends on another. At one
// poll in 8 s each, the store gets 2 a second.
constexpr std::size_t kMaxSmallFleet = 16;
// Length of the change log; a large fleet that starts needs half of it.
constexpr std::size_t kMaxLogEntries = 1024;

} // namespace

void
FleetRoster::Put(FleetPeer aPeer)
{
  if (Add(std::move(aPeer))) {
    ChooseReaders();
  }
}

void
FleetRoster::Remove(const std::string& aAddress)
{
  if (Drop(aAddress)) {
    ChooseReaders();
  }
}

bool
FleetRoster::Add(FleetPeer aPeer)
{
  const auto known = peers_.find(aPeer.address_);
  if (known != peers_.end() && known->second == aPeer) {
    return false;
  }
  if (known == peers_.end()) {
    AppendToLog(aPeer, false);
  }
  const auto address = aPeer.address_;
  peers_[address] = std::move(aPeer);
  return true;
}

bool
FleetRoster::Drop(const std::string& aAddress)
{
  const auto known = peers_.find(aAddress);
  if (known == peers_.end()) {
    return false;
  }
  AppendToLog(known->second, true);
  peers_.erase(known);
  return true;
}

// Joining and leaving combine the same hash by XOR, so that the digest doesn't depend on the order
// in which instances joined and left.
void
FleetRoster::AppendToLog(const FleetPeer& aPeer, bool aHasLeft)
{
  changeLog_.push_back({ digest_, aPeer, aHasLeft });
  if (changeLog_.size() > kMaxLogEntries) {
    changeLog_.pop_front();
  }
  digest_ ^= HashKey(aPeer.address_);
}

void
FleetRoster::Apply(const RosterChange& aChange)
{
  if (aChange.isWhole_) {
    std::set<std::string> present;
    for (const auto& peer : aChange.joined_) {
      present.insert(peer.address_);
    }
    std::vector<std::string> gone;
    for (const auto& [address, peer] : peers_) {
      if (!present.contains(address)) {
        gone.push_back(address);
      }
    }
    for (const auto& address : gone) {
      Drop(address);
    }
  }
  for (const auto& peer : aChange.joined_) {
    Add(peer);
  }
  for (const auto& address : aChange.left_) {
    Drop(address);
  }
  ChooseReaders();
}

RosterChange
FleetRoster::ChangesSince(std::uint64_t aDigest) const
{
  RosterChange change;
  if (aDigest == digest_) {
    return change;
  }
  const auto from =
    std::find_if(changeLog_.rbegin(), changeLog_.rend(), [&](const LogEntry& aEntry) {
      return aEntry.digestBefore_ == aDigest;
    });
  if (from == changeLog_.rend()) {
    change.isWhole_ = true;
    for (const auto& [address, peer] : peers_) {
      change.joined_.push_back(peer);
    }
    return change;
  }
  std::set<std::string> touched;
  for (auto entry = std::prev(from.base()); entry != changeLog_.end(); ++entry) {
    touched.insert(entry->peer_.address_);
  }
  for (const auto& address : touched) {
    const auto peer = peers_.find(address);
    if (peer == peers_.end()) {
      change.left_.push_back(address);
    } else {
      change.joined_.push_back(peer->second);
    }
  }
  return change;
}

bool
FleetRoster::HasReaders() const
{
  return peers_.size() > kMaxSmallFleet;
}

bool
FleetRoster::IsReader(const std::string& aAddress) const
{
  return readers_.contains(aAddress);
}

std::vector<FleetPeer>
FleetRoster::ReadersByProximity(const std::string& aHall) const
{
  std::vector<FleetPeer> readers;
  for (const auto& address : readers_) {
    readers.push_back(peers_.at(address));
  }
  std::stable_partition(
    readers.begin(), readers.end(), [&](const FleetPeer& aPeer) { return aPeer.hall_ == aHall; });
  return readers;
}

// Chooses the instances with the largest processor share in each hall, and by address among equal
// ones, so that all rosters give the same result.
void
FleetRoster::ChooseReaders()
{
  readers_.clear();
  if (!HasReaders()) {
    return;
  }
  std::map<std::string, std::vector<const FleetPeer*>> halls;
  for (const auto& [address, peer] : peers_) {
    halls[peer.hall_].push_back(&peer);
  }
  for (auto& [hall, peers] : halls) {
    const auto count = std::min(kReadersPerHall, peers.size());
    std::partial_sort(peers.begin(),
                      peers.begin() + static_cast<std::ptrdiff_t>(count),
                      peers.end(),
                      [](const FleetPeer* aLeft, const FleetPeer* aRight) {
                        return StrongerFirst(*aLeft, *aRight);
                      });
    for (std::size_t index = 0; index < count; ++index) {
      readers_.insert(peers[index]->address_);
    }
  }
}

} // namespace latchslip
