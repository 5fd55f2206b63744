#include "LibFleet/ReaderPoller.h"

#include <algorithm>

namespace latchslip {

namespace {

// Time allowed for the first answer, enough for three requests. Together with the time after which
// a silent placer is not relied on, it is within the two seconds after which a leaving server must
// get no new work.
constexpr Duration kFirstBound = milliseconds(700);
// How long an answer of a reader is relied on; the same as for an answer of the placer.
constexpr Duration kAnswerBound = milliseconds(1500);
// Interval between requests; as often as a placer polls the store.
constexpr Duration kAskInterval = milliseconds(500);
// Interval after a request without an answer, or an answer of a reader that does not reach the
// store.
constexpr Duration kAskAgain = milliseconds(200);
// After more consecutive answers than this from readers that cannot reach the store, the store
// counts as down for all instances, and requests return to the usual interval.
constexpr unsigned kMostWithoutStore = 6;

} // namespace

void
ReaderPoller::OnRelayEnded(Instant aNow)
{
  if (isAsking_) {
    return;
  }
  isAsking_ = true;
  heard_.clear();
  inVain_.clear();
  withoutStore_ = 0;
  guidedUntil_ = aNow + kFirstBound;
  nextAsk_ = aNow;
}

void
ReaderPoller::OnAnswer(Instant aNow, const std::string& aReader, StoreReachability aSight)
{
  const bool isHeard = aSight == StoreReachability::Reachable;
  heard_ = isHeard ? aReader : std::string();
  if (isHeard) {
    inVain_.clear();
  } else {
    inVain_.insert(aReader);
  }
  withoutStore_ = aSight == StoreReachability::Unreachable ? withoutStore_ + 1 : 0;
  if (aSight != StoreReachability::NotPolling) {
    guidedUntil_ = aNow + kAnswerBound;
  }
  if (!isHeard && withoutStore_ <= kMostWithoutStore) {
    nextAsk_ = std::min(nextAsk_, aNow + kAskAgain);
  }
}

std::optional<std::string>
ReaderPoller::Next(Instant aNow, const std::vector<FleetPeer>& aReaders, std::minstd_rand& aRandom)
{
  if (!IsDue(aNow) || aReaders.empty()) {
    return std::nullopt;
  }
  nextAsk_ = aNow + kAskInterval;
  const bool isThere =
    std::any_of(aReaders.begin(), aReaders.end(), [this](const FleetPeer& aReader) {
      return aReader.address_ == heard_;
    });
  if (isThere) {
    return heard_;
  }
  // Every reader is asked once before any is asked again, those of the own hall first.
  std::vector<const FleetPeer*> choices;
  const auto isLeft = [this](const FleetPeer& aReader) {
    return !inVain_.contains(aReader.address_);
  };
  if (std::none_of(aReaders.begin(), aReaders.end(), isLeft)) {
    inVain_.clear();
  }
  for (const auto& reader : aReaders) {
    const bool isNear = choices.empty() || reader.hall_ == choices.front()->hall_;
    if (isLeft(reader) && isNear) {
      choices.push_back(&reader);
    }
  }
  std::uniform_int_distribution<std::size_t> draw(0, choices.size() - 1);
  return choices[draw(aRandom)]->address_;
}

} // namespace latchslip
