#include "LibDispatch/GrantManager.h"

#include <algorithm>

namespace latchslip {

bool
CoversHash(const std::vector<HashRange>& aRanges, KeyHash aHash)
{
  const auto after = std::upper_bound(
    aRanges.begin(), aRanges.end(), aHash, [](KeyHash aLeft, const HashRange& aRight) {
      return aLeft < aRight.first;
    });
  return after != aRanges.begin() && aHash <= std::prev(after)->second;
}

bool
RangesOverlap(const std::vector<HashRange>& aLeft, const std::vector<HashRange>& aRight)
{
  return std::any_of(aLeft.begin(), aLeft.end(), [&](const HashRange& aOne) {
    return std::any_of(aRight.begin(), aRight.end(), [&](const HashRange& aOther) {
      return aOne.first <= aOther.second && aOther.first <= aOne.second;
    });
  });
}

GrantManager::GrantManager(std::string aService,
                           std::string aServer,
                           bool aChecksGrants,
                           GrantTiming aTiming)
  : service_(std::move(aService))
  , server_(std::move(aServer))
  , checksGrants_(aChecksGrants)
  , timing_(aTiming)
{
}

void
GrantManager::SetDesiredRanges(Fence aFence,
                               RowVersion aPlacementVersion,
                               std::vector<HashRange> aRanges,
                               bool aFormerHoldersStopped)
{
  if (aFence != fence_) {
    fence_ = aFence;
    generation_ = 0;
    granted_.clear();
    grantedValidUntil_ = 0;
    state_ = GrantState::Waiting;
    refused_ = false;
    isConfirmed_ = false;
    hasSentGrants_ = false;
    contactingSince_ = Instant{ 0 };
    bootId_ = 0;
    serverClock_ = 0;
  }
  // A server that checks grants rejects former holders by the higher fence itself. For any
  // other server, the former holders must be known to have stopped.
  if (state_ == GrantState::Waiting && (checksGrants_ || aFormerHoldersStopped)) {
    state_ = GrantState::Contacting;
  }
  desiredVersion_ = aPlacementVersion;
  if (aRanges != desiredRanges_ || generation_ == 0) {
    desiredRanges_ = std::move(aRanges);
    ++generation_;
    isChanged_ = true;
  } else if (grantedGeneration_ == generation_ && state_ == GrantState::Granted) {
    releasedVersion_ = desiredVersion_;
  }
}

bool
GrantManager::IsCommandDue(Instant aNow) const
{
  if (state_ == GrantState::Waiting) {
    return false;
  }
  return isChanged_ || aNow - lastSentAt_ >= timing_.renewInterval_;
}

GrantCommand
GrantManager::BuildCommand(Instant aNow)
{
  GrantCommand command;
  command.service_ = service_;
  command.server_ = server_;
  command.fence_ = fence_;
  command.generation_ = generation_;
  command.bootId_ = bootId_;
  // With a clock reading older than a term, the grant would have expired already.
  const bool hasClockReading = bootId_ != 0 && aNow - clockRequestedAt_ < timing_.term_;
  if (hasClockReading && state_ != GrantState::Withheld) {
    command.validUntil_ = serverClock_ + timing_.term_.count();
    command.ranges_ = desiredRanges_;
    hasSentGrants_ = true;
    expiryBound_ = std::max(expiryBound_, clockReceivedAt_ + timing_.term_ + timing_.margin_);
  }
  return command;
}

void
GrantManager::Withhold()
{
  // NOTE: No grant of this fence is valid any more, and none is given even if the server
  // returns, because the placer may be moving its slices.
  state_ = GrantState::Withheld;
  hasSentGrants_ = false;
  granted_.clear();
  grantedValidUntil_ = 0;
  ++generation_;
  isChanged_ = true;
}

std::vector<GrantCommand>
GrantManager::Tick(Instant aNow)
{
  const bool isActive = state_ == GrantState::Granted || state_ == GrantState::Contacting;
  if (isActive && hasSentGrants_ && aNow >= expiryBound_) {
    Withhold();
  }
  if (state_ == GrantState::Contacting && !hasSentGrants_) {
    contactingSince_ = contactingSince_ == Instant{ 0 } ? aNow : contactingSince_;
    if (aNow - contactingSince_ > timing_.term_ + timing_.margin_) {
      Withhold();
    }
  }
  if (!IsCommandDue(aNow)) {
    return {};
  }
  isChanged_ = false;
  lastSentAt_ = aNow;
  return { BuildCommand(aNow) };
}

void
GrantManager::OnReply(Instant aNow,
                      Instant aSentAt,
                      const GrantCommand& aCommand,
                      const GrantReply& aReply)
{
  if (aCommand.fence_ != fence_) {
    return;
  }
  lastAnswerAt_ = aNow;
  if (aReply.bootId_ != bootId_) {
    // The server has restarted: its grants are lost, and so is every earlier reading of its
    // clock.
    bootId_ = aReply.bootId_;
    serverClock_ = 0;
    granted_.clear();
    grantedValidUntil_ = 0;
    isChanged_ = true;
  }
  if (aReply.clock_ > serverClock_) {
    const bool isFirst = serverClock_ == 0;
    serverClock_ = aReply.clock_;
    clockRequestedAt_ = aSentAt;
    clockReceivedAt_ = aNow;
    isChanged_ = isChanged_ || isFirst;
  }
  if (!aReply.accepted_) {
    refused_ = refused_ || aReply.fence_ > fence_;
    return;
  }
  isConfirmed_ = true;
  foreignRunning_ = aReply.foreignRunning_;
  if (aCommand.generation_ != generation_) {
    return;
  }
  if (aReply.releasedRunning_ == 0) {
    releasedVersion_ = desiredVersion_;
    grantedGeneration_ = generation_;
  }
  const bool isGrant = aCommand.validUntil_ != 0 && aCommand.bootId_ == bootId_;
  if (isGrant && state_ != GrantState::Withheld) {
    state_ = GrantState::Granted;
    granted_ = desiredRanges_;
    grantedValidUntil_ = std::max(grantedValidUntil_, aCommand.validUntil_);
    // The server read its clock after the command was sent, so on the clock of this process the
    // grant ends no earlier than this.
    usableUntil_ = std::max(usableUntil_, aSentAt + Duration(aCommand.validUntil_ - aReply.clock_));
  }
}

void
GrantManager::Resume()
{
  if (state_ == GrantState::Withheld) {
    state_ = GrantState::Contacting;
    contactingSince_ = Instant{ 0 };
    ++generation_;
    isChanged_ = true;
  }
}

bool
GrantManager::IsUsable(Instant aNow) const
{
  return state_ == GrantState::Granted && aNow < usableUntil_;
}

bool
GrantManager::MayDispatch(Instant aNow, KeyHash aHash) const
{
  // The range must be granted by the server and still be desired: a range that is being
  // released gets no new work.
  return IsUsable(aNow) && CoversHash(granted_, aHash) && CoversHash(desiredRanges_, aHash);
}

bool
GrantManager::IsReachable(Instant aNow) const
{
  return lastAnswerAt_ != Instant{ 0 } && aNow - lastAnswerAt_ <= timing_.term_;
}

} // namespace latchslip
