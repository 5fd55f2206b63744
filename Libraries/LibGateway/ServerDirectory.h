#pragma once

#include "LibBase/Time.h"
#include "LibGateway/AddressHistory.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// Running servers write their records again within about two seconds after the store returns from
// an outage or from an older copy (a guarantee of the platform), plus an allowance for the delay
// to this instance. Operators repeat their writes within that time as well.
inline constexpr Duration kReregistrationTime = milliseconds(2300);

// Registration of a backend server. Each start of a server is another incarnation without the
// state of the previous one, usually with an id of its own; an address may pass to a server of
// another service.
struct ServerRecord
{
  std::string id_;
  std::string service_;
  std::string address_;
  std::string hall_;
  unsigned slots_ = 1;
  // The server is shutting down and must get no new work.
  bool isLeaving_ = false;
  // Increases with each change of any record.
  std::uint64_t revision_ = 0;
  // Remaining slow start at the time of writing the record.
  Duration slowStartLeft_{ 0 };
  // End of the slow start; set by the directory.
  Instant slowStartUntil_ = Instant::min();
  // Its data hall is being drained; set by the directory.
  bool isHallDrained_ = false;
  // An answer of this incarnation announced that it is shutting down, regardless of the record;
  // set by the directory.
  bool hasAnnouncedLeaving_ = false;
  // Its address answered as another incarnation; set by the directory.
  bool isProvenEnded_ = false;
  // Time since which it is known to be leaving; set by the directory.
  Instant leavingSince_ = Instant::max();
  // Distinguishes incarnations under one id, the later the higher; 0 if not reported.
  std::uint64_t incarnation_ = 0;

  bool IsLeaving() const { return isLeaving_ || hasAnnouncedLeaving_; }
  // Whether it may get new work.
  bool AcceptsWork() const { return !IsLeaving() && !isHallDrained_; }
  bool IsInSlowStart(Instant aNow) const { return aNow < slowStartUntil_; }
  bool operator==(const ServerRecord&) const = default;
};

// The running backend servers according to the platform's list. The list loses running servers
// while its store is unavailable, so a record that disappears around an outage is kept for some
// time.
class ServerDirectory
{
public:
  // The complete list is about to be applied for the first time.
  void OnFirstList(Instant aNow);
  // Adds or updates a record.
  void Put(Instant aNow, ServerRecord aRecord);
  // A record has disappeared; it is dropped after a delay.
  void Remove(Instant aNow, const std::string& aId);
  // Applies the complete list; servers missing from it have disappeared.
  void Replace(Instant aNow, std::vector<ServerRecord> aRecords);

  // An answer of that server incarnation announced that it is shutting down. No record of the
  // same incarnation reverts this. Returns whether this changed a listed server.
  bool RecordLeaving(Instant aNow, const std::string& aId, std::uint64_t aIncarnation);

  // The address of that server incarnation answered as another one. No record of the same
  // incarnation reverts this. Returns whether this changed a listed server.
  bool RecordEnded(const std::string& aId, std::uint64_t aIncarnation);

  // Nothing may be sent to the servers of the hall until it is restored.
  void DrainHall(const std::string& aHall);
  // Ends the drain. The servers of the hall begin in slow start, because they may have lost state
  // that they held in memory.
  void RestoreHall(Instant aNow, const std::string& aHall);

  // The store was restored from an older copy that lacks the last writes: that a server is
  // leaving or gone, or that a hall is drained. Changes that revert such a state are deferred
  // until its writers have had time to repeat it.
  void OnStoreRolledBack(Instant aNow);

  // The store became unreachable for this instance, or reachable again.
  void OnStoreLost(Instant aNow);
  void OnStoreRegained(Instant aNow);

  // Applies removals and deferred changes that are due; returns whether anything changed.
  bool Expire(Instant aNow);

  const ServerRecord* Find(std::string_view aId) const;
  // As Find, but also finds dropped records.
  const ServerRecord* FindAny(std::string_view aId) const;
  // The servers of one service by id, including those that are leaving.
  std::vector<const ServerRecord*> OfService(std::string_view aService) const;
  // Whether this server has most likely ended: a server of any service was listed at its address
  // later, or the address answered as another one. Sufficient for not choosing it; a record that is
  // written late by a server unknown until then can cause it for a running one. False for servers
  // that were never listed.
  bool HasEnded(std::string_view aId) const;
  // Whether this server has certainly ended, because its address answered as another one.
  bool IsProvenEnded(std::string_view aId) const;
  const std::map<std::string, ServerRecord, std::less<>>& All() const { return records_; }

private:
  Instant RemovalTime(Instant aNow) const;
  // Time until which the store may show a state from before the last writes.
  Instant StaleCopyUntil() const;
  // Whether a record reverts a known state, as an older copy of the store does: that a server is
  // leaving, or gone.
  bool RevertsKnownState(const ServerRecord& aRecord) const;
  void ApplyRecord(Instant aNow, ServerRecord aRecord);
  // Adds the record to the history of its address, unless this incarnation is in it.
  void TrackAddress(Instant aNow, const ServerRecord& aRecord, const ServerRecord* aKnown);
  // The record with that id, listed or dropped; null if there is none.
  ServerRecord* FindMutable(const std::string& aId);
  void ApplyRestore(Instant aNow, const std::string& aHall);
  // Applies all deferred changes; returns whether there were any.
  bool ApplyDeferred(Instant aNow);
  void DropRecord(std::map<std::string, ServerRecord, std::less<>>::iterator aRecord);
  // Forgets the least recent dropped record once there are too many.
  void PruneDroppedRecords();

  std::map<std::string, ServerRecord, std::less<>> records_;
  // The listed and dropped servers that are not proven to have ended.
  AddressHistory addresses_;
  // Time of the first complete list.
  Instant listedSince_ = Instant::min();
  // The most recently dropped records.
  std::map<std::string, ServerRecord, std::less<>> droppedRecords_;
  std::set<std::string> drainedHalls_;
  // Time at which each record that has disappeared is dropped.
  std::map<std::string, Instant, std::less<>> removals_;
  // Records that revert a known state, deferred until StaleCopyUntil().
  std::map<std::string, ServerRecord, std::less<>> deferredRecords_;
  std::set<std::string> deferredRestores_;
  bool isStoreLost_ = false;
  Instant storeRegainedAt_ = Instant::min();
  Instant rolledBackAt_ = Instant::min();
};

} // namespace latchslip
