#include "LibFleet/ReaderGuide.h"

namespace latchslip {

namespace {

// How long the first readers are waited for: three questions. With the time after
// which a silent placer is not relied on it lies within the two seconds after which a
// leaving server must get no new work.
constexpr Duration kFirstBound = milliseconds(700);
// How long an answer of a reader is good for; as of a placer.
constexpr Duration kAnswerBound = milliseconds(1500);
// Between two questions. As often as a placer that follows the store closely asks it.
constexpr Duration kAskInterval = milliseconds(500);
// The same after one that was not heard.
constexpr Duration kAskAgain = milliseconds(200);

} // namespace

void
ReaderGuide::OnRelayEnded(Instant aNow)
{
  if (isAsking_) {
    return;
  }
  isAsking_ = true;
  isHeard_ = true;
  guidedUntil_ = aNow + kFirstBound;
  nextAsk_ = aNow;
}

void
ReaderGuide::OnAnswer(Instant aNow, bool aIsHeard)
{
  isHeard_ = aIsHeard;
  if (aIsHeard) {
    guidedUntil_ = aNow + kAnswerBound;
  } else {
    nextAsk_ = std::min(nextAsk_, aNow + kAskAgain);
  }
}

std::optional<std::string>
ReaderGuide::Next(Instant aNow, const std::vector<FleetPeer>& aReaders, std::minstd_rand& aRandom)
{
  if (!IsDue(aNow) || aReaders.empty()) {
    return std::nullopt;
  }
  nextAsk_ = aNow + kAskInterval;
  // Those of the own hall while they are heard, then anybody.
  std::size_t choices = aReaders.size();
  if (isHeard_) {
    choices = 0;
    while (choices < aReaders.size() && aReaders[choices].hall_ == aReaders.front().hall_) {
      ++choices;
    }
  }
  std::uniform_int_distribution<std::size_t> draw(0, choices - 1);
  return aReaders[draw(aRandom)].address_;
}

} // namespace latchslip
