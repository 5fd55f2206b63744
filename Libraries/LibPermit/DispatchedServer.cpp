#include "LibPermit/DispatchedServer.h"

#include <algorithm>
#include <cmath>

namespace latchslip {

namespace {

// Weight of a new work time in the mean: about the last ten answers count.
constexpr double kWorkWeight = 0.1;
// One request may wait at a server beside those that run, so that its slot is not idle
// while the end of one and the permit of the next are on their way: 4 ms of some 100.
constexpr std::size_t kReadyAhead = 1;
// What a server told of its pace and of others' requests holds for about this time.
// Servers share their machines, and what the others there do changes a few times a second.
constexpr Duration kToldTime = milliseconds(300);
// A server that got nothing for so long is tried again.
constexpr Duration kForgottenTime = milliseconds(1500);
// A connection lies open for so long after an answer at the least: half of what servers
// keep idle ones.
constexpr Duration kConnectionTime = seconds(5);
// Instances that are remembered before those with old answers are dropped.
constexpr std::size_t kMostAnswered = 1024;
// The span in which the sends to a server in its slow start are counted.
constexpr Duration kSlowStartSpan = seconds(1);

} // namespace

void
DispatchedServer::SetRecord(const ServerRecord& aRecord, double aSlowStartRate)
{
  if (life_ != 0 && aRecord.life_ != 0 && life_ != aRecord.life_) {
    BeginLife();
  }
  life_ = aRecord.life_;
  hall_ = aRecord.hall_;
  slots_ = std::max(1U, aRecord.slots_);
  takesWork_ = aRecord.AcceptsWork();
  slowStartUntil_ = aRecord.slowStartUntil_;
  slowStartRate_ = aSlowStartRate;
}

void
DispatchedServer::BeginLife()
{
  health_ = {};
  rateLimit_ = {};
  slowStartSends_.clear();
  answered_.clear();
  rests_.clear();
  work_ = Duration(0);
  slowdown_ = 1;
  others_ = 0;
  toldAt_ = Instant::min();
}

void
DispatchedServer::OnSent(Instant aNow)
{
  sent_.insert(aNow);
  lastSent_ = std::max(lastSent_, aNow);
  rateLimit_.OnSent(aNow);
  if (slowStartRate_ <= 0) {
    return;
  }
  slowStartSends_.push_back(aNow);
  while (!slowStartSends_.empty() && slowStartSends_.front() + kSlowStartSpan <= aNow) {
    slowStartSends_.pop_front();
  }
}

void
DispatchedServer::OnEnded(Instant aNow,
                          CallerId aCaller,
                          Instant aSentAt,
                          std::size_t aFound,
                          const SendEnd& aEnd)
{
  if (const auto sent = sent_.find(aSentAt); sent != sent_.end()) {
    sent_.erase(sent);
  }
  health_.OnEnded(aNow, aEnd.result_);
  if (aEnd.result_ == SendResult::Answered) {
    NoteAnswer(aNow, aCaller);
  }
  if (aEnd.backoff_ > Duration(0)) {
    StartBackoff(aNow, aCaller, aEnd.backoff_);
  }
  if (aEnd.rateLimit_) {
    rateLimit_.OnAdvertised(aNow, aSentAt, *aEnd.rateLimit_, 1);
  }
  Learn(aNow, aFound, aEnd);
}

void
DispatchedServer::NoteAnswer(Instant aNow, CallerId aCaller)
{
  answered_[aCaller] = aNow;
  if (answered_.size() > kMostAnswered) {
    std::erase_if(answered_,
                  [&](const auto& aEntry) { return aNow - aEntry.second > kConnectionTime; });
  }
}

void
DispatchedServer::StartBackoff(Instant aNow, CallerId aCaller, Duration aRest)
{
  std::erase_if(rests_, [&](const auto& aEntry) { return aEntry.second <= aNow; });
  auto& until = rests_.try_emplace(aCaller, Instant::min()).first->second;
  until = std::max(until, aNow + aRest);
}

bool
DispatchedServer::IsResting(Instant aNow, CallerId aCaller) const
{
  const auto rest = rests_.find(aCaller);
  return rest != rests_.end() && aNow < rest->second;
}

bool
DispatchedServer::IsConnected(Instant aNow, CallerId aCaller) const
{
  const auto answer = answered_.find(aCaller);
  return answer != answered_.end() && aNow - answer->second < kConnectionTime;
}

void
DispatchedServer::Learn(Instant aNow, std::size_t aFound, const SendEnd& aEnd)
{
  if (aEnd.status_) {
    const std::size_t told = aEnd.status_->running_ + aEnd.status_->waiting_;
    others_ = told > sent_.size() ? told - sent_.size() : 0;
    slowdown_ = aEnd.status_->slowdown_;
    toldAt_ = aNow;
  }
  if (aEnd.result_ != SendResult::Answered) {
    return;
  }
  const double pace = aEnd.status_ ? aEnd.status_->slowdown_ : 1;
  const auto work = Scale(aEnd.latency_, 1 / ((1 + WaitsBehind(aFound)) * pace));
  work_ = Blend(work_, work, kWorkWeight);
}

// Those that are there must leave a slot first.
double
DispatchedServer::WaitsBehind(std::size_t aFound) const
{
  return aFound < slots_ ? 0
                         : static_cast<double>(aFound - slots_ + 1) / static_cast<double>(slots_);
}

std::size_t
DispatchedServer::Load(Instant aNow) const
{
  const bool isTold = toldAt_ != Instant::min() && aNow - toldAt_ < kToldTime;
  return sent_.size() + (isTold ? others_ : 0);
}

double
DispatchedServer::Pace(Instant aNow) const
{
  if (toldAt_ == Instant::min()) {
    return 1;
  }
  return 1 + (slowdown_ - 1) * std::exp(-ToSeconds(aNow - toldAt_) / ToSeconds(kToldTime));
}

bool
DispatchedServer::MayStart(Instant aNow) const
{
  if (slowStartRate_ <= 0 || aNow >= slowStartUntil_) {
    return true;
  }
  const auto recent = std::count_if(slowStartSends_.begin(),
                                    slowStartSends_.end(),
                                    [&](Instant aSend) { return aSend + kSlowStartSpan > aNow; });
  return static_cast<double>(recent) + 1 <= std::max(1.0, slowStartRate_);
}

bool
DispatchedServer::HasCapacity(Instant aNow, Duration aUsual) const
{
  if (!takesWork_ || health_.IsSuspended(aNow) || Load(aNow) >= slots_ + kReadyAhead ||
      !MayStart(aNow) || !rateLimit_.HasCapacity(aNow)) {
    return false;
  }
  return sent_.empty() || !health_.IsOverdue(aNow, *sent_.begin(), WorkTime(aNow, aUsual));
}

Duration
DispatchedServer::WorkTime(Instant aNow, Duration aUsual) const
{
  return Scale(work_ == Duration(0) ? aUsual : work_, Pace(aNow));
}

Duration
DispatchedServer::ExpectedLatency(Instant aNow, Duration aUsual) const
{
  const auto latency = Scale(WorkTime(aNow, aUsual), 1 + WaitsBehind(Load(aNow)));
  // A server that keeps its requests longer than it should is slower than it was.
  return sent_.empty() ? latency : std::max(latency, Duration(aNow - *sent_.begin()));
}

Duration
DispatchedServer::ExpectedQueueTime(Instant aNow, std::size_t aAhead, Duration aUsual) const
{
  const auto work = WorkTime(aNow, aUsual);
  const auto interval = Scale(work, 1 / static_cast<double>(slots_));
  const auto first = sent_.empty() ? Duration(0) : interval;
  auto turn = std::max(first, health_.RemainingDelay(aNow));
  turn += interval * static_cast<Duration::rep>(aAhead);
  turn = std::max(turn, rateLimit_.RemainingWait(aNow, aAhead));
  if (MayStart(aNow)) {
    return turn;
  }
  const auto step = Scale(kSlowStartSpan, 1 / std::max(1.0, slowStartRate_));
  return turn + step * static_cast<Duration::rep>(aAhead + 1);
}

double
DispatchedServer::Throughput(Instant aNow, Duration aUsual) const
{
  if (!takesWork_ || health_.IsSuspended(aNow)) {
    return 0;
  }
  const auto work = std::max(ToSeconds(WorkTime(aNow, aUsual)), 1e-4);
  const double rate = std::min(static_cast<double>(slots_) / work, rateLimit_.Rate());
  return aNow < slowStartUntil_ && slowStartRate_ > 0 ? std::min(rate, slowStartRate_) : rate;
}

bool
DispatchedServer::IsForgotten(Instant aNow) const
{
  return sent_.empty() && (lastSent_ == Instant::min() || aNow - lastSent_ > kForgottenTime);
}

} // namespace latchslip
