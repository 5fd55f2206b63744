#pragma once

#include "LibBase/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace latchslip {

// Living servers write their record again within about two seconds of the store's return
// from an outage or an older copy (the platform's promise); a little is added for the way
// here. The operators write theirs again in that time as well.
inline constexpr Duration kReturnAfterOutage = milliseconds(2300);

// What a backend server says of itself. Each start of a server is another life, which
// knows nothing of the former one, most often with an id of its own; an address may pass to
// a server of another service.
struct ServerRecord
{
  std::string id_;
  std::string service_;
  std::string address_;
  std::string hall_;
  unsigned slots_ = 1;
  // The server is about to end and must get no new work.
  bool isLeaving_ = false;
  // Rises with each change of any record, so that of two lives at one address
  // the one with the higher revision is the later.
  std::uint64_t revision_ = 0;
  // How much longer it took only a few requests a second when it wrote the record.
  Duration slowStartLeft_{ 0 };
  // Until when that is so; set by the directory.
  Instant slowStartUntil_ = Instant::min();
  // Its data hall is being drained; set by the directory.
  bool isHallDrained_ = false;
  // An answer of this life said that it is about to end, whatever the record says; set by
  // the directory.
  bool hasToldLeaving_ = false;
  // Since when it is known to leave; set by the directory.
  Instant leavingSince_ = Instant::max();
  // Tells the lives under one id apart, the later the higher; 0 when it is not told.
  std::uint64_t incarnation_ = 0;

  bool IsLeaving() const { return isLeaving_ || hasToldLeaving_; }
  // Whether it may get new work.
  bool TakesWork() const { return !IsLeaving() && !isHallDrained_; }
  bool IsInSlowStart(Instant aNow) const { return aNow < slowStartUntil_; }
  bool operator==(const ServerRecord&) const = default;
};

// The backend servers that live, as the platform's list of them has it. The
// list loses living servers while its store is away, so that a record which
// disappears around an outage is kept for a while.
class ServerDirectory
{
public:
  // Takes one record, new or changed.
  void Put(Instant aNow, ServerRecord aRecord);
  // Notes that a record has disappeared.
  void Remove(Instant aNow, const std::string& aId);
  // Takes the whole list; servers that it lacks have disappeared.
  void Replace(Instant aNow, std::vector<ServerRecord> aRecords);

  // An answer of that life of a server says that it is about to end. No record of the same
  // life takes that back. Whether it is news of a server that is listed.
  bool NoteLeaving(Instant aNow, const std::string& aId, std::uint64_t aIncarnation);

  // Nothing may be sent to the servers of that hall until it is restored.
  void DrainHall(const std::string& aHall);
  // Its servers may have lost what they held in memory meanwhile.
  void RestoreHall(Instant aNow, const std::string& aHall);

  // The store has come back from an older copy, which lacks what was written last: that a
  // server leaves or is gone, or that a hall is drained. What takes such a thing back counts
  // only once its writers have had the time to write it again.
  void OnStoreCameBack(Instant aNow);

  void OnStoreLost(Instant aNow);
  void OnStoreRegained(Instant aNow);

  // Carries out what has waited for its time; whether anything changed.
  bool Expire(Instant aNow);

  const ServerRecord* Find(std::string_view aId) const;
  // As Find, also for records that were dropped.
  const ServerRecord* FindAny(std::string_view aId) const;
  // The servers of one service, those that are leaving included, by id.
  std::vector<const ServerRecord*> OfService(std::string_view aService) const;
  // Whether a later life, of whatever service, has the address of this one, which
  // has thus ended. False for lives that were never listed.
  bool HasEnded(std::string_view aId) const;
  const std::map<std::string, ServerRecord, std::less<>>& All() const { return records_; }

private:
  Instant RemovalTime(Instant aNow) const;
  // Until when the store may show what was there before the last writes.
  Instant CopyUntil() const;
  // Whether a record says of a server, as an older copy does, that it does not leave or
  // that it is there, though more was known.
  bool TakesBack(const ServerRecord& aRecord) const;
  void PutNow(Instant aNow, ServerRecord aRecord);
  void RestoreHallNow(Instant aNow, const std::string& aHall);
  // Takes all that was doubted; whether there was anything.
  bool TakeDoubted(Instant aNow);
  void Forget(std::map<std::string, ServerRecord, std::less<>>::iterator aRecord);

  std::map<std::string, ServerRecord, std::less<>> records_;
  // Records that were dropped, the latest of them.
  std::map<std::string, ServerRecord, std::less<>> former_;
  std::set<std::string> drainedHalls_;
  // When each record that has disappeared is dropped.
  std::map<std::string, Instant, std::less<>> removals_;
  // What takes back more than was known, until CopyUntil.
  std::map<std::string, ServerRecord, std::less<>> doubtedRecords_;
  std::set<std::string> doubtedRestores_;
  bool isStoreLost_ = false;
  Instant regainedAt_ = Instant::min();
  Instant cameBackAt_ = Instant::min();
};

} // namespace latchslip
