#include "LibStandIn/ServerState.h"

#include <algorithm>

namespace latchslip {

namespace {

// A leaving server may receive work that was already in flight for this long.
constexpr Duration kLeavingGrace = seconds(3);

} // namespace

ServerState::ServerState(unsigned aSlots, bool aChecksGrants, std::uint64_t aBootId)
  : slots_(aSlots)
  , checksGrants_(aChecksGrants)
  , bootId_(aBootId)
{
}

void
ServerState::RecordOwnership(Instant aNow, const GrantCommand& aCommand)
{
  const Instant until(aCommand.validUntil_);
  if (!ownerships_.empty()) {
    auto& last = ownerships_.back();
    const bool isRenewal = last.ranges_ == aCommand.ranges_ && last.until_ >= aNow;
    if (isRenewal && aCommand.validUntil_ != 0) {
      last.until_ = std::max(last.until_, until);
      return;
    }
    last.until_ = std::min(last.until_, aNow);
  }
  if (until > aNow && !aCommand.ranges_.empty()) {
    ownerships_.push_back({ aCommand.fence_, aNow, until, aCommand.ranges_ });
  }
}

GrantReply
ServerState::OnGrant(Instant aNow, const GrantCommand& aCommand)
{
  GrantReply reply;
  reply.bootId_ = bootId_;
  reply.clock_ = aNow.count();
  const bool isOutdated =
    aCommand.fence_ < fence_ || (aCommand.fence_ == fence_ && aCommand.generation_ < generation_);
  const bool isForeignBoot = aCommand.bootId_ != 0 && aCommand.bootId_ != bootId_;
  reply.accepted_ = !checksGrants_ || (!isOutdated && !isForeignBoot);
  if (reply.accepted_) {
    fence_ = std::max(fence_, aCommand.fence_);
    generation_ = aCommand.generation_;
    if (checksGrants_) {
      RecordOwnership(aNow, aCommand);
    }
    validUntil_ = aCommand.validUntil_;
    ranges_ = aCommand.ranges_;
  }
  reply.fence_ = fence_;
  reply.generation_ = generation_;
  for (const auto& [id, running] : running_) {
    const bool isForeign = running.isOrphaned_ || running.work_.fence_ < aCommand.fence_;
    reply.foreignRunning_ += isForeign ? 1 : 0;
    reply.releasedRunning_ += CoversHash(aCommand.ranges_, running.work_.hash_) ? 0 : 1;
  }
  return reply;
}

bool
ServerState::Owns(Instant aNow, KeyHash aHash) const
{
  return !checksGrants_ || (aNow.count() < validUntil_ && CoversHash(ranges_, aHash));
}

StartResult
ServerState::OnWork(Instant aNow, const ServerWork& aWork)
{
  if (checksGrants_ && (aWork.fence_ != fence_ || !Owns(aNow, aWork.hash_))) {
    return StartResult::Refused;
  }
  if (aWork.validUntil_ != 0 && aNow.count() >= aWork.validUntil_) {
    return StartResult::Expired;
  }
  if (running_.size() >= slots_) {
    ++slotsExceeded_;
    return StartResult::Shed;
  }
  if (leavingSince_ != Instant{ 0 } && aNow - leavingSince_ > kLeavingGrace) {
    ++startedWhileLeaving_;
  }
  running_[aWork.id_] = { aWork, aNow };
  maxRunning_ = std::max(maxRunning_, running_.size());
  return StartResult::Started;
}

bool
ServerState::Finish(Instant aNow, std::uint64_t aId)
{
  const auto found = running_.find(aId);
  if (found == running_.end()) {
    return false;
  }
  const auto running = std::move(found->second);
  running_.erase(found);
  // The fence may be newer than the work's, but the server must still own the key.
  if (!Owns(aNow, running.work_.hash_)) {
    return false;
  }
  executions_.push_back({ running.work_.requestId_,
                          running.work_.group_,
                          running.work_.hash_,
                          running.work_.fence_,
                          running.startedAt_,
                          aNow });
  return true;
}

bool
ServerState::Cancel(std::uint64_t aId)
{
  return running_.erase(aId) != 0;
}

void
ServerState::MarkOrphaned(std::uint64_t aId)
{
  const auto found = running_.find(aId);
  if (found != running_.end()) {
    found->second.isOrphaned_ = true;
  }
}

} // namespace latchslip
