#pragma once

#include "LibBase/Time.h"
#include "LibGateway/RateLimit.h"
#include "LibGateway/ServerHealth.h"
#include "LibGateway/ServerWork.h"
#include "LibGateway/SlowStartLimiter.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace latchslip {

// One instance's view of the load of one server: its latency, its failures and an adaptive limit
// on the requests in flight there. Instances do not see each other's load, so the limit is
// learned from late answers and shed requests.
class ServerLoad
{
public:
  // aLimit is the initial limit on requests in flight, aMaxLimit its maximum.
  ServerLoad(std::size_t aLimit, std::size_t aMaxLimit);

  // An answer that takes longer than aTarget is late for its caller.
  void OnSent(Instant aNow, AttemptNumber aAttempt, Duration aTarget);
  void OnEnded(Instant aNow, AttemptNumber aAttempt, SendResult aResult);
  // No answer arrived within the time limit of the request.
  void OnTimeOut(Instant aNow, AttemptNumber aAttempt);
  // The attempt was cancelled; nothing is learned from it.
  void OnCancelled(AttemptNumber aAttempt);
  // Suspends sends for aTime because the server's address belongs to another server.
  void Suspend(Instant aNow, Duration aTime);
  // The server requested a backoff of aBackoff from this instance. Returns whether this starts a
  // backoff, rather than extending one that is in effect.
  bool StartBackoff(Instant aNow, Duration aBackoff);
  // Remaining backoff; zero if there is none.
  Duration RemainingBackoff(Instant aNow) const;
  void SetMaxLimit(std::size_t aMaxLimit);
  // Sets the server's current incarnation, 0 if not reported, and drops what was learned of an
  // earlier one.
  void SetIncarnation(std::uint64_t aIncarnation);

  SlowStartLimiter& SlowStart() { return slowStart_; }
  // The rate limit that the server advertises.
  RateLimit& AdvertisedLimit() { return rateLimit_; }

  // Time until one more request may be sent after aAhead others, by the backoff, the slow start
  // and the advertised rate limit. Zero if none of them delays it.
  Duration RemainingDelay(Instant aNow, std::size_t aAhead) const;
  // Whether one more request may be sent now.
  bool HasCapacity(Instant aNow) const;
  // Expected latency, longer while answers are overdue; aDefault before the first answer.
  Duration ExpectedLatency(Instant aNow, Duration aDefault) const;
  // Whether less than half of the limit is in flight, so that requests that can be answered in
  // time need not queue behind late ones. Half is the coarsest fraction that a limit of two can
  // represent.
  bool HasSpareCapacity() const { return 2 * static_cast<double>(inFlight_.size()) < limit_; }
  // Expected time until the next request can be sent when aAhead others wait before it, given
  // aLatency for each answer.
  Duration ExpectedQueueTime(Instant aNow, std::size_t aAhead, Duration aLatency) const;
  // Mean latency of answers; zero before the first answer.
  Duration MeanLatency() const { return meanLatency_; }
  // Returns and resets the work that the server did.
  ServerWork TakeWork();
  // Moving average of the fraction of attempts that failed, 0 to 1.
  double FailureShare() const { return health_.FailureShare(); }
  std::size_t InFlight() const { return inFlight_.size(); }
  std::size_t Limit() const { return static_cast<std::size_t>(limit_); }

private:
  void UpdateMeanLatency(Duration aLatency);
  // Adapts the limit to whether an answer was in time.
  void AdaptLimit(Instant aNow, bool aIsLate, bool aWasFull);
  void Shrink(Instant aNow, double aFactor);
  bool IsOverdue(Instant aNow) const;

  struct Attempt
  {
    Instant sentAt_{ 0 };
    // Latencies above this are late.
    Duration target_{ 0 };
  };

  std::map<AttemptNumber, Attempt> inFlight_;
  Duration meanLatency_{ 0 };
  ServerWork work_;
  ServerHealth health_;
  // Time of the last late answer.
  Instant lastLateAt_ = Instant::min();
  double initialLimit_;
  double limit_;
  double maxLimit_;
  Instant backoffUntil_ = Instant::min();
  std::uint64_t incarnation_ = 0;
  SlowStartLimiter slowStart_;
  RateLimit rateLimit_;
  Instant shrunkAt_ = Instant::min();
};

} // namespace latchslip
