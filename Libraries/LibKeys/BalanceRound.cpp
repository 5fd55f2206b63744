#include "LibKeys/BalanceRound.h"

#include <algorithm>
#include <limits>
#include <map>

namespace latchslip {

namespace {

// A move must take at least this share of the mean load off the most loaded server.
constexpr double kMinMoveGain = 0.04;
// Maximum number of ranges that one round takes from one server. Equals the number of releases that
// may be outstanding to one server: keys that wait for their release have no owner.
constexpr std::size_t kMaxMovesFromServer = 64;
// Nothing is moved while the least loaded server has more than this share of its fair share and the
// most loaded one is within its tolerance.
constexpr double kMinLoadShare = 0.75;
// Load estimates come from few requests. Deviations of fewer than this many standard deviations
// count as noise: among 200 equally loaded servers, the most and the least loaded deviate from the
// mean by about three.
constexpr double kNoiseDeviations = 3.5;
// A server below this share of its fair share receives load even if the deviation could be noise.
constexpr double kStarvedLoadShare = 0.25;

} // namespace

BalanceRound::BalanceRound(const KeyOwnership& aOwnership,
                           LoadDistribution aDistribution,
                           const KeyLoad& aLoad,
                           BalanceLimits aLimits)
  : ownership_(aOwnership)
  , lastFence_(aOwnership.lastFence_)
  , distribution_(std::move(aDistribution))
  , load_(aLoad)
  , limits_(aLimits)
{
}

std::optional<KeyOwnership>
BalanceRound::Run()
{
  if (IsBalanced()) {
    return std::nullopt;
  }
  IndexRanges();
  std::map<std::string, std::size_t> taken;
  std::size_t moves = 0;
  while (moves < limits_.maxMoves_ && distribution_.HasCandidate() && !IsBalanced()) {
    const auto from = distribution_.MostLoaded();
    const auto move = ChooseMove();
    if (!move || ++taken[from] > kMaxMovesFromServer) {
      // Its whole load may be a single key, or its ranges may already be moving.
      distribution_.Exclude(from);
      continue;
    }
    ApplyMove(from, *move);
    ++moves;
  }
  if (moves == 0) {
    return std::nullopt;
  }
  auto result = TakeResult();
  if (result.ranges_.size() > limits_.maxRanges_ / 2) {
    MergeAdjacentRanges(result);
  }
  return result;
}

void
BalanceRound::IndexRanges()
{
  for (const auto& range : ownership_.ranges_) {
    Insert(range);
  }
}

void
BalanceRound::Insert(KeyRange aRange)
{
  rangesOf_[aRange.owner_].insert(aRange.first_);
  const auto first = aRange.first_;
  ranges_.insert_or_assign(first, std::move(aRange));
}

const std::set<KeyNumber>&
BalanceRound::RangesOf(const std::string& aServer) const
{
  static const std::set<KeyNumber> kNone;
  const auto found = rangesOf_.find(aServer);
  return found == rangesOf_.end() ? kNone : found->second;
}

KeyOwnership
BalanceRound::TakeResult()
{
  KeyOwnership result{ ownership_.service_, lastFence_, {}, ownership_.epoch_ };
  result.ranges_.reserve(ranges_.size());
  for (auto& [first, range] : ranges_) {
    result.ranges_.push_back(std::move(range));
  }
  return result;
}

// Checks both ends: after a server has joined, it can be far below its fair share while no other
// server is far above.
bool
BalanceRound::IsBalanced() const
{
  const auto most = distribution_.MostLoaded();
  const auto least = distribution_.LeastLoaded();
  const auto mostFairShare = distribution_.FairShareOf(most);
  const auto leastFairShare = distribution_.FairShareOf(least);
  const auto ceiling =
    std::max(limits_.tolerance_ * mostFairShare,
             mostFairShare + kNoiseDeviations * distribution_.SamplingError(most));
  const auto floor =
    std::max(std::min(kMinLoadShare * leastFairShare,
                      leastFairShare - kNoiseDeviations * distribution_.SamplingError(least)),
             kStarvedLoadShare * leastFairShare);
  return distribution_.LoadOf(most) < ceiling && distribution_.LoadOf(least) > floor;
}

bool
BalanceRound::IsMovable(const KeyRange& aRange) const
{
  return aRange.previous_.empty() && aRange.fence_ <= limits_.maxMovableFence_;
}

bool
BalanceRound::IsWholeRange(const RangePart& aPart) const
{
  const auto& range = ranges_.at(aPart.range_);
  return range.first_ == aPart.first_ && range.last_ == aPart.last_;
}

// The receiver is filled only up to the tolerance of its fair share, because load that it has
// received cannot move on before the former owner has released it. A key that exceeds this limit is
// moved on its own.
std::optional<BalanceRound::Move>
BalanceRound::ChooseMove() const
{
  constexpr double kAnyLoad = std::numeric_limits<double>::infinity();
  const auto from = distribution_.MostLoaded();
  const auto to = distribution_.LeastLoaded();
  const auto difference = distribution_.TransferToLevel(from, to);
  const auto minLoad = kMinMoveGain * distribution_.MeanLevel();
  const auto most = std::min(difference, distribution_.Headroom(to, limits_.tolerance_));
  const auto part = FindBestPart(from, most);
  if (part && part->load_ >= minLoad) {
    return Move{ *part, to };
  }
  const auto single = FindHottestKey(from, difference);
  if (CanSplit() && single && single->load_ >= minLoad) {
    return Move{ *single, to };
  }
  const auto strongest = distribution_.HighestWeight();
  const auto hottest = FindHottestKey(from, kAnyLoad);
  if (hottest && (CanSplit() || IsWholeRange(*hottest)) &&
      distribution_.FitsBetter(from, strongest, hottest->load_)) {
    return Move{ *hottest, strongest };
  }
  return std::nullopt;
}

std::optional<BalanceRound::RangePart>
BalanceRound::FindBestPart(const std::string& aServer, double aMaxLoad) const
{
  std::optional<RangePart> best;
  for (const auto first : RangesOf(aServer)) {
    const auto& range = ranges_.at(first);
    if (!IsMovable(range)) {
      continue;
    }
    const auto part = LongestPrefix(range, aMaxLoad);
    const bool isWhole = part && part->last_ == range.last_;
    if (part && (isWhole || CanSplit()) && (!best || part->load_ > best->load_)) {
      best = part;
    }
  }
  return best;
}

std::optional<BalanceRound::RangePart>
BalanceRound::LongestPrefix(const KeyRange& aRange, double aMaxLoad) const
{
  KeyNumber low = aRange.first_;
  KeyNumber high = aRange.last_ + 1;
  // The part is [first, low); low only advances to ends that fit.
  while (low < high) {
    const auto middle = low + (high - low + 1) / 2;
    if (load_.Between(aRange.first_, middle - 1) <= aMaxLoad) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  if (low == aRange.first_) {
    return std::nullopt;
  }
  return RangePart{ aRange.first_, aRange.first_, low - 1, load_.Between(aRange.first_, low - 1) };
}

std::optional<BalanceRound::RangePart>
BalanceRound::FindHottestKey(const std::string& aServer, double aMaxLoad) const
{
  std::optional<RangePart> hottest;
  for (const auto first : RangesOf(aServer)) {
    const auto& range = ranges_.at(first);
    if (!IsMovable(range)) {
      continue;
    }
    for (KeyNumber key = range.first_; key <= range.last_; ++key) {
      const double load = load_.Between(key, key);
      if (load <= aMaxLoad && (!hottest || load > hottest->load_)) {
        hottest = RangePart{ first, key, key, load };
      }
    }
  }
  return hottest;
}

void
BalanceRound::ApplyMove(const std::string& aFrom, const Move& aMove)
{
  Reassign(aMove.rangePart_, aMove.to_);
  distribution_.Add(aFrom, -aMove.rangePart_.load_);
  distribution_.Add(aMove.to_, aMove.rangePart_.load_);
}

void
BalanceRound::Reassign(const RangePart& aPart, const std::string& aTo)
{
  const auto node = ranges_.extract(aPart.range_);
  const auto& range = node.mapped();
  rangesOf_.at(range.owner_).erase(range.first_);
  if (range.first_ < aPart.first_) {
    auto before = range;
    before.last_ = aPart.first_ - 1;
    Insert(std::move(before));
  }
  Insert({ aPart.first_, aPart.last_, aTo, IssueFences(lastFence_), range.owner_ });
  if (aPart.last_ < range.last_) {
    auto after = range;
    after.first_ = aPart.last_ + 1;
    Insert(std::move(after));
  }
}

void
BalanceRound::MergeAdjacentRanges(KeyOwnership& aOwnership)
{
  std::vector<KeyRange> merged;
  for (auto& range : aOwnership.ranges_) {
    const bool isMergeable = !merged.empty() && merged.back().last_ + 1 == range.first_ &&
                             merged.back().owner_ == range.owner_ && range.previous_.empty() &&
                             merged.back().previous_.empty();
    if (isMergeable) {
      merged.back().last_ = range.last_;
      merged.back().fence_ = IssueFences(aOwnership.lastFence_);
    } else {
      merged.push_back(std::move(range));
    }
  }
  aOwnership.ranges_ = std::move(merged);
}

} // namespace latchslip
