#pragma once

#include "LibBase/NameTable.h"
#include "LibBase/Time.h"

#include <cstdint>

namespace latchslip {

// Names one send of one request to one server.
using AttemptNumber = std::uint64_t;

// How a send to a server ended, as far as the server's state is concerned.
enum class SendResult
{
  // The server answered; it may have failed the request.
  Answered,
  // The server answered that the request failed.
  Failed,
  // The server did not run the request because it is full.
  Shed,
  // The server did not run the request for another reason.
  Declined,
  // No connection could be opened.
  NotReached,
  // The connection broke, or no answer came in time.
  Broken,
  // It was given up, or never sent; nothing is learnt from it.
  Cancelled,
};

inline constexpr NameTable<SendResult, 7> kSendResultNames{
  { "answered", "failed", "shed", "declined", "not-reached", "broken", "cancelled" }
};

// Whether a server can be sent to, by the ends of what was sent there: how often it fails,
// and for how long it is left alone after it shed, broke off or could not be reached.
class ServerHealth
{
public:
  void OnEnded(Instant aNow, SendResult aResult);
  // Nothing is sent for a while.
  void Suspend(Instant aNow, Duration aTime);

  bool IsSuspended(Instant aNow) const { return aNow < suspendedUntil_; }
  Duration PauseLeft(Instant aNow) const
  {
    return IsSuspended(aNow) ? Duration(suspendedUntil_ - aNow) : Duration(0);
  }
  // Whether a send at that moment is without an answer for so long that the server may have
  // fallen silent. aUsual is how long answers take.
  bool IsOverdue(Instant aNow, Instant aSentAt, Duration aUsual) const;
  // Recent share of sends that failed, 0 to 1.
  double FailureShare() const { return failureShare_; }

private:
  double failureShare_ = 0;
  unsigned unreached_ = 0;
  Instant suspendedUntil_ = Instant::min();
  Instant answeredAt_ = Instant::min();
};

} // namespace latchslip
