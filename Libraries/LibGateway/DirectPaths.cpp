#include "LibGateway/DirectPaths.h"

#include <algorithm>
#include <utility>

namespace latchslip {

namespace {

// Suspension after a failure, doubled with each further one.
constexpr Duration kSuspension = milliseconds(200);
constexpr unsigned kMaxDoublings = 3;
// Interval between probes while this instance is cut off.
constexpr Duration kProbeInterval = milliseconds(400);
// Servers that nobody else could tell anything about count only if no server has answered for this
// long: while others still answer, the links are sound. Shorter than the time after which a silent
// connection to a server is given up, so that silent links are not found later.
constexpr Duration kAnswerGap = milliseconds(500);

} // namespace

void
DirectPaths::OnReached(Instant aNow, const std::string& aServer)
{
  lastAnswer_ = aNow;
  isCutOff_ = false;
  unreached_.clear();
  failures_.erase(aServer);
}

void
DirectPaths::OnUnreachable(Instant aNow, const std::string& aServer)
{
  if (Suspend(aNow, aServer)) {
    AddEvidence(aNow, aServer, Evidence::Unsaid);
  }
}

void
DirectPaths::OnUnreachableAndAsked(Instant aNow, const std::string& aServer)
{
  if (Suspend(aNow, aServer)) {
    AddEvidence(aNow, aServer, Evidence::Asked);
  }
}

bool
DirectPaths::Suspend(Instant aNow, const std::string& aServer)
{
  auto& failure = failures_[aServer];
  // Requests go on directly while the server is known to be gone; they don't extend its suspension.
  if (aNow < failure.goneUntil_) {
    return false;
  }
  failure.suspendedUntil_ = aNow + kSuspension * (1U << std::min(failure.count_, kMaxDoublings));
  ++failure.count_;
  return !failure.isGone_;
}

void
DirectPaths::OnNoAnswer(Instant aNow, const std::string& aServer)
{
  const auto failure = failures_.find(aServer);
  if (failure == failures_.end() || !failure->second.isGone_) {
    AddEvidence(aNow, aServer, Evidence::NoAnswer);
  }
}

void
DirectPaths::OnRelayReached(Instant aNow, const std::string& aServer)
{
  const auto failure = failures_.find(aServer);
  bool wasGone = false;
  if (failure != failures_.end()) {
    wasGone = std::exchange(failure->second.isGone_, false);
    failure->second.goneUntil_ = Instant::min();
  }
  // A server that could not be reached before others answered says nothing about their links.
  if (wasGone || unreached_.contains(aServer)) {
    AddEvidence(aNow, aServer, Evidence::ReachedByRelay);
  }
}

void
DirectPaths::OnGone(const std::string& aServer)
{
  const auto failure = failures_.find(aServer);
  if (failure == failures_.end()) {
    return;
  }
  failure->second.isGone_ = true;
  failure->second.goneUntil_ = failure->second.suspendedUntil_;
  unreached_.erase(aServer);
  isCutOff_ = isCutOff_ && unreached_.size() >= kServersToConclude;
}

void
DirectPaths::OnNoneCouldSay(Instant aNow, const std::string& aServer)
{
  if (unreached_.contains(aServer)) {
    AddEvidence(aNow, aServer, Evidence::Unsaid);
  }
}

void
DirectPaths::AddEvidence(Instant aNow, const std::string& aServer, Evidence aEvidence)
{
  auto& evidence = unreached_.try_emplace(aServer, aEvidence).first->second;
  evidence = std::max(evidence, aEvidence);
  const bool isProven = CountOf(Evidence::ReachedByRelay) > 0 || IsUnsaidEnough(aNow);
  isCutOff_ = isCutOff_ || (unreached_.size() >= kServersToConclude && isProven);
}

std::size_t
DirectPaths::CountOf(Evidence aEvidence) const
{
  const auto count = std::count_if(unreached_.begin(), unreached_.end(), [&](const auto& aEntry) {
    return aEntry.second == aEvidence;
  });
  return static_cast<std::size_t>(count);
}

bool
DirectPaths::IsUnsaidEnough(Instant aNow) const
{
  const auto unanswered = hasRelays_ ? 0 : CountOf(Evidence::NoAnswer);
  return CountOf(Evidence::Unsaid) + unanswered >= kServersToConclude &&
         aNow >= lastAnswer_ + kAnswerGap;
}

void
DirectPaths::OnProbeSucceeded()
{
  isCutOff_ = false;
  unreached_.clear();
  failures_.clear();
}

void
DirectPaths::KeepServers(const std::function<bool(const std::string&)>& aIsListed)
{
  const auto isUnlisted = [&](const auto& aEntry) { return !aIsListed(aEntry.first); };
  std::erase_if(failures_, isUnlisted);
  std::erase_if(unreached_, isUnlisted);
  isCutOff_ = isCutOff_ && unreached_.size() >= kServersToConclude;
}

bool
DirectPaths::IsUsable(Instant aNow, const std::string& aServer) const
{
  if (IsCutOff()) {
    return false;
  }
  const auto failure = failures_.find(aServer);
  return failure == failures_.end() || aNow >= failure->second.suspendedUntil_;
}

bool
DirectPaths::IsGone(Instant aNow, const std::string& aServer) const
{
  const auto failure = failures_.find(aServer);
  return failure != failures_.end() && aNow < failure->second.goneUntil_;
}

bool
DirectPaths::IsInDoubt(const std::string& aServer) const
{
  return unreached_.size() > (unreached_.contains(aServer) ? 1U : 0U);
}

std::optional<std::string>
DirectPaths::TakeProbe(Instant aNow)
{
  if (!IsCutOff() || aNow < nextProbe_) {
    return std::nullopt;
  }
  nextProbe_ = aNow + kProbeInterval;
  const auto next = unreached_.upper_bound(probed_);
  probed_ = next == unreached_.end() ? unreached_.begin()->first : next->first;
  return probed_;
}

} // namespace latchslip
