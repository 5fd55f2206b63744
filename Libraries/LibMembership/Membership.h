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

// Which instances there are and which of them serve. Purely decisions: the
// caller brings the events and the clock.

// The identity of one run of an instance, "name#incarnation".
using InstanceId = std::string;

InstanceId
MakeInstanceId(std::string_view aName, std::string_view aIncarnation);

// The name within an identity.
std::string_view
NameOfInstance(std::string_view aId);

// An entry of the platform's list, which lags behind the truth.
struct ListedInstance
{
  std::string name_;
  // Where its peers reach it, IP number and port.
  std::string peerAddress_;
  std::string hall_;
  bool leaving_ = false;

  bool operator==(const ListedInstance&) const = default;
};

struct LiveInstance
{
  InstanceId id_;
  std::string hall_;
  bool leaving_ = false;
};

// A change of this instance's own opinion of a peer, to be told to all peers.
struct SuspicionChange
{
  InstanceId target_;
  bool suspected_ = false;
  // False when an opinion that still holds is only told again.
  bool isNews_ = false;
};

struct MembershipTiming
{
  // A peer that this instance watches is suspected after this long a silence.
  Duration silenceLimit_ = milliseconds(400);
  // A suspicion that nobody repeats lapses after this.
  Duration suspicionLife_ = milliseconds(1500);
  // While it lasts, a suspicion is told again this often.
  Duration suspicionRepeat_ = milliseconds(400);
  // An instance absent from the list for this long has certainly stopped.
  Duration goneAfter_ = milliseconds(1000);
  // A listed peer that was never heard from counts as live until this instance
  // has known the list for so long.
  Duration unheardLimit_ = milliseconds(2000);
  // How long a starting instance waits to hear from all peers before it judges.
  Duration settleLimit_ = milliseconds(1000);
  // Between two ticks further apart than this the process itself was paused.
  Duration pauseLimit_ = milliseconds(250);
};

class Membership
{
public:
  Membership(InstanceId aSelf, std::string aHall, MembershipTiming aTiming);

  void OnList(Instant aNow, std::vector<ListedInstance> aList);

  // A peer has proved who it is on a new connection or was heard from.
  void OnHeard(Instant aNow, const InstanceId& aId, std::string_view aHall, bool aLeaving);
  // A heartbeat, which only the watchers of a peer receive regularly.
  void OnHeartbeat(Instant aNow, const InstanceId& aId, bool aLeaving);
  void OnSuspicion(Instant aNow,
                   const InstanceId& aFrom,
                   const InstanceId& aTarget,
                   bool aSuspected);

  // Finds peers that fell silent or came back, to be told to all peers.
  std::vector<SuspicionChange> Tick(Instant aNow);

  void SetLeaving() { leaving_ = true; }
  bool IsLeaving() const { return leaving_; }

  // The peers that watch this instance: its heartbeats go to them.
  std::vector<std::string> WatcherNames() const;
  std::vector<ListedInstance> Peers() const;

  // Known, listed and not held lost by enough watchers.
  bool IsLive(Instant aNow, std::string_view aId) const;
  // Whether every listed peer was heard from or had the time to be.
  bool IsSettled(Instant aNow) const;
  bool IsLeavingInstance(std::string_view aId) const;
  // Certainly stopped: another incarnation has its name, or the list has left
  // it out for long enough. The list lags, but it does not drop the living.
  bool IsGone(Instant aNow, std::string_view aId) const;
  // All that serve, this instance among them, sorted by identity.
  std::vector<LiveInstance> Live(Instant aNow) const;

  // Whether more than half of the listed instances, this one counted, were
  // heard from within the bound.
  bool HeardFromMajority(Instant aNow, Duration aBound) const;

  const InstanceId& Self() const { return self_; }
  const std::string& Hall() const { return hall_; }
  // The identity now known for a name, if any.
  std::optional<InstanceId> IdOfName(std::string_view aName) const;

private:
  struct Peer
  {
    InstanceId id_;
    std::string hall_;
    bool leaving_ = false;
    Instant heardAt_{ 0 };
    // Silence is measured from here; a pause of this process resets it.
    Instant silentSince_{ 0 };
    bool isSuspectedByMe_ = false;
    Instant toldAt_{ 0 };
    // When each suspecting instance last said so.
    std::map<InstanceId, Instant> suspicions_;
  };

  void IndexList();
  std::vector<std::string> SuccessorsOf(std::string_view aName) const;
  bool IsListed(std::string_view aName) const;
  bool IsHeldLost(Instant aNow, const std::string& aName, const Peer& aPeer) const;

  InstanceId self_;
  std::string hall_;
  MembershipTiming timing_;
  bool leaving_ = false;
  Instant lastTick_{ 0 };
  bool hasList_ = false;
  Instant firstListAt_{ 0 };
  std::vector<ListedInstance> list_;
  // Where each name stands in the list, and the names that this instance watches.
  std::map<std::string, std::size_t, std::less<>> positions_;
  std::set<std::string, std::less<>> watched_;
  // By name.
  std::map<std::string, Peer, std::less<>> peers_;
  // Since when a name has been absent from the list.
  std::map<std::string, Instant, std::less<>> absentSince_;
};

} // namespace latchslip
