#include "LibAdmission/ReturnCalendar.h"

#include <algorithm>

namespace latchslip {

namespace {

// Whether the answer to a request that returns at aWait can no longer be in time.
bool
IsLateAt(const DeniedRequest& aRequest, Duration aWait)
{
  return aWait + aRequest.work_ > aRequest.inTime_;
}

// Answer without a promise. A return that can be in time is told the expected wait, since a
// shortage may end sooner than the averages show, as when a server is slow for a second. Any other
// caller that would honour the wait must not return in vain.
ReturnAnswer
Unpromised(const DeniedRequest& aRequest, Duration aWait)
{
  if (!IsLateAt(aRequest, aRequest.queueTime_)) {
    return { aRequest.queueTime_, false };
  }
  const bool isHonoured = aWait <= Scale(aRequest.timeLeft_, ReturnCalendar::kHonouredShare);
  return { isHonoured ? std::max(aWait, aRequest.timeLeft_) : aWait, false };
}

// Longest wait after which the caller returns and its work still ends before it gives up.
Duration
MaxWait(const DeniedRequest& aRequest)
{
  return std::min(Scale(aRequest.timeLeft_, ReturnCalendar::kHonouredShare),
                  aRequest.timeLeft_ - aRequest.work_);
}

} // namespace

ReturnCalendar::ScopeState&
ReturnCalendar::Observe(Instant aNow, const ReturnScope& aScope)
{
  const auto [entry, isNew] = scopes_.try_emplace(aScope);
  auto& state = entry->second;
  if (isNew || aNow - state.lastRequest_ > ArrivalRates::kTimeConstant) {
    state.knownSince_ = aNow;
    state.rates_ = {};
  }
  state.lastRequest_ = aNow;
  return state;
}

void
ReturnCalendar::OnNewRequest(Instant aNow, const ReturnScope& aScope, unsigned aPriority)
{
  Observe(aNow, aScope).rates_.OnArrival(aNow, aPriority);
}

bool
ReturnCalendar::Redeem(Instant aNow, const ReturnScope& aScope, RequestFingerprint aFingerprint)
{
  Expire(aNow);
  const auto scope = scopes_.find(aScope);
  if (scope == scopes_.end()) {
    return false;
  }
  const auto entry = scope->second.entries_.find(aFingerprint);
  if (entry == scope->second.entries_.end() || aNow < entry->second.dueFrom_) {
    return false;
  }
  scope->second.lastRequest_ = aNow;
  Remove(aScope, scope->second, aFingerprint);
  ++counts_.kept_;
  return true;
}

ReturnForecast
ReturnCalendar::Forecast(Instant aNow,
                         const ScopeState& aState,
                         const DeniedRequest& aRequest,
                         bool aIsLate)
{
  // A late return must not displace a request of any priority that can be in time.
  const double newRequests =
    aIsLate ? aState.rates_.TotalRate(aNow) : aState.rates_.RateUpTo(aNow, aRequest.priority_);
  return { aRequest.throughput_, newRequests, aRequest.queueTime_ };
}

ReturnAnswer
ReturnCalendar::Deny(Instant aNow, const ReturnScope& aScope, const DeniedRequest& aRequest)
{
  Expire(aNow);
  auto& state = Observe(aNow, aScope);
  const auto most = MaxWait(aRequest);
  const auto known = state.entries_.find(aRequest.fingerprint_);
  if (known != state.entries_.end()) {
    const auto wait = std::max(Duration(0), Duration(known->second.moment_ - aNow));
    return wait <= most ? ReturnAnswer{ wait, true } : Unpromised(aRequest, wait);
  }
  auto isLate = IsLateAt(aRequest, aRequest.queueTime_);
  auto spare = state.slices_.FindSpare(aNow, Forecast(aNow, state, aRequest, isLate), isLate);
  if (spare && !isLate && IsLateAt(aRequest, *spare - aNow)) {
    isLate = true;
    spare = state.slices_.FindSpare(aNow, Forecast(aNow, state, aRequest, isLate), isLate);
  }
  const auto wait = spare ? Duration(*spare - aNow) : ReturnSlices::kHorizon;
  const bool isKnown = aNow - state.knownSince_ >= kLearning;
  const bool canReturn = aRequest.fingerprint_ != kNoFingerprint && Size() < kMaxEntries;
  if (!spare || wait > most || !isKnown || !canReturn) {
    return Unpromised(aRequest, wait);
  }
  Entry entry{ *spare, std::max(*spare - kEarly, aNow + wait / 2), isLate };
  Add(aScope, state, aRequest.fingerprint_, entry);
  ++counts_.promised_;
  return { wait, true };
}

void
ReturnCalendar::Add(const ReturnScope& aScope,
                    ScopeState& aState,
                    RequestFingerprint aFingerprint,
                    const Entry& aEntry)
{
  aState.entries_.emplace(aFingerprint, aEntry);
  aState.slices_.Add(aEntry.moment_, aEntry.isLate_);
  moments_.insert({ aEntry.moment_, { aScope, aFingerprint } });
}

void
ReturnCalendar::Remove(const ReturnScope& aScope,
                       ScopeState& aState,
                       RequestFingerprint aFingerprint)
{
  const auto entry = aState.entries_.find(aFingerprint);
  aState.slices_.Remove(entry->second.moment_, entry->second.isLate_);
  moments_.erase({ entry->second.moment_, { aScope, aFingerprint } });
  aState.entries_.erase(entry);
}

void
ReturnCalendar::Expire(Instant aNow)
{
  while (!moments_.empty() && moments_.begin()->first + kOverdue < aNow) {
    const auto [scope, fingerprint] = moments_.begin()->second;
    Remove(scope, scopes_.at(scope), fingerprint);
    ++counts_.expired_;
  }
}

void
ReturnCalendar::DropScopes(const std::function<bool(const ReturnScope&)>& aIsGone)
{
  for (auto scope = scopes_.begin(); scope != scopes_.end();) {
    if (!aIsGone(scope->first)) {
      ++scope;
      continue;
    }
    for (const auto& [fingerprint, entry] : scope->second.entries_) {
      moments_.erase({ entry.moment_, { scope->first, fingerprint } });
    }
    scope = scopes_.erase(scope);
  }
}

void
ReturnCalendar::Clear()
{
  scopes_.clear();
  moments_.clear();
}

} // namespace latchslip
