#include "LibGateway/ServerHealth.h"

#include <algorithm>

namespace latchslip {

namespace {

// Weight of a new result in the moving average of failures.
constexpr double kFailureWeight = 0.1;
// Suspension after a shed request: about one service time of one of the server's slots.
constexpr Duration kShedSuspension = milliseconds(20);
// Suspension after a failed connection, doubled with each further failure (exponential backoff).
constexpr Duration kUnreachableSuspension = milliseconds(200);
constexpr unsigned kMaxDoublings = 3;
// An attempt is overdue, which means that the server may be unresponsive, after this multiple of
// the usual latency, and at least after the time below.
constexpr double kOverdueLatencyFactor = 6.0;
constexpr Duration kMinOverdueTime = milliseconds(300);

} // namespace

void
ServerHealth::OnEnded(Instant aNow, SendResult aResult)
{
  if (aResult == SendResult::Cancelled) {
    return;
  }
  const bool isFailure = aResult != SendResult::Answered && aResult != SendResult::Declined;
  failureShare_ += kFailureWeight * ((isFailure ? 1.0 : 0.0) - failureShare_);
  if (aResult == SendResult::NotReached) {
    Suspend(aNow, kUnreachableSuspension * (1U << std::min(connectFailures_, kMaxDoublings)));
    ++connectFailures_;
    return;
  }
  connectFailures_ = 0;
  if (aResult == SendResult::Shed || aResult == SendResult::Broken) {
    Suspend(aNow, kShedSuspension);
  }
  if (aResult != SendResult::Broken) {
    answeredAt_ = aNow;
  }
}

void
ServerHealth::Suspend(Instant aNow, Duration aTime)
{
  suspendedUntil_ = std::max(suspendedUntil_, aNow + aTime);
}

bool
ServerHealth::IsOverdue(Instant aNow, Instant aSentAt, Duration aUsual) const
{
  return answeredAt_ < aSentAt &&
         aNow - aSentAt > std::max(kMinOverdueTime, Scale(aUsual, kOverdueLatencyFactor));
}

} // namespace latchslip
