#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// Failure detection and membership of the fleet: combines the platform's list of instances with
// heartbeats. It does no I/O; the caller passes in events and the time.

// Identity of one run of an instance, "name#incarnation".
using InstanceId = std::string;

InstanceId
MakeInstanceId(std::string_view aName, std::string_view aIncarnation);

// The name part of an identity.
std::string_view
NameOfInstance(std::string_view aId);

// An entry of the platform's list of instances, which lags behind the actual state.
struct ListedInstance
{
  std::string name_;
  // Peer address, IP address and port.
  std::string peerAddress_;
  std::string hall_;
  bool leaving_ = false;

  bool operator==(const ListedInstance&) const = default;
};

// An instance that this one considers live.
struct LiveInstance
{
  InstanceId id_;
  std::string hall_;
  bool leaving_ = false;
};

// A change of this instance's own suspicion of a peer, to be sent to all peers.
struct SuspicionChange
{
  InstanceId target_;
  bool suspected_ = false;
  // False if an unchanged suspicion is only repeated.
  bool isChange_ = false;
};

// Timeouts of Membership.
struct MembershipTiming
{
  // A watched peer is suspected after this time without a heartbeat.
  Duration silenceLimit_ = milliseconds(400);
  // A suspicion expires if it is not repeated within this time.
  Duration suspicionTimeout_ = milliseconds(1500);
  // Interval at which a lasting suspicion is repeated.
  Duration suspicionInterval_ = milliseconds(400);
  // An instance that has been absent from the list for this long has certainly stopped.
  Duration goneAfter_ = milliseconds(1000);
  // A listed peer without any contact so far counts as live until this long after the first list.
  Duration firstContactTimeout_ = milliseconds(2000);
  // How long a starting instance waits for contact with all peers before IsSettled is true.
  Duration settleTimeout_ = milliseconds(1000);
  // If two calls of Tick are further apart than this, the process itself was paused.
  Duration pauseLimit_ = milliseconds(250);
};

// Decides which instances are live. Each instance sends heartbeats to a few peers, its watchers,
// which suspect it when heartbeats cease and send their suspicions to all peers. An instance is
// live if it is listed and a quorum of its watchers does not suspect it.
class Membership
{
public:
  Membership(InstanceId aSelf, std::string aHall, MembershipTiming aTiming);

  // Sets the platform's list of instances.
  void OnList(Instant aNow, std::vector<ListedInstance> aList);

  // A peer authenticated on a new connection, or a message of it arrived.
  void OnContact(Instant aNow, const InstanceId& aId, std::string_view aHall, bool aLeaving);
  // A heartbeat arrived; only the watchers of a peer get them regularly.
  void OnHeartbeat(Instant aNow, const InstanceId& aId, bool aLeaving);
  // aFrom suspects aTarget, or withdraws its suspicion.
  void OnSuspicion(Instant aNow,
                   const InstanceId& aFrom,
                   const InstanceId& aTarget,
                   bool aSuspected);

  // Detects peers that became silent or returned; the result has to be sent to all peers. The
  // caller calls it at intervals shorter than pauseLimit_.
  std::vector<SuspicionChange> Tick(Instant aNow);

  void SetLeaving() { leaving_ = true; }
  bool IsLeaving() const { return leaving_; }

  // The names of this instance's watchers, to which it sends heartbeats.
  std::vector<std::string> WatcherNames() const;
  // The listed instances without this one.
  std::vector<ListedInstance> Peers() const;

  // Whether the instance is known, listed and not suspected by a quorum of its watchers.
  bool IsLive(Instant aNow, std::string_view aId) const;
  // Whether there was contact with every listed peer, or enough time for it.
  bool IsSettled(Instant aNow) const;
  bool IsLeavingInstance(std::string_view aId) const;
  // Whether the instance has certainly stopped: another incarnation has its name, or it has been
  // absent from the list for goneAfter_. The list lags, but it does not drop running instances.
  bool HasStopped(Instant aNow, std::string_view aId) const;
  // All live instances including this one, sorted by identity.
  std::vector<LiveInstance> LiveInstances(Instant aNow) const;

  // Whether this instance had contact, within aBound, with enough listed instances to form a
  // majority together with itself.
  bool HasMajorityContact(Instant aNow, Duration aBound) const;

  const InstanceId& Self() const { return self_; }
  const std::string& Hall() const { return hall_; }
  // The current identity of the instance with that name, if any.
  std::optional<InstanceId> IdOfName(std::string_view aName) const;

private:
  struct Peer
  {
    InstanceId id_;
    std::string hall_;
    bool leaving_ = false;
    Instant lastContactAt_{ 0 };
    // Start of the current silence; a pause of this process resets it.
    Instant silentSince_{ 0 };
    bool isSuspectedLocally_ = false;
    Instant announcedAt_{ 0 };
    // When each suspecting instance last repeated its suspicion.
    std::map<InstanceId, Instant> suspicions_;
  };

  void IndexList();
  // The watchers of an instance, which are its successors on a ring of all names.
  std::vector<std::string> SuccessorsOf(std::string_view aName) const;
  bool IsListed(std::string_view aName) const;
  bool IsSuspectedByQuorum(Instant aNow, const std::string& aName, const Peer& aPeer) const;

  InstanceId self_;
  std::string hall_;
  MembershipTiming timing_;
  bool leaving_ = false;
  Instant lastTick_{ 0 };
  bool hasList_ = false;
  Instant firstListAt_{ 0 };
  std::vector<ListedInstance> list_;
  // Index of each name in list_, and the names that this instance watches.
  std::map<std::string, std::size_t, std::less<>> positions_;
  std::set<std::string, std::less<>> watched_;
  // Known peers by name.
  std::map<std::string, Peer, std::less<>> peers_;
  // Since when each known name has been absent from the list.
  std::map<std::string, Instant, std::less<>> absentSince_;
};

} // namespace latchslip
