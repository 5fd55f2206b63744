#include "LibFleet/ServerSpeeds.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace latchslip {

namespace {

// Half-life of the sums. A server can become slow, or get keys that it has to load first, from one
// moment to the next; shorter half-lives leave too few answers.
constexpr Duration kHalfLife = milliseconds(2000);
// Below this weight of answers there is no estimate: a single answer may take several times the
// mean.
constexpr double kMinAnswers = 4;
// Time that the first report of a server covers, about.
constexpr Duration kFirstReportSpan = milliseconds(800);
// A server that has lost all its keys gets no requests, so it cannot report that its rate limit
// ended. After this time the limit is dropped, and the server gets some keys again.
constexpr Duration kRateLimitLifetime = seconds(15);

} // namespace

void
ServerSpeeds::Add(Instant aNow, const std::string& aServer, const ServerWork& aWork)
{
  const auto [entry, isNew] = servers_.try_emplace(aServer);
  auto& recent = entry->second;
  if (isNew) {
    recent.span_ = static_cast<double>(kFirstReportSpan.count());
    recent.updatedAt_ = aNow;
  }
  const auto halfLife = static_cast<double>(kHalfLife.count());
  const auto past = static_cast<double>(Duration(aNow - recent.updatedAt_).count());
  const double factor = std::exp2(-past / halfLife);
  recent.updatedAt_ = aNow;
  recent.rateLimit_ = aWork.rateLimit_;
  recent.answers_ = recent.answers_ * factor + static_cast<double>(aWork.answers_);
  recent.busy_ = recent.busy_ * factor + static_cast<double>(aWork.busy_.count());
  recent.span_ = recent.span_ * factor + (1 - factor) * halfLife / std::numbers::ln2;
}

void
ServerSpeeds::Keep(const std::function<bool(const std::string&)>& aIsKept)
{
  std::erase_if(servers_, [&](const auto& aEntry) { return !aIsKept(aEntry.first); });
}

std::optional<Duration>
ServerSpeeds::ServiceTimeOf(const std::string& aServer, unsigned aSlots) const
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end() || found->second.answers_ < kMinAnswers) {
    return std::nullopt;
  }
  // At most as many requests as slots are processed at the same time; the rest of the time was
  // spent waiting for a slot.
  const auto& recent = found->second;
  const double maxBusy = recent.span_ * std::max(1U, aSlots);
  return Duration(static_cast<Duration::rep>(std::min(recent.busy_, maxBusy) / recent.answers_));
}

double
ServerSpeeds::RateLimitOf(Instant aNow, const std::string& aServer) const
{
  const auto found = servers_.find(aServer);
  if (found == servers_.end() || aNow - found->second.updatedAt_ >= kRateLimitLifetime) {
    return kNoRateLimit;
  }
  return found->second.rateLimit_;
}

} // namespace latchslip
