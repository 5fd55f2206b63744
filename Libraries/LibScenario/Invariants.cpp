#include "LibScenario/Invariants.h"

#include <algorithm>

namespace latchslip {

namespace {

constexpr std::size_t kMaxViolations = 20;
// A server that is leaving may receive new work for this long.
constexpr Duration kLeavingBound = seconds(3);

} // namespace

void
Invariants::AddViolation(Instant aNow, const std::string& aWhat)
{
  if (violations_.size() < kMaxViolations) {
    std::string sentence = "at ";
    sentence.append(std::to_string(aNow.count())).append(" us: ").append(aWhat);
    violations_.push_back(std::move(sentence));
  }
}

void
Invariants::OnGranted(Instant aNow,
                      const std::string& aService,
                      const std::string& aServer,
                      Instant aUntil,
                      const std::vector<HashRange>& aRanges)
{
  auto& grants = grants_[aService];
  grants[aServer] = { aUntil, aRanges };
  if (aUntil <= aNow) {
    return;
  }
  for (const auto& [server, grant] : grants) {
    if (server != aServer && grant.until_ > aNow && RangesOverlap(grant.ranges_, aRanges)) {
      std::string what = "one-owner: ";
      what.append(server).append(" and ").append(aServer).append(" own the same keys");
      AddViolation(aNow, what);
    }
  }
}

void
Invariants::OnServerLost(const std::string& aService, const std::string& aServer)
{
  grants_[aService].erase(aServer);
  std::erase_if(running_[aService],
                [&](const auto& aEntry) { return aEntry.second.server_ == aServer; });
}

void
Invariants::OnWorkStarted(Instant aNow,
                          const std::string& aService,
                          const std::string& aServer,
                          bool aChecksGrants,
                          KeyHash aHash,
                          std::uint64_t aWork)
{
  auto& running = running_[aService];
  for (const auto& [id, other] : running) {
    if (!aChecksGrants && other.hash_ == aHash && other.server_ != aServer) {
      AddViolation(aNow,
                   "one-owner: " + other.server_ + " and " + aServer + " run work for one key");
    }
  }
  running[{ aServer, aWork }] = { aServer, aHash };
  const auto leaving = leavingSince_.find(aServer);
  if (leaving != leavingSince_.end() && aNow - leaving->second > kLeavingBound) {
    AddViolation(aNow, "leaving: " + aServer + " got new work after the bound");
  }
}

void
Invariants::OnWorkEnded(const std::string& aService,
                        const std::string& aServer,
                        std::uint64_t aWork)
{
  running_[aService].erase({ aServer, aWork });
}

void
Invariants::CheckNotRun(Instant aNow, const std::string& aRequestId, const Request& aRequest)
{
  // Callers may send one id several times. The "not run" answers can all be true as long as there
  // are no more executions than sends without such an answer.
  if (aRequest.executed_ > aRequest.sent_ - aRequest.notRun_) {
    AddViolation(aNow, "not-run: " + aRequestId + " ran although it was answered as not run");
  }
}

void
Invariants::OnExecuted(Instant aNow, const std::string& aRequestId)
{
  auto& request = requests_[aRequestId];
  ++request.executed_;
  if (!request.isRepeatable_) {
    if (request.executed_ > 1) {
      AddViolation(aNow, "at-most-once: " + aRequestId + " ran again");
    }
    CheckNotRun(aNow, aRequestId, request);
  } else if (request.notRun_ == request.sent_) {
    CheckNotRun(aNow, aRequestId, request);
  }
}

void
Invariants::OnSent(const std::string& aRequestId, bool aIsRepeatable)
{
  auto& request = requests_[aRequestId];
  request.isRepeatable_ = aIsRepeatable;
  ++request.sent_;
}

void
Invariants::OnAnswered(Instant aNow,
                       const std::string& aRequestId,
                       const WorkAnswer& aAnswer,
                       const std::string& aExpectedBody)
{
  auto& request = requests_[aRequestId];
  ++request.answered_;
  if (request.answered_ > request.sent_) {
    AddViolation(aNow, "one-answer: " + aRequestId + " was answered more often than it was sent");
  }
  switch (aAnswer.outcome_) {
    case RequestOutcome::Answered:
      if (!aAnswer.body_ || *aAnswer.body_ != aExpectedBody) {
        AddViolation(aNow, "own-answer: " + aRequestId + " got a wrong or partial answer");
      }
      if (request.executed_ == 0) {
        AddViolation(aNow, "answered: " + aRequestId + " was answered but never ran");
      }
      break;
    case RequestOutcome::NotRun:
      ++request.notRun_;
      if (!request.isRepeatable_ || request.notRun_ == request.sent_) {
        CheckNotRun(aNow, aRequestId, request);
      }
      break;
    case RequestOutcome::Unknown:
      break;
  }
}

void
Invariants::OnConfigurationConfirmed(RowVersion aRevision, const std::string& aToken)
{
  confirmed_[aRevision] = aToken;
}

void
Invariants::OnConfigurationStored(Instant aNow, RowVersion aRevision, const std::string& aToken)
{
  if (!confirmed_.empty() && aRevision < confirmed_.rbegin()->first) {
    AddViolation(aNow, "confirmed: the stored configuration is older than a confirmed one");
  }
  const auto found = confirmed_.find(aRevision);
  if (found != confirmed_.end() && found->second != aToken) {
    AddViolation(aNow, "confirmed: another configuration stands under a confirmed revision");
  }
}

void
Invariants::OnRowStored(const std::string& aRowKey, RowVersion aVersion, const std::string& aToken)
{
  stored_[{ aRowKey, aVersion }] = aToken;
}

void
Invariants::OnView(Instant aNow,
                   const std::string& aInstance,
                   const std::string& aRowKey,
                   RowVersion aVersion,
                   const std::string& aToken)
{
  auto& known = views_[{ aInstance, aRowKey }];
  if (aVersion < known) {
    AddViolation(aNow, "revert: " + aInstance + " went back to an older " + aRowKey);
  }
  if (aVersion == known) {
    return;
  }
  known = aVersion;
  const auto stored = stored_.find({ aRowKey, aVersion });
  if (stored == stored_.end() || stored->second != aToken) {
    AddViolation(aNow,
                 "in-place: " + aInstance + " acts on a " + aRowKey + " that was never stored");
  }
}

void
Invariants::OnSlotsExceeded(Instant aNow, const std::string& aServer)
{
  AddViolation(aNow, "slots: " + aServer + " got more work at once than it has slots");
}

void
Invariants::OnServerLeaving(Instant aNow, const std::string& aServer)
{
  leavingSince_.emplace(aServer, aNow);
}

void
Invariants::OnInstanceStopped(Instant aNow, const std::string& aInstance, std::size_t aInFlight)
{
  if (aInFlight > 0) {
    AddViolation(aNow,
                 "cut: " + aInstance + " stopped with " + std::to_string(aInFlight) +
                   " requests in flight");
  }
}

} // namespace latchslip
