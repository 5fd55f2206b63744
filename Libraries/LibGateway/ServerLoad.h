#pragma once

#include "LibBase/Time.h"

#include <cstddef>
#include <cstdint>
#include <map>

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
};

// What one instance has seen of one server: its latency, its failures, and how
// much the instance may have under way there. Instances do not see each other's
// load, so that the limit is learnt from latency and from shed requests.
class ServerLoad
{
public:
  // aLimit is how many requests may be under way at first, aMostLimit at most.
  ServerLoad(std::size_t aLimit, std::size_t aMostLimit);

  void OnSent(Instant aNow, AttemptNumber aAttempt);
  void OnEnded(Instant aNow, AttemptNumber aAttempt, SendResult aResult);
  // The attempt was given up; nothing is learnt from it.
  void OnCancelled(AttemptNumber aAttempt);
  // Nothing is sent for a while: the server's address belongs to another one.
  void Suspend(Instant aNow, Duration aTime);
  void SetMostLimit(std::size_t aMostLimit);

  // Whether one more request may be sent now.
  bool HasRoom(Instant aNow) const;
  // The latency to count with, longer while answers are overdue; aDefault when
  // none was seen yet.
  Duration ExpectedLatency(Instant aNow, Duration aDefault) const;
  // Mean latency of answers; zero when none was seen yet.
  Duration MeanLatency() const { return mean_; }
  // Between the mean latency and that of an idle server: what the server can do,
  // told from its answers; zero when none was seen yet. The mean alone makes a
  // busy server look weak, the other notices late that one has become slow.
  Duration StrengthLatency() const;
  // Recent share of sends that failed, 0 to 1.
  double FailureShare() const { return failureShare_; }
  std::size_t UnderWay() const { return underWay_.size(); }
  std::size_t Limit() const { return static_cast<std::size_t>(limit_); }

private:
  void LearnLatency(Duration aLatency);
  void Grow(bool aWasFull);
  void Shrink(Instant aNow, double aFactor);
  bool IsOverdue(Instant aNow) const;

  // When each send that is under way began.
  std::map<AttemptNumber, Instant> underWay_;
  Duration mean_{ 0 };
  // A low quantile of latency: what the server takes when it is not busy.
  Duration unloaded_{ 0 };
  double failureShare_ = 0;
  double limit_;
  double mostLimit_;
  unsigned unreached_ = 0;
  Instant suspendedUntil_ = Instant::min();
  Instant shrunkAt_ = Instant::min();
  Instant answeredAt_ = Instant::min();
};

} // namespace latchslip
