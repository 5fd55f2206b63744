// Admission of requests in GatewayRouter: API keys, groups and their rate limits.

#include "LibGateway/GatewayRouter.h"

namespace latchslip {

namespace {

// Whether callers of the route, which is null if none matched, must present an API key.
bool
NeedsApiKey(const RouteTable& aRoutes, const Route* aRoute)
{
  return aRoutes.HasGroups() && (aRoute == nullptr || !aRoute->isPublic_);
}

} // namespace

bool
GatewayRouter::TryIdentify(Instant aNow, PendingRequest& aPending)
{
  aPending.routes_ = routes_;
  const auto& request = aPending.request_;
  const auto* route = routes_->Match(request.host_, request.path_);
  aPending.group_ = request.apiKey_.empty() ? nullptr : routes_->FindGroup(request.apiKey_);
  const auto rejection = RejectionReasonOf(aNow, route, aPending.group_);
  aPending.route_ = route;
  if (rejection) {
    RejectCaller(aNow, aPending, *rejection);
  }
  return !rejection;
}

bool
GatewayRouter::TryAdmitToGroup(Instant aNow, PendingRequest& aPending)
{
  const auto* group = aPending.group_;
  if (group == nullptr) {
    return true;
  }
  if (!admission_->TryAdmit(aNow, *group, aPending.isLate_)) {
    RejectCaller(aNow, aPending, RefusalReason::OverLimit);
    return false;
  }
  statistics_.OnGroup(group->name_, std::nullopt);
  return true;
}

void
GatewayRouter::RejectCaller(Instant aNow, PendingRequest& aPending, RefusalReason aReason)
{
  if (aPending.group_ != nullptr) {
    statistics_.OnGroup(aPending.group_->name_, aReason);
  }
  Refuse(aNow, aPending, aReason);
}

// The answer to a caller without a known key does not reveal whether the route exists.
std::optional<RefusalReason>
GatewayRouter::RejectionReasonOf(Instant aNow, const Route* aRoute, const CallerGroup* aGroup) const
{
  const bool needsKey = NeedsApiKey(*routes_, aRoute);
  if (needsKey && aNow >= apiKeysUntil_) {
    return RefusalReason::ApiKeysUnproven;
  }
  if (needsKey && aGroup == nullptr) {
    return RefusalReason::UnknownApiKey;
  }
  return aRoute == nullptr ? std::optional(RefusalReason::NoRoute) : std::nullopt;
}

bool
GatewayRouter::IsApiKeyProven(Instant aNow, const PendingRequest& aPending) const
{
  const bool needsKey = NeedsApiKey(*aPending.routes_, aPending.route_);
  return !needsKey || (!aPending.isRevoked_ && aNow < apiKeysUntil_);
}

void
GatewayRouter::RefuseRevoked(Instant aNow)
{
  for (auto& [number, pending] : pending_) {
    const bool needsKey =
      pending.group_ != nullptr && NeedsApiKey(*pending.routes_, pending.route_);
    if (needsKey && routes_->FindGroup(pending.request_.apiKey_) == nullptr) {
      pending.isRevoked_ = true;
    }
  }
  RefuseAllWaiting(aNow, RefusalReason::UnknownApiKey, [](const PendingRequest& aPending) {
    return aPending.isRevoked_;
  });
}

} // namespace latchslip
