#include "LibDispatch/ServerQueue.h"

#include <algorithm>

namespace latchslip {

namespace {

// Initial estimate of the service time, before anything was measured.
constexpr Duration kInitialServiceTime = milliseconds(2);
// Weight of a new sample in the moving average of the service time.
constexpr double kServiceTimeWeight = 0.05;
// Priority offset of an interactive group over a deferrable one, in requests of a group of
// portion 1. It is longer than a burst and shorter than a second of work, so that portions
// hold over the time span by which intents are judged.
constexpr double kInteractivePriorityOffset = 32;
constexpr Duration kMinRetryAfter = milliseconds(10);
constexpr Duration kMaxRetryAfter = seconds(5);

} // namespace

ServerQueue::ServerQueue(unsigned aSlots)
  : slots_(aSlots)
  , meanServiceTime_(kInitialServiceTime)
{
}

void
ServerQueue::Configure(unsigned aSlots, const std::vector<SharingIntent>& aIntents)
{
  slots_ = aSlots;
  for (const auto& intent : aIntents) {
    auto& group = groups_[intent.group_];
    group.portion_ = intent.portion_;
    group.priorityOffset_ =
      intent.latencyClass_ == LatencyClass::Interactive ? kInteractivePriorityOffset : 0;
    group.maxWaiting_ = intent.maxWaiting_;
    group.maxSlots_ = intent.maxSlots_;
  }
  for (auto& [name, group] : groups_) {
    const bool isKept =
      std::any_of(aIntents.begin(), aIntents.end(), [&name = name](const auto& aIntent) {
        return aIntent.group_ == name;
      });
    if (!isKept) {
      // Waiting requests are still served, but no new ones are admitted.
      group.maxWaiting_ = 0;
    }
  }
}

Duration
ServerQueue::EstimateWait(std::string_view aGroup) const
{
  const auto found = groups_.find(aGroup);
  if (found == groups_.end()) {
    return Duration{ 0 };
  }
  double portions = found->second.portion_;
  for (const auto& [name, group] : groups_) {
    if (name != aGroup && !group.waiting_.empty()) {
      portions += group.portion_;
    }
  }
  const auto slots = std::max(slots_, 1U);
  const bool hasFreeSlot = running_.size() + foreignSlots_ < slots_;
  const auto ahead = static_cast<double>(found->second.waiting_.size()) + (hasFreeSlot ? 0 : 1);
  const double share = found->second.portion_ / portions;
  const double usable = found->second.maxSlots_ == 0
                          ? slots * share
                          : std::min<double>(slots * share, found->second.maxSlots_);
  return Duration(
    static_cast<std::int64_t>(ahead * static_cast<double>(meanServiceTime_.count()) / usable));
}

Admission
ServerQueue::Check(Instant aNow, std::string_view aGroup, Instant aDeadline) const
{
  const auto found = groups_.find(aGroup);
  if (found == groups_.end()) {
    return { AdmissionVerdict::UnknownGroup, Duration{ 0 } };
  }
  const auto wait = EstimateWait(aGroup);
  const auto retryAfter = std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
  if (found->second.waiting_.size() >= found->second.maxWaiting_) {
    return { AdmissionVerdict::QueueFull, retryAfter };
  }
  if (aNow + wait + meanServiceTime_ > aDeadline) {
    return { AdmissionVerdict::DeadlineTooNear, retryAfter };
  }
  return {};
}

Admission
ServerQueue::Admit(Instant aNow, WorkId aId, std::string_view aGroup, Instant aDeadline)
{
  const auto admission = Check(aNow, aGroup, aDeadline);
  if (admission.verdict_ != AdmissionVerdict::Admitted) {
    return admission;
  }
  auto& group = groups_.find(aGroup)->second;
  if (group.waiting_.empty() && group.running_ == 0) {
    // A group earns no credit for the time in which it was idle.
    group.startTag_ = std::max(group.startTag_, virtualTime_);
  }
  // Earliest deadline first within the group.
  const auto after = std::upper_bound(
    group.waiting_.begin(), group.waiting_.end(), aDeadline, [](Instant aLeft, const auto& aRight) {
      return aLeft < aRight.deadline_;
    });
  group.waiting_.insert(after, { aId, aDeadline });
  ++waiting_;
  return {};
}

ServerQueue::GroupQueue*
ServerQueue::ChooseGroup()
{
  GroupQueue* chosen = nullptr;
  double least = 0;
  for (auto& [name, group] : groups_) {
    if (!group.CanStart()) {
      continue;
    }
    const double tag = std::max(group.startTag_, virtualTime_) - group.priorityOffset_;
    if (chosen == nullptr || tag < least) {
      chosen = &group;
      least = tag;
    }
  }
  return chosen;
}

std::optional<WorkId>
ServerQueue::StartNext()
{
  if (waiting_ == 0 || running_.size() + foreignSlots_ >= slots_) {
    return std::nullopt;
  }
  auto* group = ChooseGroup();
  if (group == nullptr) {
    return std::nullopt;
  }
  const auto id = group->waiting_.front().id_;
  group->waiting_.pop_front();
  --waiting_;
  group->startTag_ = std::max(group->startTag_, virtualTime_) + 1 / group->portion_;
  ++group->running_;
  // Virtual time advances with the most lagging of the waiting groups, so that a group which
  // becomes idle cannot accumulate a claim on the server.
  double lowestTag = group->startTag_;
  for (const auto& [name, other] : groups_) {
    if (!other.waiting_.empty()) {
      lowestTag = std::min(lowestTag, other.startTag_);
    }
  }
  virtualTime_ = std::max(virtualTime_, lowestTag);
  const auto name = std::find_if(
    groups_.begin(), groups_.end(), [&](const auto& aEntry) { return &aEntry.second == group; });
  running_.emplace(id, name->first);
  return id;
}

void
ServerQueue::Finish(WorkId aId, Duration aServiceTime)
{
  const auto found = running_.find(aId);
  if (found == running_.end()) {
    return;
  }
  --groups_[found->second].running_;
  running_.erase(found);
  if (aServiceTime > Duration{ 0 }) {
    const auto mean = static_cast<double>(meanServiceTime_.count());
    const auto sample = static_cast<double>(aServiceTime.count());
    meanServiceTime_ =
      Duration(static_cast<std::int64_t>(mean + kServiceTimeWeight * (sample - mean)));
  }
}

bool
ServerQueue::Remove(WorkId aId)
{
  for (auto& [name, group] : groups_) {
    const auto found = std::find_if(group.waiting_.begin(),
                                    group.waiting_.end(),
                                    [&](const auto& aEntry) { return aEntry.id_ == aId; });
    if (found != group.waiting_.end()) {
      group.waiting_.erase(found);
      --waiting_;
      return true;
    }
  }
  return false;
}

std::vector<WorkId>
ServerQueue::TakeExpired(Instant aNow)
{
  std::vector<WorkId> expired;
  for (auto& [name, group] : groups_) {
    while (!group.waiting_.empty() && group.waiting_.front().deadline_ < aNow + meanServiceTime_) {
      expired.push_back(group.waiting_.front().id_);
      group.waiting_.pop_front();
      --waiting_;
    }
  }
  return expired;
}

} // namespace latchslip
