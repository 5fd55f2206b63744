#include "AnswerPromises.h"

#include "LibNet/MonotonicClock.h"

#include <algorithm>

namespace latchslip::platform {

namespace {

// A request that a client sent later than this after an instance had passed on that a server
// leaves must not reach that server from there.
constexpr Duration kDrainBound = seconds(2);
// What comes so soon after a server asked for rest was under way.
constexpr Duration kUnderWay = milliseconds(500);
// So many requests may come in a rest beside these.
constexpr int kMostInRest = 2;

} // namespace

void
AnswerPromises::OnAsked(const std::string& aRequest, const std::string& aInstance)
{
  requests_[aRequest] = { aInstance, MonotonicNow(), {} };
}

void
AnswerPromises::OnRun(const std::string& aServer, const std::string& aRequest)
{
  requests_[aRequest].ranAt_ = aServer;
}

void
AnswerPromises::OnLeavingPassedOn(const std::string& aRequest)
{
  const auto& request = requests_[aRequest];
  auto& passedOn = words_[{ request.instance_, request.ranAt_ }].leavingPassedOn_;
  passedOn = passedOn.value_or(MonotonicNow());
}

std::optional<std::string>
AnswerPromises::OnArrival(const std::string& aServer, const std::string& aRequest)
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
  const auto now = MonotonicNow();
  word.arrivals_ += now > word.restFrom_ + kUnderWay && now < word.restUntil_ ? 1 : 0;
  return word.arrivals_ > kMostInRest
           ? std::optional("BUDGET " + who + ", which wants nothing from it")
           : std::nullopt;
}

void
AnswerPromises::OnTurnedAway(const std::string& aServer,
                             const std::string& aRequest,
                             Duration aRest)
{
  if (harmed_.contains(aServer)) {
    return;
  }
  auto& word = words_[{ requests_[aRequest].instance_, aServer }];
  const auto now = MonotonicNow();
  if (now >= word.restUntil_) {
    word.restFrom_ = now;
    word.restUntil_ = now + aRest;
    word.arrivals_ = 0;
  }
}

void
AnswerPromises::ExcuseInstance(const std::string& aInstance)
{
  std::erase_if(words_, [&](const auto& aEntry) { return aEntry.first.first == aInstance; });
}

void
AnswerPromises::SetHarmed(const std::string& aServer, bool aIsHarmed)
{
  std::erase_if(words_, [&](const auto& aEntry) { return aEntry.first.second == aServer; });
  if (aIsHarmed) {
    harmed_.insert(aServer);
  } else {
    harmed_.erase(aServer);
  }
}

} // namespace latchslip::platform
