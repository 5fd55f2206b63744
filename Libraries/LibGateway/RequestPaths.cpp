// Paths of attempts to their servers in GatewayRouter.

#include "LibGateway/GatewayRouter.h"

namespace latchslip {

namespace {

// What the end of an attempt says about its path.
PathResult
PathResultOf(const AttemptOutcome& aOutcome)
{
  if (aOutcome.path_ != PathResult::Unknown) {
    return aOutcome.path_;
  }
  switch (aOutcome.end_) {
    case AttemptEnd::NotSent:
      return PathResult::Unreachable;
    case AttemptEnd::Broken:
      return aOutcome.isConnectionLost_ ? PathResult::NoAnswer : PathResult::Unknown;
    default:
      return PathResult::Reached;
  }
}

// The result of an attempt that reached its server, or found that it cannot be reached.
SendResult
ResultAtServer(const AttemptOutcome& aOutcome)
{
  switch (aOutcome.end_) {
    case AttemptEnd::Answered:
      return aOutcome.IsServerError() ? SendResult::Failed : SendResult::Answered;
    case AttemptEnd::NotRun:
      return SendResult::Shed;
    case AttemptEnd::WrongServer:
      return aOutcome.isOtherIncarnation_ ? SendResult::NotReached : SendResult::Declined;
    case AttemptEnd::NotSent:
      return SendResult::NotReached;
    case AttemptEnd::Broken:
      return SendResult::Broken;
  }
  return SendResult::Broken;
}

} // namespace

bool
GatewayRouter::TryAnotherPath(Instant aNow,
                              PendingRequest& aPending,
                              const AttemptOutcome& aOutcome)
{
  const auto timeLeft = SendTimeLimit(aNow, aPending);
  const bool isUnsent = aOutcome.end_ == AttemptEnd::NotSent;
  const auto server = isUnsent && timeLeft && !aPending.isClientGone_
                        ? PermittedServer(aNow, aPending, aPending.server_)
                        : std::nullopt;
  if (!aPending.path_.TryNext(
        aNow, *paths_, aPending.server_, PathResultOf(aOutcome), server.has_value())) {
    return false;
  }
  aPending.sentAt_ = aNow;
  SendOnPath(aPending, *server->record_, *timeLeft);
  return true;
}

SendResult
GatewayRouter::ToSendResult(const PendingRequest& aPending, const AttemptOutcome& aOutcome) const
{
  const auto path = PathResultOf(aOutcome);
  const bool isPathToBlame = path == PathResult::Unreachable ||
                             path == PathResult::UnreachableInDoubt || path == PathResult::NotTried;
  if (paths_->HasPeers() && isPathToBlame && !aPending.path_.IsServerUnreachable()) {
    return SendResult::Cancelled;
  }
  return ResultAtServer(aOutcome);
}

RefusalReason
GatewayRouter::ReasonNotRun(Instant aNow) const
{
  return paths_->HasPath(aNow) ? RefusalReason::NoCapacity : RefusalReason::NoPath;
}

void
GatewayRouter::SendOnPath(PendingRequest& aPending, const ServerRecord& aServer, Duration aTimeLeft)
{
  actions_.Send({ aPending.attempt_,
                  aPending.request_.number_,
                  aServer.id_,
                  aServer.address_,
                  aTimeLeft,
                  aPending.group_ == nullptr ? std::string() : aPending.group_->name_,
                  aPending.routes_->HasGroups(),
                  aPending.path_.Relay() });
}

} // namespace latchslip
