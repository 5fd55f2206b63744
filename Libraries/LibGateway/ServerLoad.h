#pragma once

#include "LibBase/Time.h"
#include "LibGateway/RateLimit.h"
#include "LibGateway/ServerHealth.h"
#include "LibGateway/ServerWork.h"
#include "LibGateway/SlowStartShare.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace latchslip {

// What one instance has seen of one server: its latency, its failures, and how
// much the instance may have under way there. Instances do not see each other's
// load, so that the limit is learnt from late answers and from shed requests.
class ServerLoad
{
public:
  // aLimit is how many requests may be under way at first, aMostLimit at most.
  ServerLoad(std::size_t aLimit, std::size_t aMostLimit);

  // An answer that takes longer than aTarget is late for its caller.
  void OnSent(Instant aNow, AttemptNumber aAttempt, Duration aTarget);
  void OnEnded(Instant aNow, AttemptNumber aAttempt, SendResult aResult);
  // No answer came in all the time that the request had.
  void OnTimeOut(Instant aNow, AttemptNumber aAttempt);
  // The attempt was given up; nothing is learnt from it.
  void OnCancelled(AttemptNumber aAttempt);
  // Nothing is sent for a while: the server's address belongs to another one.
  void Suspend(Instant aNow, Duration aTime);
  // The server wants nothing from this instance for that long. Whether that is new, and not
  // one more answer from within a rest.
  bool BeginRest(Instant aNow, Duration aRest);
  // How much longer that is so; zero when it is not.
  Duration RestLeft(Instant aNow) const;
  void SetMostLimit(std::size_t aMostLimit);
  // The server's present life, 0 when it is not told: what was learnt of an earlier one is
  // forgotten.
  void SetIncarnation(std::uint64_t aIncarnation);

  SlowStartShare& SlowStart() { return slowStart_; }
  // The limit of requests a second that the server names.
  RateLimit& NamedLimit() { return rateLimit_; }

  // How long until one more request may be sent after aAhead others: until the end of a rest,
  // or by the rate that the server takes. Zero when neither is in the way.
  Duration PauseLeft(Instant aNow, std::size_t aAhead) const;
  // Whether one more request may be sent now.
  bool HasRoom(Instant aNow) const;
  // The latency to count with, longer while answers are overdue; aDefault when
  // none was seen yet.
  Duration ExpectedLatency(Instant aNow, Duration aDefault) const;
  // Whether less than half of what may be under way is, so that requests which can be
  // answered in time do not have to wait for others. Half is the coarsest share that a
  // limit of two can tell.
  bool HasSpareRoom() const { return 2 * static_cast<double>(underWay_.size()) < limit_; }
  // How long the next request is expected to wait for its turn when aAhead others wait
  // for theirs, given aLatency for each answer.
  Duration ExpectedTurn(Instant aNow, std::size_t aAhead, Duration aLatency) const;
  // Mean latency of answers; zero when none was seen yet.
  Duration MeanLatency() const { return mean_; }
  // What the server did since the last call.
  ServerWork TakeWork();
  // Recent share of sends that failed, 0 to 1.
  double FailureShare() const { return health_.FailureShare(); }
  std::size_t UnderWay() const { return underWay_.size(); }
  std::size_t Limit() const { return static_cast<std::size_t>(limit_); }

private:
  void LearnLatency(Duration aLatency);
  // Learns from whether an answer came in time.
  void LearnLimit(Instant aNow, bool aIsLate, bool aWasFull);
  void Shrink(Instant aNow, double aFactor);
  bool IsOverdue(Instant aNow) const;

  struct Attempt
  {
    Instant sentAt_{ 0 };
    // Latencies beyond this are late.
    Duration target_{ 0 };
  };

  std::map<AttemptNumber, Attempt> underWay_;
  Duration mean_{ 0 };
  ServerWork work_;
  ServerHealth health_;
  // When an answer was late last.
  Instant lateAt_ = Instant::min();
  double firstLimit_;
  double limit_;
  double mostLimit_;
  Instant restUntil_ = Instant::min();
  std::uint64_t incarnation_ = 0;
  SlowStartShare slowStart_;
  RateLimit rateLimit_;
  Instant shrunkAt_ = Instant::min();
};

} // namespace latchslip
