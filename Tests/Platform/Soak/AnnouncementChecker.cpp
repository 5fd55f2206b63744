#include "AnnouncementChecker.h"

#include "LibNet/MonotonicClock.h"

#include <algorithm>

namespace latchslip::platform {

namespace {

// A client's request that was sent later than this after its instance passed on a server's shutdown
// announcement must not reach that server.
constexpr Duration kDrainBound = seconds(2);
// Requests that arrive within this time after a server asked for a backoff were already in flight.
constexpr Duration kInFlightTime = milliseconds(500);
// Requests of one instance that may arrive during a backoff in addition to those in flight.
constexpr int kMaxRequestsInBackoff = 2;
// From kLimitBound after a limit was first passed on, no window of length kLimitWindow may contain
// more requests than half as many again as the limit allows, plus kLimitExtra.
constexpr Duration kLimitBound = seconds(3);
constexpr Duration kLimitWindow = seconds(4);
constexpr double kLimitFactor = 1.5;
constexpr double kLimitExtra = 5;

} // namespace

void
AnnouncementChecker::OnRequestSent(const std::string& aRequest, const std::string& aInstance)
{
  requests_[aRequest] = { aInstance, MonotonicNow(), {} };
}

void
AnnouncementChecker::OnRun(const std::string& aServer, const std::string& aRequest)
{
  requests_[aRequest].executedBy_ = aServer;
}

void
AnnouncementChecker::OnLeavingPassedOn(const std::string& aRequest)
{
  const auto& request = requests_[aRequest];
  auto& passedOn = states_[{ request.instance_, request.executedBy_ }].leavingPassedOn_;
  passedOn = passedOn.value_or(MonotonicNow());
}

void
AnnouncementChecker::OnRateLimitPassedOn(const std::string& aRequest)
{
  const auto& request = requests_[aRequest];
  const auto limit = limits_.find(request.executedBy_);
  if (limit == limits_.end()) {
    return;
  }
  const auto now = MonotonicNow();
  auto& passedOn = states_[{ request.instance_, request.executedBy_ }].limitPassedOn_;
  passedOn = passedOn.value_or(now);
  limit->second.firstPassedOn_ = limit->second.firstPassedOn_.value_or(now);
}

void
AnnouncementChecker::OnRateLimitNamed(const std::string& aServer, std::optional<double> aLimit)
{
  limits_.erase(aServer);
  for (auto& [instanceAndServer, state] : states_) {
    if (instanceAndServer.second == aServer) {
      state.limitPassedOn_.reset();
    }
  }
  if (aLimit) {
    limits_[aServer].limit_ = *aLimit;
  }
}

std::optional<std::string>
AnnouncementChecker::CountAtLimit(RateLimit& aLimit,
                                  const AnnouncementState& aState,
                                  const std::string& aServer)
{
  const auto now = MonotonicNow();
  const bool isEnforced = aLimit.firstPassedOn_ && now >= *aLimit.firstPassedOn_ + kLimitBound;
  if (!isEnforced || !aState.limitPassedOn_ || now < *aState.limitPassedOn_ + kInFlightTime) {
    return std::nullopt;
  }
  auto& arrivals = aLimit.arrivals_;
  arrivals.push_back(now);
  while (arrivals.front() + kLimitWindow <= now) {
    arrivals.pop_front();
  }
  const auto allowed = kLimitFactor * aLimit.limit_ * ToSeconds(kLimitWindow) + kLimitExtra;
  if (static_cast<double>(arrivals.size()) <= allowed) {
    return std::nullopt;
  }
  return "LIMIT " + std::to_string(arrivals.size()) + " requests at " + aServer +
         " with a limit of " + std::to_string(aLimit.limit_) + " a second";
}

std::optional<std::string>
AnnouncementChecker::OnArrival(const std::string& aServer, const std::string& aRequest)
{
  const auto& request = requests_[aRequest];
  const auto found = states_.find({ request.instance_, aServer });
  if (found == states_.end()) {
    return std::nullopt;
  }
  auto& state = found->second;
  const auto description = aRequest + " of " + request.instance_ + " at " + aServer;
  if (state.leavingPassedOn_ && request.sentAt_ > *state.leavingPassedOn_ + kDrainBound) {
    return "DRAIN " + description + ", whose shutdown announcement the instance had passed on";
  }
  if (const auto limit = limits_.find(aServer); limit != limits_.end()) {
    if (auto violation = CountAtLimit(limit->second, state, aServer)) {
      return violation;
    }
  }
  const auto now = MonotonicNow();
  state.arrivals_ += now > state.backoffFrom_ + kInFlightTime && now < state.backoffUntil_ ? 1 : 0;
  return state.arrivals_ > kMaxRequestsInBackoff
           ? std::optional("BUDGET " + description + " during its backoff")
           : std::nullopt;
}

void
AnnouncementChecker::OnRejected(const std::string& aServer,
                                const std::string& aRequest,
                                Duration aBackoff)
{
  if (disturbedServers_.contains(aServer)) {
    return;
  }
  auto& state = states_[{ requests_[aRequest].instance_, aServer }];
  const auto now = MonotonicNow();
  if (now >= state.backoffUntil_) {
    state.backoffFrom_ = now;
    state.backoffUntil_ = now + aBackoff;
    state.arrivals_ = 0;
  }
}

void
AnnouncementChecker::DiscardAnnouncementsTo(const std::string& aInstance)
{
  std::erase_if(states_, [&](const auto& aEntry) { return aEntry.first.first == aInstance; });
}

void
AnnouncementChecker::SetLinkDisturbed(const std::string& aServer, bool aIsDisturbed)
{
  std::erase_if(states_, [&](const auto& aEntry) { return aEntry.first.second == aServer; });
  if (const auto limit = limits_.find(aServer); limit != limits_.end()) {
    limit->second.arrivals_.clear();
  }
  if (aIsDisturbed) {
    disturbedServers_.insert(aServer);
  } else {
    disturbedServers_.erase(aServer);
  }
}

} // namespace latchslip::platform
