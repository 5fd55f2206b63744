#include "LibGateway/ServerLoad.h"

#include <algorithm>
#include <cmath>

namespace latchslip {

namespace {

// Weight of a new latency in the mean: about the last ten answers count.
constexpr double kMeanWeight = 0.1;
// Weight of a new end in the share of failures.
constexpr double kFailureWeight = 0.1;
// Steps of the low quantile; their ratio, 1 up to 9 down, sets it to the tenth
// percentile.
constexpr double kQuantileDown = 0.09;
constexpr double kQuantileUp = 0.01;
// The limit grows while the mean stays below this multiple of the unloaded
// latency, and shrinks beyond the next: between the two the server's queue is
// short compared with its work.
constexpr double kGrowBelow = 3.0;
constexpr double kShrinkBeyond = 5.0;
constexpr double kSlowShrink = 0.8;
constexpr double kShedShrink = 0.5;
// The limit shrinks at most once in this time, about one service time, so that
// one burst of shed requests counts once.
constexpr Duration kShrinkPause = milliseconds(100);
// A server that shed is left alone this long: about one service time of one of
// its slots.
constexpr Duration kShedPause = milliseconds(20);
// An unreached server is tried again after this time, doubled with each failure.
constexpr Duration kUnreachedPause = milliseconds(200);
constexpr unsigned kMostDoublings = 3;
// A send without an answer for this multiple of the mean latency, and at least
// the time below, means that the server may have fallen silent.
constexpr double kOverdueMeans = 6.0;
constexpr Duration kLeastOverdue = milliseconds(300);

} // namespace

ServerLoad::ServerLoad(std::size_t aLimit, std::size_t aMostLimit)
  : limit_(static_cast<double>(aLimit))
  , mostLimit_(static_cast<double>(std::max(aLimit, aMostLimit)))
{
}

void
ServerLoad::OnSent(Instant aNow, AttemptNumber aAttempt)
{
  underWay_.emplace(aAttempt, aNow);
}

void
ServerLoad::OnEnded(Instant aNow, AttemptNumber aAttempt, SendResult aResult)
{
  const auto sent = underWay_.find(aAttempt);
  if (sent == underWay_.end()) {
    return;
  }
  const bool wasFull = underWay_.size() >= Limit();
  const auto latency = aNow - sent->second;
  underWay_.erase(sent);
  const bool isFailure = aResult != SendResult::Answered && aResult != SendResult::Declined;
  failureShare_ += kFailureWeight * ((isFailure ? 1.0 : 0.0) - failureShare_);
  if (aResult != SendResult::NotReached) {
    unreached_ = 0;
  }
  switch (aResult) {
    case SendResult::Answered:
      answeredAt_ = aNow;
      LearnLatency(latency);
      Grow(wasFull);
      if (mean_ > Scale(unloaded_, kShrinkBeyond)) {
        Shrink(aNow, kSlowShrink);
      }
      break;
    case SendResult::Failed:
    case SendResult::Declined:
      answeredAt_ = aNow;
      break;
    case SendResult::Shed:
      answeredAt_ = aNow;
      Shrink(aNow, kShedShrink);
      suspendedUntil_ = std::max(suspendedUntil_, aNow + kShedPause);
      break;
    case SendResult::NotReached:
      suspendedUntil_ = std::max(
        suspendedUntil_, aNow + kUnreachedPause * (1U << std::min(unreached_, kMostDoublings)));
      ++unreached_;
      break;
    case SendResult::Broken:
      Shrink(aNow, kShedShrink);
      suspendedUntil_ = std::max(suspendedUntil_, aNow + kShedPause);
      break;
  }
}

void
ServerLoad::OnCancelled(AttemptNumber aAttempt)
{
  underWay_.erase(aAttempt);
}

void
ServerLoad::Suspend(Instant aNow, Duration aTime)
{
  suspendedUntil_ = std::max(suspendedUntil_, aNow + aTime);
}

void
ServerLoad::SetMostLimit(std::size_t aMostLimit)
{
  mostLimit_ = std::max<double>(1, static_cast<double>(aMostLimit));
  limit_ = std::min(limit_, mostLimit_);
}

bool
ServerLoad::HasRoom(Instant aNow) const
{
  if (aNow < suspendedUntil_) {
    return false;
  }
  return underWay_.size() < Limit() && !IsOverdue(aNow);
}

bool
ServerLoad::IsOverdue(Instant aNow) const
{
  if (underWay_.empty()) {
    return false;
  }
  const auto oldest = underWay_.begin()->second;
  return answeredAt_ < oldest &&
         aNow - oldest > std::max(kLeastOverdue, Scale(mean_, kOverdueMeans));
}

Duration
ServerLoad::ExpectedLatency(Instant aNow, Duration aDefault) const
{
  const auto mean = mean_ == Duration(0) ? aDefault : mean_;
  return underWay_.empty() ? mean : std::max(mean, Duration(aNow - underWay_.begin()->second));
}

Duration
ServerLoad::StrengthLatency() const
{
  const auto product = static_cast<double>(mean_.count()) * static_cast<double>(unloaded_.count());
  return Duration(static_cast<Duration::rep>(std::sqrt(product)));
}

void
ServerLoad::LearnLatency(Duration aLatency)
{
  if (mean_ == Duration(0)) {
    mean_ = aLatency;
    unloaded_ = aLatency;
    return;
  }
  mean_ += Scale(aLatency - mean_, kMeanWeight);
  unloaded_ = Scale(unloaded_, aLatency < unloaded_ ? 1 - kQuantileDown : 1 + kQuantileUp);
}

void
ServerLoad::Grow(bool aWasFull)
{
  if (aWasFull && mean_ < Scale(unloaded_, kGrowBelow)) {
    limit_ = std::min(mostLimit_, limit_ + 1 / limit_);
  }
}

void
ServerLoad::Shrink(Instant aNow, double aFactor)
{
  if (shrunkAt_ != Instant::min() && aNow - shrunkAt_ < kShrinkPause) {
    return;
  }
  shrunkAt_ = aNow;
  limit_ = std::max(1.0, limit_ * aFactor);
}

} // namespace latchslip
