#include "LibGateway/ServerDirectory.h"

#include "LibStore/StoreEpoch.h"

#include <algorithm>
#include <set>
#include <utility>

namespace latchslip {

namespace {

// Delay before a record is dropped that disappears while the store is available. Its server has
// stopped or is partitioned; the delay only merges reordered changes.
constexpr Duration kRemovalDelay = milliseconds(200);
// Maximum number of dropped records that are kept: more than the servers that a fleet replaces in
// a minute, and negligible in memory.
constexpr std::size_t kMaxDroppedRecords = 1024;
// Slow start of the servers of a restored hall. They report within this time that they are in
// slow start, if they are: two heartbeats of a second, plus an allowance for the delay to this
// instance.
constexpr Duration kRestoredHallSlowStart = milliseconds(2300);
// Maximum delay after which the store may still execute a write of a server that has ended. Until
// then, a list does not show which of two servers at one address was there first.
constexpr Duration kMaxWriteDelay = seconds(12);

} // namespace

void
ServerDirectory::OnFirstList(Instant aNow)
{
  listedSince_ = aNow;
}

void
ServerDirectory::Put(Instant aNow, ServerRecord aRecord)
{
  if (const auto* known = FindAny(aRecord.id_);
      known != nullptr && NumberOf(known->revision_) == NumberOf(aRecord.revision_)) {
    // The same write in another epoch of the store: it is no later than before.
    aRecord.revision_ = known->revision_;
  }
  deferredRecords_.erase(aRecord.id_);
  if (aNow < StaleCopyUntil() && RevertsKnownState(aRecord)) {
    auto id = aRecord.id_;
    deferredRecords_.insert_or_assign(std::move(id), std::move(aRecord));
    return;
  }
  ApplyRecord(aNow, std::move(aRecord));
}

bool
ServerDirectory::RevertsKnownState(const ServerRecord& aRecord) const
{
  const auto* listed = Find(aRecord.id_);
  if (listed == nullptr) {
    return droppedRecords_.contains(aRecord.id_);
  }
  return listed->isLeaving_ && !aRecord.isLeaving_;
}

void
ServerDirectory::ApplyRecord(Instant aNow, ServerRecord aRecord)
{
  aRecord.isHallDrained_ = drainedHalls_.contains(aRecord.hall_);
  const auto* known = FindAny(aRecord.id_);
  const bool isSameIncarnation = known != nullptr && known->incarnation_ == aRecord.incarnation_;
  aRecord.hasAnnouncedLeaving_ = isSameIncarnation && known->hasAnnouncedLeaving_;
  aRecord.isProvenEnded_ = isSameIncarnation && known->isProvenEnded_;
  if (aRecord.IsLeaving()) {
    aRecord.leavingSince_ = isSameIncarnation ? std::min(known->leavingSince_, aNow) : aNow;
  }
  if (aRecord.slowStartLeft_ > Duration(0)) {
    aRecord.slowStartUntil_ = aNow + aRecord.slowStartLeft_;
  }
  TrackAddress(aNow, aRecord, known);
  removals_.erase(aRecord.id_);
  auto id = aRecord.id_;
  records_.insert_or_assign(std::move(id), std::move(aRecord));
}

void
ServerDirectory::TrackAddress(Instant aNow, const ServerRecord& aRecord, const ServerRecord* aKnown)
{
  if (aKnown != nullptr && aKnown->address_ == aRecord.address_ &&
      aKnown->incarnation_ == aRecord.incarnation_) {
    return;
  }
  if (aKnown != nullptr) {
    addresses_.Remove(aKnown->address_, aKnown->id_);
  }
  const bool isOrderKnown =
    aKnown != nullptr || listedSince_ == Instant::min() || aNow >= listedSince_ + kMaxWriteDelay;
  addresses_.Add(aRecord.address_,
                 aRecord.id_,
                 isOrderKnown ? AddressHistory::Order::Later : AddressHistory::Order::Unknown);
}

bool
ServerDirectory::RecordLeaving(Instant aNow, const std::string& aId, std::uint64_t aIncarnation)
{
  auto* record = FindMutable(aId);
  if (record == nullptr || record->incarnation_ != aIncarnation || record->hasAnnouncedLeaving_) {
    return false;
  }
  record->hasAnnouncedLeaving_ = true;
  record->leavingSince_ = std::min(record->leavingSince_, aNow);
  return Find(aId) != nullptr;
}

bool
ServerDirectory::RecordEnded(const std::string& aId, std::uint64_t aIncarnation)
{
  auto* record = FindMutable(aId);
  if (record == nullptr || record->incarnation_ != aIncarnation || record->isProvenEnded_) {
    return false;
  }
  record->isProvenEnded_ = true;
  // Whoever was listed before it at this address may be the one that answers.
  addresses_.Remove(record->address_, aId);
  return Find(aId) != nullptr;
}

ServerRecord*
ServerDirectory::FindMutable(const std::string& aId)
{
  if (const auto listed = records_.find(aId); listed != records_.end()) {
    return &listed->second;
  }
  const auto dropped = droppedRecords_.find(aId);
  return dropped == droppedRecords_.end() ? nullptr : &dropped->second;
}

void
ServerDirectory::Remove(Instant aNow, const std::string& aId)
{
  deferredRecords_.erase(aId);
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
  deferredRestores_.erase(aHall);
  drainedHalls_.insert(aHall);
  for (auto& [id, record] : records_) {
    record.isHallDrained_ = record.isHallDrained_ || record.hall_ == aHall;
  }
}

void
ServerDirectory::RestoreHall(Instant aNow, const std::string& aHall)
{
  if (aNow < StaleCopyUntil()) {
    deferredRestores_.insert(aHall);
    return;
  }
  ApplyRestore(aNow, aHall);
}

void
ServerDirectory::ApplyRestore(Instant aNow, const std::string& aHall)
{
  if (drainedHalls_.erase(aHall) == 0) {
    return;
  }
  for (auto& [id, record] : records_) {
    if (record.hall_ == aHall) {
      record.isHallDrained_ = false;
      record.slowStartUntil_ = std::max(record.slowStartUntil_, aNow + kRestoredHallSlowStart);
    }
  }
}

void
ServerDirectory::OnStoreRolledBack(Instant aNow)
{
  rolledBackAt_ = aNow;
}

Instant
ServerDirectory::StaleCopyUntil() const
{
  return rolledBackAt_ == Instant::min() ? rolledBackAt_ : rolledBackAt_ + kReregistrationTime;
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
  storeRegainedAt_ = aNow;
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
    storeRegainedAt_ == Instant::min() ? storeRegainedAt_ : storeRegainedAt_ + kReregistrationTime;
  return std::max({ aNow + kRemovalDelay, afterOutage, StaleCopyUntil() });
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
    DropRecord(records_.find(removal->first));
    removal = removals_.erase(removal);
    isChanged = true;
  }
  if (aNow >= StaleCopyUntil()) {
    isChanged = ApplyDeferred(aNow) || isChanged;
  }
  return isChanged;
}

bool
ServerDirectory::ApplyDeferred(Instant aNow)
{
  const bool isAny = !deferredRecords_.empty() || !deferredRestores_.empty();
  for (auto& [id, record] : std::exchange(deferredRecords_, {})) {
    ApplyRecord(aNow, std::move(record));
  }
  for (const auto& hall : std::exchange(deferredRestores_, {})) {
    ApplyRestore(aNow, hall);
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
  const auto former = droppedRecords_.find(aId);
  return former == droppedRecords_.end() ? nullptr : &former->second;
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
ServerDirectory::DropRecord(std::map<std::string, ServerRecord, std::less<>>::iterator aRecord)
{
  PruneDroppedRecords();
  // The record of an earlier listing is obsolete.
  droppedRecords_.erase(aRecord->first);
  droppedRecords_.insert(records_.extract(aRecord));
}

void
ServerDirectory::PruneDroppedRecords()
{
  if (droppedRecords_.size() < kMaxDroppedRecords) {
    return;
  }
  const auto oldest = std::min_element(
    droppedRecords_.begin(), droppedRecords_.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second.revision_ < aRight.second.revision_;
    });
  if (!records_.contains(oldest->first)) {
    addresses_.Remove(oldest->second.address_, oldest->first);
  }
  droppedRecords_.erase(oldest);
}

bool
ServerDirectory::HasEnded(std::string_view aId) const
{
  const auto* record = FindAny(aId);
  return record != nullptr &&
         (record->isProvenEnded_ || addresses_.IsSucceeded(record->address_, aId));
}

bool
ServerDirectory::IsProvenEnded(std::string_view aId) const
{
  const auto* record = FindAny(aId);
  return record != nullptr && record->isProvenEnded_;
}

} // namespace latchslip
