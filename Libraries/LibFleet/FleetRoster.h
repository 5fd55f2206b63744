#pragma once

#include "LibFleet/UpdateTree.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace latchslip {

// The difference between two rosters.
struct RosterChange
{
  // joined_ lists the whole roster.
  bool isWhole_ = false;
  std::vector<FleetPeer> joined_;
  // Addresses of instances that left.
  std::vector<std::string> left_;

  bool IsEmpty() const { return !isWhole_ && joined_.empty() && left_.empty(); }
  bool operator==(const RosterChange&) const = default;
};

// The instances of a fleet. The placer builds it from the reports it receives; the others get it
// with the responses. Rosters of the same instances have the same digest, so that a response to a
// report carries only the difference from the reporter's roster: with 295 instances, the whole list
// in each response would come to some 17 Mbit a second from the placer alone (estimate: 20 bytes an
// address, 370 answers a second). It also chooses the readers of a large fleet. It does no I/O.
class FleetRoster
{
public:
  // Adds or updates an instance.
  void Put(FleetPeer aPeer);
  void Remove(const std::string& aAddress);
  void Apply(const RosterChange& aChange);

  // Digest of the set of addresses, independent of the order of changes.
  std::uint64_t Digest() const { return digest_; }
  // The changes since the roster with that digest; the whole roster if that digest is not in the
  // change log.
  RosterChange ChangesSince(std::uint64_t aDigest) const;

  const std::map<std::string, FleetPeer>& Peers() const { return peers_; }
  std::size_t Size() const { return peers_.size(); }

  // Whether the fleet is large enough to have readers, which poll the store on behalf of the
  // others.
  bool HasReaders() const;
  // Whether the instance at that address is a reader.
  bool IsReader(const std::string& aAddress) const;
  // All readers, those of aHall first.
  std::vector<FleetPeer> ReadersByProximity(const std::string& aHall) const;

private:
  // An entry of the change log.
  struct LogEntry
  {
    std::uint64_t digestBefore_ = 0;
    FleetPeer peer_;
    bool hasLeft_ = false;
  };

  // Add and Drop return whether the roster changed.
  bool Add(FleetPeer aPeer);
  bool Drop(const std::string& aAddress);
  void AppendToLog(const FleetPeer& aPeer, bool aHasLeft);
  void ChooseReaders();

  std::map<std::string, FleetPeer> peers_;
  std::uint64_t digest_ = 0;
  // The change log, oldest entry first.
  std::deque<LogEntry> changeLog_;
  std::set<std::string> readers_;
};

} // namespace latchslip
