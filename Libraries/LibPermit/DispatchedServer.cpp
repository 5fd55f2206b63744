#include "LibPermit/DispatchedServer.h"

#include <algorithm>
#include <cmath>

namespace latchslip {

namespace {

// Weight of a new work time in the exponential moving average: about the last ten answers count.
constexpr double kWorkWeight = 0.1;
// One request may wait at the server in addition to those that run, so that its slot is not idle
// while the end of a request and the permit of the next are in transit: 4 ms of some 100 ms.
constexpr std::size_t kMaxQueuedAtServer = 1;
// Time constant of what a server reported about its slowdown and about requests of others. Servers
// share their machines, and the load of their neighbours changes a few times a second.
constexpr Duration kStatusLifetime = milliseconds(300);
// A server without requests for this long is probed again.
constexpr Duration kStaleTime = milliseconds(1500);
// A connection stays open for at least this long after an answer: half of the idle timeout of the
// servers.
constexpr Duration kConnectionLifetime = seconds(5);
// Answer times are pruned when they cover more instances than this.
constexpr std::size_t kMaxTrackedAnswers = 1024;
// Window in which the sends to a server in slow start are counted.
constexpr Duration kSlowStartWindow = seconds(1);

} // namespace

void
DispatchedServer::SetRecord(const ServerRecord& aRecord, double aSlowStartRate)
{
  if (incarnation_ != 0 && aRecord.incarnation_ != 0 && incarnation_ != aRecord.incarnation_) {
    ResetEstimates();
  }
  incarnation_ = aRecord.incarnation_;
  hall_ = aRecord.hall_;
  slots_ = std::max(1U, aRecord.slots_);
  acceptsWork_ = aRecord.AcceptsWork();
  slowStartUntil_ = aRecord.slowStartUntil_;
  slowStartRate_ = aSlowStartRate;
}

void
DispatchedServer::ResetEstimates()
{
  health_ = {};
  rateLimit_ = {};
  slowStartSends_.clear();
  lastAnswers_.clear();
  backoffUntil_.clear();
  meanWork_ = Duration(0);
  slowdown_ = 1;
  otherRequests_ = 0;
  statusAt_ = Instant::min();
}

void
DispatchedServer::OnSent(Instant aNow)
{
  startTimes_.insert(aNow);
  lastSent_ = std::max(lastSent_, aNow);
  rateLimit_.OnSent(aNow);
  if (slowStartRate_ <= 0) {
    return;
  }
  slowStartSends_.push_back(aNow);
  while (!slowStartSends_.empty() && slowStartSends_.front() + kSlowStartWindow <= aNow) {
    slowStartSends_.pop_front();
  }
}

void
DispatchedServer::OnEnded(Instant aNow,
                          CallerId aCaller,
                          Instant aSentAt,
                          std::size_t aInFlightAtStart,
                          const SendEnd& aEnd)
{
  if (const auto sent = startTimes_.find(aSentAt); sent != startTimes_.end()) {
    startTimes_.erase(sent);
  }
  health_.OnEnded(aNow, aEnd.result_);
  if (aEnd.result_ == SendResult::Answered) {
    RecordAnswer(aNow, aCaller);
  }
  if (aEnd.backoff_ > Duration(0)) {
    StartBackoff(aNow, aCaller, aEnd.backoff_);
  }
  if (aEnd.rateLimit_) {
    rateLimit_.OnAdvertised(aNow, aSentAt, *aEnd.rateLimit_, 1);
  }
  UpdateEstimates(aNow, aInFlightAtStart, aEnd);
}

void
DispatchedServer::RecordAnswer(Instant aNow, CallerId aCaller)
{
  lastAnswers_[aCaller] = aNow;
  if (lastAnswers_.size() > kMaxTrackedAnswers) {
    std::erase_if(lastAnswers_,
                  [&](const auto& aEntry) { return aNow - aEntry.second > kConnectionLifetime; });
  }
}

void
DispatchedServer::StartBackoff(Instant aNow, CallerId aCaller, Duration aBackoff)
{
  std::erase_if(backoffUntil_, [&](const auto& aEntry) { return aEntry.second <= aNow; });
  auto& until = backoffUntil_.try_emplace(aCaller, Instant::min()).first->second;
  until = std::max(until, aNow + aBackoff);
}

bool
DispatchedServer::IsBackedOff(Instant aNow, CallerId aCaller) const
{
  const auto backoff = backoffUntil_.find(aCaller);
  return backoff != backoffUntil_.end() && aNow < backoff->second;
}

bool
DispatchedServer::IsConnected(Instant aNow, CallerId aCaller) const
{
  const auto answer = lastAnswers_.find(aCaller);
  return answer != lastAnswers_.end() && aNow - answer->second < kConnectionLifetime;
}

void
DispatchedServer::UpdateEstimates(Instant aNow, std::size_t aInFlightAtStart, const SendEnd& aEnd)
{
  if (aEnd.status_) {
    const std::size_t reported = aEnd.status_->running_ + aEnd.status_->waiting_;
    otherRequests_ = reported > startTimes_.size() ? reported - startTimes_.size() : 0;
    slowdown_ = aEnd.status_->slowdown_;
    statusAt_ = aNow;
  }
  if (aEnd.result_ != SendResult::Answered) {
    return;
  }
  const double slowdown = aEnd.status_ ? aEnd.status_->slowdown_ : 1;
  const auto work = Scale(aEnd.latency_, 1 / ((1 + RelativeWait(aInFlightAtStart)) * slowdown));
  meanWork_ = ExponentialAverage(meanWork_, work, kWorkWeight);
}

// Requests that are already there must leave a slot first.
double
DispatchedServer::RelativeWait(std::size_t aInFlightAtStart) const
{
  return aInFlightAtStart < slots_
           ? 0
           : static_cast<double>(aInFlightAtStart - slots_ + 1) / static_cast<double>(slots_);
}

std::size_t
DispatchedServer::Load(Instant aNow) const
{
  const bool isFresh = statusAt_ != Instant::min() && aNow - statusAt_ < kStatusLifetime;
  return startTimes_.size() + (isFresh ? otherRequests_ : 0);
}

double
DispatchedServer::Slowdown(Instant aNow) const
{
  if (statusAt_ == Instant::min()) {
    return 1;
  }
  return 1 + (slowdown_ - 1) * std::exp(-ToSeconds(aNow - statusAt_) / ToSeconds(kStatusLifetime));
}

bool
DispatchedServer::AllowsSlowStart(Instant aNow) const
{
  if (slowStartRate_ <= 0 || aNow >= slowStartUntil_) {
    return true;
  }
  const auto recent = std::count_if(slowStartSends_.begin(),
                                    slowStartSends_.end(),
                                    [&](Instant aSend) { return aSend + kSlowStartWindow > aNow; });
  return static_cast<double>(recent) + 1 <= std::max(1.0, slowStartRate_);
}

bool
DispatchedServer::HasCapacity(Instant aNow, Duration aDefaultWork) const
{
  if (!acceptsWork_ || health_.IsSuspended(aNow) || Load(aNow) >= slots_ + kMaxQueuedAtServer ||
      !AllowsSlowStart(aNow) || !rateLimit_.HasCapacity(aNow)) {
    return false;
  }
  return startTimes_.empty() ||
         !health_.IsOverdue(aNow, *startTimes_.begin(), WorkTime(aNow, aDefaultWork));
}

Duration
DispatchedServer::WorkTime(Instant aNow, Duration aDefaultWork) const
{
  return Scale(meanWork_ == Duration(0) ? aDefaultWork : meanWork_, Slowdown(aNow));
}

Duration
DispatchedServer::ExpectedLatency(Instant aNow, Duration aDefaultWork) const
{
  const auto latency = Scale(WorkTime(aNow, aDefaultWork), 1 + RelativeWait(Load(aNow)));
  // A request that is overdue shows that the server has become slower than estimated.
  return startTimes_.empty() ? latency : std::max(latency, Duration(aNow - *startTimes_.begin()));
}

Duration
DispatchedServer::ExpectedQueueTime(Instant aNow, std::size_t aAhead, Duration aDefaultWork) const
{
  const auto work = WorkTime(aNow, aDefaultWork);
  const auto interval = Scale(work, 1 / static_cast<double>(slots_));
  const auto first = startTimes_.empty() ? Duration(0) : interval;
  auto turn = std::max(first, health_.RemainingDelay(aNow));
  turn += interval * static_cast<Duration::rep>(aAhead);
  turn = std::max(turn, rateLimit_.RemainingWait(aNow, aAhead));
  if (AllowsSlowStart(aNow)) {
    return turn;
  }
  const auto step = Scale(kSlowStartWindow, 1 / std::max(1.0, slowStartRate_));
  return turn + step * static_cast<Duration::rep>(aAhead + 1);
}

double
DispatchedServer::Throughput(Instant aNow, Duration aDefaultWork) const
{
  if (!acceptsWork_ || health_.IsSuspended(aNow)) {
    return 0;
  }
  const auto work = std::max(ToSeconds(WorkTime(aNow, aDefaultWork)), 1e-4);
  const double rate = std::min(static_cast<double>(slots_) / work, rateLimit_.Rate());
  return aNow < slowStartUntil_ && slowStartRate_ > 0 ? std::min(rate, slowStartRate_) : rate;
}

bool
DispatchedServer::IsStale(Instant aNow) const
{
  return startTimes_.empty() && (lastSent_ == Instant::min() || aNow - lastSent_ > kStaleTime);
}

} // namespace latchslip
