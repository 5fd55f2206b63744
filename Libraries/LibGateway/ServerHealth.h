#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <cstdint>

namespace latchslip {

// Identifies one attempt: one send of a request to a server.
using AttemptNumber = std::uint64_t;

// How an attempt ended, as far as the server's health is concerned.
enum class SendResult
{
  // The server answered without a server error.
  Answered,
  // The server answered with a server error.
  Failed,
  // The server did not run the request because it is full.
  Shed,
  // The server did not run the request for another reason.
  Declined,
  // No connection could be opened, or another incarnation answered at the server's address.
  NotReached,
  // The connection broke, or no answer arrived in time.
  Broken,
  // The attempt was cancelled or never sent; nothing is learned from it.
  Cancelled,
};

inline constexpr NameTable<SendResult, 7> kSendResultNames{
  { "answered", "failed", "shed", "declined", "not-reached", "broken", "cancelled" }
};

// Health of a server by the results of attempts: its failure rate, and a circuit breaker that
// suspends sends after the server shed a request, broke a connection or was unreachable.
class ServerHealth
{
public:
  void OnEnded(Instant aNow, SendResult aResult);
  // Suspends sends to the server for aTime.
  void Suspend(Instant aNow, Duration aTime);

  bool IsSuspended(Instant aNow) const { return aNow < suspendedUntil_; }
  // Remaining suspension; zero if there is none.
  Duration RemainingDelay(Instant aNow) const
  {
    return IsSuspended(aNow) ? Duration(suspendedUntil_ - aNow) : Duration(0);
  }
  // Whether an attempt sent at aSentAt has been without an answer for so long that the server may
  // be unresponsive. aUsual is the usual latency.
  bool IsOverdue(Instant aNow, Instant aSentAt, Duration aUsual) const;
  // Moving average of the fraction of attempts that failed, 0 to 1.
  double FailureShare() const { return failureShare_; }

private:
  double failureShare_ = 0;
  unsigned connectFailures_ = 0;
  Instant suspendedUntil_ = Instant::min();
  Instant answeredAt_ = Instant::min();
};

} // namespace latchslip
