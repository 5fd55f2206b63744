#include "LibGateway/ServerLoad.h"

#include <algorithm>
#include <utility>

namespace latchslip {

namespace {

// Weight of a new latency in the moving average: about the last ten answers count.
constexpr double kLatencyWeight = 0.1;
// The limit grows by the first fraction with an answer in time that arrived while the limit was
// reached, and shrinks to the second with a late answer; it settles where about one answer in six
// is late. Requests that wait longer at a server take places in its queue that others could use
// in time. With 14 servers at full load, 12 instances and a target of 400 ms, 10 to 14 answers in
// a hundred were late; a limit based on multiples of an idle server's latency had 42, at the same
// answers per second.
constexpr double kGrowthFactor = 0.05;
constexpr double kLateShrinkFactor = 0.8;
// An overdue request is expected to end within this fraction of the mean time between two ends.
constexpr double kOverdueEndFraction = 0.5;
// If no answer was late for this long, whatever delayed answers is over, and the limit grows by
// one with each full round.
constexpr Duration kCalmTime = milliseconds(1000);
constexpr double kShedShrinkFactor = 0.5;
// The limit shrinks at most once in this time, about one service time, so that one burst of shed
// requests counts once.
constexpr Duration kShrinkInterval = milliseconds(100);

} // namespace

ServerLoad::ServerLoad(std::size_t aLimit, std::size_t aMaxLimit)
  : initialLimit_(static_cast<double>(aLimit))
  , limit_(initialLimit_)
  , maxLimit_(static_cast<double>(std::max(aLimit, aMaxLimit)))
{
}

void
ServerLoad::OnSent(Instant aNow, AttemptNumber aAttempt, Duration aTarget)
{
  inFlight_.emplace(aAttempt, Attempt{ aNow, aTarget });
  slowStart_.OnSent(aNow);
  rateLimit_.OnSent(aNow);
}

void
ServerLoad::SetIncarnation(std::uint64_t aIncarnation)
{
  const bool isOther = incarnation_ != 0 && aIncarnation != 0 && aIncarnation != incarnation_;
  incarnation_ = aIncarnation;
  if (!isOther) {
    return;
  }
  // Attempts in flight end by themselves when their connections break.
  meanLatency_ = Duration(0);
  health_ = {};
  lastLateAt_ = Instant::min();
  backoffUntil_ = Instant::min();
  rateLimit_ = {};
  limit_ = std::min(initialLimit_, maxLimit_);
  shrunkAt_ = Instant::min();
}

void
ServerLoad::OnEnded(Instant aNow, AttemptNumber aAttempt, SendResult aResult)
{
  const auto sent = inFlight_.find(aAttempt);
  if (sent == inFlight_.end()) {
    return;
  }
  const bool wasFull = inFlight_.size() >= Limit();
  const auto latency = aNow - sent->second.sentAt_;
  const bool isLate = latency > sent->second.target_;
  inFlight_.erase(sent);
  health_.OnEnded(aNow, aResult);
  if (aResult == SendResult::Answered) {
    UpdateMeanLatency(latency);
    AdaptLimit(aNow, isLate, wasFull);
  } else if (aResult == SendResult::Shed || aResult == SendResult::Broken) {
    Shrink(aNow, kShedShrinkFactor);
  }
}

void
ServerLoad::OnTimeOut(Instant aNow, AttemptNumber aAttempt)
{
  if (const auto sent = inFlight_.find(aAttempt); sent != inFlight_.end()) {
    ++work_.answers_;
    work_.busy_ += aNow - sent->second.sentAt_;
    OnEnded(aNow, aAttempt, SendResult::Broken);
  }
}

void
ServerLoad::OnCancelled(AttemptNumber aAttempt)
{
  inFlight_.erase(aAttempt);
}

void
ServerLoad::Suspend(Instant aNow, Duration aTime)
{
  health_.Suspend(aNow, aTime);
}

bool
ServerLoad::StartBackoff(Instant aNow, Duration aBackoff)
{
  const bool isNew = aNow >= backoffUntil_;
  backoffUntil_ = std::max(backoffUntil_, aNow + aBackoff);
  return isNew;
}

Duration
ServerLoad::RemainingBackoff(Instant aNow) const
{
  return aNow < backoffUntil_ ? Duration(backoffUntil_ - aNow) : Duration(0);
}

Duration
ServerLoad::RemainingDelay(Instant aNow, std::size_t aAhead) const
{
  return std::max({ RemainingBackoff(aNow),
                    slowStart_.RemainingWait(aNow, aAhead),
                    rateLimit_.RemainingWait(aNow, aAhead) });
}

void
ServerLoad::SetMaxLimit(std::size_t aMaxLimit)
{
  maxLimit_ = std::max<double>(1, static_cast<double>(aMaxLimit));
  limit_ = std::min(limit_, maxLimit_);
}

bool
ServerLoad::HasCapacity(Instant aNow) const
{
  if (RemainingDelay(aNow, 0) > Duration(0) || health_.IsSuspended(aNow)) {
    return false;
  }
  return inFlight_.size() < Limit() && !IsOverdue(aNow);
}

bool
ServerLoad::IsOverdue(Instant aNow) const
{
  if (inFlight_.empty()) {
    return false;
  }
  return health_.IsOverdue(aNow, inFlight_.begin()->second.sentAt_, meanLatency_);
}

Duration
ServerLoad::ExpectedLatency(Instant aNow, Duration aDefault) const
{
  const auto mean = meanLatency_ == Duration(0) ? aDefault : meanLatency_;
  return inFlight_.empty() ? mean
                           : std::max(mean, Duration(aNow - inFlight_.begin()->second.sentAt_));
}

Duration
ServerLoad::ExpectedQueueTime(Instant aNow, std::size_t aAhead, Duration aLatency) const
{
  // Requests in flight end one after the other, the oldest first.
  const auto interval = Scale(aLatency, 1 / std::max<double>(1, static_cast<double>(Limit())));
  auto first = interval;
  if (!inFlight_.empty()) {
    const Duration past = aNow - inFlight_.begin()->second.sentAt_;
    first = std::max(aLatency - past, Scale(interval, kOverdueEndFraction));
  }
  return std::max(first, health_.RemainingDelay(aNow)) +
         interval * static_cast<Duration::rep>(aAhead);
}

ServerWork
ServerLoad::TakeWork()
{
  auto work = std::exchange(work_, {});
  work.rateLimit_ = rateLimit_.Rate();
  return work;
}

void
ServerLoad::UpdateMeanLatency(Duration aLatency)
{
  ++work_.answers_;
  work_.busy_ += aLatency;
  meanLatency_ = ExponentialAverage(meanLatency_, aLatency, kLatencyWeight);
}

void
ServerLoad::AdaptLimit(Instant aNow, bool aIsLate, bool aWasFull)
{
  if (aIsLate) {
    lastLateAt_ = aNow;
    Shrink(aNow, kLateShrinkFactor);
  } else if (aWasFull) {
    const bool isCalm = lastLateAt_ == Instant::min() || aNow - lastLateAt_ > kCalmTime;
    const double growth = isCalm ? 1 / limit_ : kGrowthFactor * limit_;
    limit_ = std::min(maxLimit_, limit_ + growth);
  }
}

void
ServerLoad::Shrink(Instant aNow, double aFactor)
{
  if (shrunkAt_ != Instant::min() && aNow - shrunkAt_ < kShrinkInterval) {
    return;
  }
  shrunkAt_ = aNow;
  limit_ = std::max(1.0, limit_ * aFactor);
}

} // namespace latchslip
