// Retry-After under load management in GatewayRouter.

#include "LibGateway/GatewayRouter.h"

#include <algorithm>

namespace latchslip {

namespace {

// Time over which the returns for a key without an owner are spread: no dispatcher reserves
// capacity for them.
constexpr Duration kOwnerReturnSpread = seconds(1);

Duration
RoundUpToMilliseconds(Duration aTime)
{
  return std::chrono::ceil<milliseconds>(aTime);
}

} // namespace

std::optional<Duration>
GatewayRouter::ManagedRetryAfter(const PendingRequest& aPending, Duration aWait, Duration aHonoured)
{
  if (!aPending.routes_->UsesLoadManagement()) {
    return std::nullopt;
  }
  if (aPending.isReturnPromised_) {
    return aWait;
  }
  if (aPending.blockReason_ == RefusalReason::NoOwner) {
    // A client that honours the wait must honour the spread, too.
    const auto spread =
      aWait < aHonoured ? std::min(kOwnerReturnSpread, aHonoured - aWait) : kOwnerReturnSpread;
    std::uniform_real_distribution<double> draw(0, 1);
    return aWait + Scale(spread, draw(random_));
  }
  return aWait > aHonoured ? std::optional(RoundUpToMilliseconds(aWait)) : std::nullopt;
}

} // namespace latchslip
