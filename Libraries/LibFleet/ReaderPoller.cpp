#include "LibFleet/ReaderPoller.h"

#include <algorithm>

namespace latchslip {

namespace {

// Time allowed for the first answer, enough for three requests. Together with the time after which
// a silent placer is not relied on, it is within the two seconds after which a leaving server must
// get no new work.
constexpr Duration kFirstAnswerTimeout = milliseconds(700);
// How long an answer of a reader is relied on; the same as for an answer of the placer.
constexpr Duration kAnswerLifetime = milliseconds(1500);
// Interval between requests; as often as a placer polls the store.
constexpr Duration kRequestInterval = milliseconds(500);
// Interval after a request without an answer, or an answer of a reader that does not reach the
// store.
constexpr Duration kRetryInterval = milliseconds(200);
// After more consecutive answers than this from readers that cannot reach the store, the store
// counts as down for all instances, and requests return to the usual interval.
constexpr unsigned kMaxStorelessAnswers = 6;

} // namespace

void
ReaderPoller::OnPlacerUnreliable(Instant aNow)
{
  if (isPolling_) {
    return;
  }
  isPolling_ = true;
  reachableReader_.clear();
  failedReaders_.clear();
  storelessAnswers_ = 0;
  reliableUntil_ = aNow + kFirstAnswerTimeout;
  nextRequestAt_ = aNow;
}

void
ReaderPoller::OnAnswer(Instant aNow, const std::string& aReader, StoreReachability aReachability)
{
  const bool isReachable = aReachability == StoreReachability::Reachable;
  reachableReader_ = isReachable ? aReader : std::string();
  if (isReachable) {
    failedReaders_.clear();
  } else {
    failedReaders_.insert(aReader);
  }
  storelessAnswers_ = aReachability == StoreReachability::Unreachable ? storelessAnswers_ + 1 : 0;
  if (aReachability != StoreReachability::NotPolling) {
    reliableUntil_ = aNow + kAnswerLifetime;
  }
  if (!isReachable && storelessAnswers_ <= kMaxStorelessAnswers) {
    nextRequestAt_ = std::min(nextRequestAt_, aNow + kRetryInterval);
  }
}

std::optional<std::string>
ReaderPoller::NextReader(Instant aNow,
                         const std::vector<FleetPeer>& aReaders,
                         std::minstd_rand& aRandom)
{
  if (!IsRequestDue(aNow) || aReaders.empty()) {
    return std::nullopt;
  }
  nextRequestAt_ = aNow + kRequestInterval;
  const bool isListed =
    std::any_of(aReaders.begin(), aReaders.end(), [this](const FleetPeer& aReader) {
      return aReader.address_ == reachableReader_;
    });
  if (isListed) {
    return reachableReader_;
  }
  // Every reader is asked once before any is asked again, those of the own hall first.
  std::vector<const FleetPeer*> choices;
  const auto isUntried = [this](const FleetPeer& aReader) {
    return !failedReaders_.contains(aReader.address_);
  };
  if (std::none_of(aReaders.begin(), aReaders.end(), isUntried)) {
    failedReaders_.clear();
  }
  for (const auto& reader : aReaders) {
    const bool isNearest = choices.empty() || reader.hall_ == choices.front()->hall_;
    if (isUntried(reader) && isNearest) {
      choices.push_back(&reader);
    }
  }
  std::uniform_int_distribution<std::size_t> draw(0, choices.size() - 1);
  return choices[draw(aRandom)]->address_;
}

} // namespace latchslip
