#pragma once

#include "LibFleet/NewsTree.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace latchslip {

// What changed in a roster.
struct RosterChange
{
  // joined_ are all instances that there are.
  bool isWhole_ = false;
  std::vector<FleetPeer> joined_;
  // Addresses.
  std::vector<std::string> left_;

  bool IsEmpty() const { return !isWhole_ && joined_.empty() && left_.empty(); }
  bool operator==(const RosterChange&) const = default;
};

// The instances of a fleet, as its placer hears them and the others are told. Two rosters
// of the same instances have the same digest, so that whoever reports gets only what
// changed since its own: at 295 instances the whole list in each answer comes to some 17
// Mbit a second from the placer alone (estimate: 20 bytes an address, 370 answers a second).
// It does no I/O.
class FleetRoster
{
public:
  // Adds an instance, or what it is like now.
  void Put(FleetPeer aPeer);
  void Remove(const std::string& aAddress);
  void Apply(const RosterChange& aChange);

  // Tells rosters of different instances apart.
  std::uint64_t Digest() const { return digest_; }
  // What somebody lacks whose roster has that digest; all when it is not known from when.
  RosterChange ChangesSince(std::uint64_t aDigest) const;

  const std::map<std::string, FleetPeer>& Peers() const { return peers_; }
  std::size_t Size() const { return peers_.size(); }

  // Whether the fleet is so large that a few of it read the store for all.
  bool HasReaders() const;
  // Whether that instance is one of them.
  bool IsReader(const std::string& aAddress) const;
  // All of them, those of that hall first.
  std::vector<FleetPeer> ReadersFrom(const std::string& aHall) const;

private:
  struct Step
  {
    std::uint64_t before_ = 0;
    FleetPeer peer_;
    bool hasLeft_ = false;
  };

  // Whether the roster changed.
  bool Add(FleetPeer aPeer);
  bool Drop(const std::string& aAddress);
  void Note(const FleetPeer& aPeer, bool aHasLeft);
  void ChooseReaders();

  std::map<std::string, FleetPeer> peers_;
  std::uint64_t digest_ = 0;
  // The latest changes, the oldest first.
  std::deque<Step> steps_;
  std::set<std::string> readers_;
};

} // namespace latchslip
