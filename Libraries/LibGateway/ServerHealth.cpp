#include "LibGateway/ServerHealth.h"

#include <algorithm>

namespace latchslip {

namespace {

// Weight of a new end in the share of failures.
constexpr double kFailureWeight = 0.1;
// A server that shed is left alone this long: about one service time of one of
// its slots.
constexpr Duration kShedPause = milliseconds(20);
// An unreached server is tried again after this time, doubled with each failure.
constexpr Duration kUnreachedPause = milliseconds(200);
constexpr unsigned kMostDoublings = 3;
// A send without an answer for this multiple of the usual latency, and at least
// the time below, means that the server may have fallen silent.
constexpr double kOverdueMeans = 6.0;
constexpr Duration kLeastOverdue = milliseconds(300);

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
    Suspend(aNow, kUnreachedPause * (1U << std::min(unreached_, kMostDoublings)));
    ++unreached_;
    return;
  }
  unreached_ = 0;
  if (aResult == SendResult::Shed || aResult == SendResult::Broken) {
    Suspend(aNow, kShedPause);
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
         aNow - aSentAt > std::max(kLeastOverdue, Scale(aUsual, kOverdueMeans));
}

} // namespace latchslip
