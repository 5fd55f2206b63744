#include "LibGateway/ServerDirectory.h"

#include "LibStore/StoreEpoch.h"

#include <algorithm>
#include <set>
#include <utility>

namespace latchslip {

namespace {

// Delay before a record is dropped that disappears while the store is available. Its server has
// stopped or is partitioned; the delay only merges reordered changes.
constexpr Duration kRemovalPause = milliseconds(200);
// Maximum number of dropped records that are kept: more than the servers that a fleet replaces in
// a minute, and negligible in memory.
constexpr std::size_t kMostFormer = 1024;
// Slow start of the servers of a restored hall. They report within this time that they are in
// slow start, if they are: two heartbeats of a second, plus an allowance for the delay to this
// instance.
constexpr Duration kRestoreSlowStart = milliseconds(2300);

} // namespace

void
ServerDirectory::Put(Instant aNow, ServerRecord aRecord)
{
  if (const auto* known = FindAny(aRecord.id_);
      known != nullptr && NumberOf(known->revision_) == NumberOf(aRecord.revision_)) {
    // The same write in another epoch of the store: it is no later than before.
    aRecord.revision_ = known->revision_;
  }
  doubtedRecords_.erase(aRecord.id_);
  if (aNow < CopyUntil() && TakesBack(aRecord)) {
    auto id = aRecord.id_;
    doubtedRecords_.insert_or_assign(std::move(id), std::move(aRecord));
    return;
  }
  PutNow(aNow, std::move(aRecord));
}

bool
ServerDirectory::TakesBack(const ServerRecord& aRecord) const
{
  const auto* listed = Find(aRecord.id_);
  if (listed == nullptr) {
    return former_.contains(aRecord.id_);
  }
  return listed->isLeaving_ && !aRecord.isLeaving_;
}

void
ServerDirectory::PutNow(Instant aNow, ServerRecord aRecord)
{
  aRecord.isHallDrained_ = drainedHalls_.contains(aRecord.hall_);
  const auto* known = FindAny(aRecord.id_);
  const bool isSameLife = known != nullptr && known->life_ == aRecord.life_;
  aRecord.hasAnnouncedLeaving_ = isSameLife && known->hasAnnouncedLeaving_;
  if (aRecord.IsLeaving()) {
    aRecord.leavingSince_ = isSameLife ? std::min(known->leavingSince_, aNow) : aNow;
  }
  if (aRecord.slowStartLeft_ > Duration(0)) {
    aRecord.slowStartUntil_ = aNow + aRecord.slowStartLeft_;
  }
  removals_.erase(aRecord.id_);
  auto id = aRecord.id_;
  records_.insert_or_assign(std::move(id), std::move(aRecord));
}

bool
ServerDirectory::RecordLeaving(Instant aNow, const std::string& aId, std::uint64_t aLife)
{
  const auto listed = records_.find(aId);
  const auto former = former_.find(aId);
  if (listed == records_.end()) {
    if (former != former_.end() && former->second.life_ == aLife) {
      former->second.hasAnnouncedLeaving_ = true;
    }
    return false;
  }
  auto& record = listed->second;
  if (record.life_ != aLife || record.hasAnnouncedLeaving_) {
    return false;
  }
  record.hasAnnouncedLeaving_ = true;
  record.leavingSince_ = std::min(record.leavingSince_, aNow);
  return true;
}

void
ServerDirectory::Remove(Instant aNow, const std::string& aId)
{
  doubtedRecords_.erase(aId);
  if (records_.contains(aId)) {
    removals_.try_emplace(aId, RemovalTime(aNow));
  }
}

void
ServerDirectory::Replace(Instant aNow, std::vector<ServerRecord> aRecords)
{
  std::set<std::string> present;
  for (auto& record : aRecords) {
    present.insert(record.id_);
    Put(aNow, std::move(record));
  }
  for (const auto& [id, record] : records_) {
    if (!present.contains(id)) {
      Remove(aNow, id);
    }
  }
}

void
ServerDirectory::DrainHall(const std::string& aHall)
{
  doubtedRestores_.erase(aHall);
  drainedHalls_.insert(aHall);
  for (auto& [id, record] : records_) {
    record.isHallDrained_ = record.isHallDrained_ || record.hall_ == aHall;
  }
}

void
ServerDirectory::RestoreHall(Instant aNow, const std::string& aHall)
{
  if (aNow < CopyUntil()) {
    doubtedRestores_.insert(aHall);
    return;
  }
  RestoreHallNow(aNow, aHall);
}

void
ServerDirectory::RestoreHallNow(Instant aNow, const std::string& aHall)
{
  if (drainedHalls_.erase(aHall) == 0) {
    return;
  }
  for (auto& [id, record] : records_) {
    if (record.hall_ == aHall) {
      record.isHallDrained_ = false;
      record.slowStartUntil_ = std::max(record.slowStartUntil_, aNow + kRestoreSlowStart);
    }
  }
}

void
ServerDirectory::OnStoreRolledBack(Instant aNow)
{
  cameBackAt_ = aNow;
}

Instant
ServerDirectory::CopyUntil() const
{
  return cameBackAt_ == Instant::min() ? cameBackAt_ : cameBackAt_ + kReregistrationTime;
}

void
ServerDirectory::OnStoreLost(Instant)
{
  isStoreLost_ = true;
}

void
ServerDirectory::OnStoreRegained(Instant aNow)
{
  // NOTE: Records whose disappearance was already known keep their removal time: the update came
  // from an instance that reaches the store, and is binding from then on.
  isStoreLost_ = false;
  regainedAt_ = aNow;
}

Instant
ServerDirectory::RemovalTime(Instant aNow) const
{
  // Without the store, the update came from another instance, which may have read the list before
  // the servers were back on it.
  if (isStoreLost_) {
    return aNow + kReregistrationTime;
  }
  const auto afterOutage =
    regainedAt_ == Instant::min() ? regainedAt_ : regainedAt_ + kReregistrationTime;
  return std::max({ aNow + kRemovalPause, afterOutage, CopyUntil() });
}

bool
ServerDirectory::Expire(Instant aNow)
{
  bool isChanged = false;
  for (auto removal = removals_.begin(); removal != removals_.end();) {
    if (removal->second > aNow) {
      ++removal;
      continue;
    }
    Forget(records_.find(removal->first));
    removal = removals_.erase(removal);
    isChanged = true;
  }
  if (aNow >= CopyUntil()) {
    isChanged = TakeDoubted(aNow) || isChanged;
  }
  return isChanged;
}

bool
ServerDirectory::TakeDoubted(Instant aNow)
{
  const bool isAny = !doubtedRecords_.empty() || !doubtedRestores_.empty();
  for (auto& [id, record] : std::exchange(doubtedRecords_, {})) {
    PutNow(aNow, std::move(record));
  }
  for (const auto& hall : std::exchange(doubtedRestores_, {})) {
    RestoreHallNow(aNow, hall);
  }
  return isAny;
}

const ServerRecord*
ServerDirectory::Find(std::string_view aId) const
{
  const auto record = records_.find(aId);
  return record == records_.end() ? nullptr : &record->second;
}

const ServerRecord*
ServerDirectory::FindAny(std::string_view aId) const
{
  if (const auto* listed = Find(aId)) {
    return listed;
  }
  const auto former = former_.find(aId);
  return former == former_.end() ? nullptr : &former->second;
}

std::vector<const ServerRecord*>
ServerDirectory::OfService(std::string_view aService) const
{
  std::vector<const ServerRecord*> servers;
  for (const auto& [id, record] : records_) {
    if (record.service_ == aService) {
      servers.push_back(&record);
    }
  }
  return servers;
}

void
ServerDirectory::Forget(std::map<std::string, ServerRecord, std::less<>>::iterator aRecord)
{
  if (former_.size() >= kMostFormer) {
    const auto oldest =
      std::min_element(former_.begin(), former_.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.revision_ < aRight.second.revision_;
      });
    former_.erase(oldest);
  }
  // The record of an earlier listing is obsolete.
  former_.erase(aRecord->first);
  former_.insert(records_.extract(aRecord));
}

bool
ServerDirectory::HasEnded(std::string_view aId) const
{
  const auto* record = FindAny(aId);
  return record != nullptr &&
         std::any_of(records_.begin(), records_.end(), [&](const auto& aEntry) {
           const auto& other = aEntry.second;
           return other.address_ == record->address_ && other.id_ != record->id_ &&
                  other.revision_ > record->revision_;
         });
}

} // namespace latchslip
