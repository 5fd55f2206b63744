#include "AnnouncementChecker.h"

#include "LibNet/MonotonicClock.h"

#include <algorithm>

namespace latchslip::platform {

namespace {

// A client's request that was sent later than this after its instance passed on a server's shutdown
// announcement must not reach that server.
constexpr Duration kDrainBound = seconds(2);
// Requests that arrive within this time after a server asked for a backoff were already in flight.
constexpr Duration kUnderWay = milliseconds(500);
// Requests of one instance that may arrive during a backoff in addition to those in flight.
constexpr int kMostInRest = 2;
// From kLimitBound after a limit was first passed on, no window of length kLimitWindow may contain
// more requests than half as many again as the limit allows, plus kLimitExtra.
constexpr Duration kLimitBound = seconds(3);
constexpr Duration kLimitWindow = seconds(4);
constexpr double kLimitFactor = 1.5;
constexpr double kLimitExtra = 5;

} // namespace

void
AnnouncementChecker::OnAsked(const std::string& aRequest, const std::string& aInstance)
{
  requests_[aRequest] = { aInstance, MonotonicNow(), {} };
}

void
AnnouncementChecker::OnRun(const std::string& aServer, const std::string& aRequest)
{
  requests_[aRequest].ranAt_ = aServer;
}

void
AnnouncementChecker::OnLeavingPassedOn(const std::string& aRequest)
{
  const auto& request = requests_[aRequest];
  auto& passedOn = words_[{ request.instance_, request.ranAt_ }].leavingPassedOn_;
  passedOn = passedOn.value_or(MonotonicNow());
}

void
AnnouncementChecker::OnRateLimitPassedOn(const std::string& aRequest)
{
  const auto& request = requests_[aRequest];
  const auto limit = limits_.find(request.ranAt_);
  if (limit == limits_.end()) {
    return;
  }
  const auto now = MonotonicNow();
  auto& passedOn = words_[{ request.instance_, request.ranAt_ }].limitPassedOn_;
  passedOn = passedOn.value_or(now);
  limit->second.firstPassedOn_ = limit->second.firstPassedOn_.value_or(now);
}

void
AnnouncementChecker::OnRateLimitNamed(const std::string& aServer, std::optional<double> aLimit)
{
  limits_.erase(aServer);
  for (auto& [who, word] : words_) {
    if (who.second == aServer) {
      word.limitPassedOn_.reset();
    }
  }
  if (aLimit) {
    limits_[aServer].limit_ = *aLimit;
  }
}

std::optional<std::string>
AnnouncementChecker::CountAtLimit(NamedLimit& aLimit, const Word& aWord, const std::string& aServer)
{
  const auto now = MonotonicNow();
  const bool isBound = aLimit.firstPassedOn_ && now >= *aLimit.firstPassedOn_ + kLimitBound;
  if (!isBound || !aWord.limitPassedOn_ || now < *aWord.limitPassedOn_ + kUnderWay) {
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
  return "LIMIT " + std::to_string(arrivals.size()) + " requests at " + aServer + ", which takes " +
         std::to_string(aLimit.limit_) + " a second";
}

std::optional<std::string>
AnnouncementChecker::OnArrival(const std::string& aServer, const std::string& aRequest)
{
  const auto& request = requests_[aRequest];
  const auto found = words_.find({ request.instance_, aServer });
  if (found == words_.end()) {
    return std::nullopt;
  }
  auto& word = found->second;
  const auto who = aRequest + " of " + request.instance_ + " at " + aServer;
  if (word.leavingPassedOn_ && request.at_ > *word.leavingPassedOn_ + kDrainBound) {
    return "DRAIN " + who + ", which it had passed on as leaving";
  }
  if (const auto limit = limits_.find(aServer); limit != limits_.end()) {
    if (auto broken = CountAtLimit(limit->second, word, aServer)) {
      return broken;
    }
  }
  const auto now = MonotonicNow();
  word.arrivals_ += now > word.restFrom_ + kUnderWay && now < word.restUntil_ ? 1 : 0;
  return word.arrivals_ > kMostInRest
           ? std::optional("BUDGET " + who + ", which wants nothing from it")
           : std::nullopt;
}

void
AnnouncementChecker::OnRejected(const std::string& aServer,
                                const std::string& aRequest,
                                Duration aBackoff)
{
  if (harmed_.contains(aServer)) {
    return;
  }
  auto& word = words_[{ requests_[aRequest].instance_, aServer }];
  const auto now = MonotonicNow();
  if (now >= word.restUntil_) {
    word.restFrom_ = now;
    word.restUntil_ = now + aBackoff;
    word.arrivals_ = 0;
  }
}

void
AnnouncementChecker::ExcuseInstance(const std::string& aInstance)
{
  std::erase_if(words_, [&](const auto& aEntry) { return aEntry.first.first == aInstance; });
}

void
AnnouncementChecker::SetHarmed(const std::string& aServer, bool aIsHarmed)
{
  std::erase_if(words_, [&](const auto& aEntry) { return aEntry.first.second == aServer; });
  if (const auto limit = limits_.find(aServer); limit != limits_.end()) {
    limit->second.arrivals_.clear();
  }
  if (aIsHarmed) {
    harmed_.insert(aServer);
  } else {
    harmed_.erase(aServer);
  }
}

} // namespace latchslip::platform
