#include "LibGateway/DirectPaths.h"

#include <algorithm>

namespace latchslip {

namespace {

// Suspension after a failure, doubled with each further one.
constexpr Duration kSuspension = milliseconds(200);
constexpr unsigned kMaxDoublings = 3;
// Interval between probes while this instance is cut off.
constexpr Duration kProbeInterval = milliseconds(400);

} // namespace

void
DirectPaths::OnReached(const std::string& aServer)
{
  unreached_.clear();
  failures_.erase(aServer);
}

void
DirectPaths::OnUnreachable(Instant aNow, const std::string& aServer)
{
  auto& failure = failures_[aServer];
  failure.suspendedUntil_ = aNow + kSuspension * (1U << std::min(failure.count_, kMaxDoublings));
  ++failure.count_;
  unreached_.insert(aServer);
}

void
DirectPaths::OnProbeSucceeded()
{
  unreached_.clear();
  failures_.clear();
}

void
DirectPaths::KeepServers(const std::function<bool(const std::string&)>& aIsListed)
{
  std::erase_if(failures_, [&](const auto& aEntry) { return !aIsListed(aEntry.first); });
  std::erase_if(unreached_, [&](const auto& aServer) { return !aIsListed(aServer); });
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
  probed_ = next == unreached_.end() ? *unreached_.begin() : *next;
  return probed_;
}

} // namespace latchslip
