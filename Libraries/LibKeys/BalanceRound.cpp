#include "LibKeys/BalanceRound.h"

#include <algorithm>
#include <limits>
#include <map>

namespace latchslip {

namespace {

// A move must take at least this share of the mean load off the most loaded server.
constexpr double kLeastGain = 0.04;
// Maximum number of ranges that one round takes from one server. Equals the number of releases that
// may be outstanding to one server: keys that wait for their release have no owner.
constexpr std::size_t kMostTakenFromOne = 64;
// Nothing is moved while the least loaded server has more than this share of its fair share and the
// most loaded one is within its tolerance.
constexpr double kLeastPart = 0.75;
// Load estimates come from few requests. Deviations of fewer than this many standard deviations
// count as noise: among 200 equally loaded servers, the most and the least loaded deviate from the
// mean by about three.
constexpr double kChance = 3.5;
// A server below this share of its fair share receives load even if the deviation could be noise.
constexpr double kLeastPartAtAll = 0.25;

} // namespace

BalanceRound::BalanceRound(const KeyOwnership& aOwnership,
                           LoadDistribution aShares,
                           const KeyLoad& aLoad,
                           BalanceLimits aLimits)
  : ownership_(aOwnership)
  , shares_(std::move(aShares))
  , load_(aLoad)
  , limits_(aLimits)
{
}

std::optional<KeyOwnership>
BalanceRound::Run()
{
  std::map<std::string, std::size_t> taken;
  std::size_t moves = 0;
  while (moves < limits_.mostMoves_ && shares_.HasMost() && !IsEven()) {
    const auto from = shares_.Most();
    const auto move = ChooseMove();
    if (!move || ++taken[from] > kMostTakenFromOne) {
      // Its whole load may be a single key, or its ranges may already be moving.
      shares_.LeaveOut(from);
      continue;
    }
    Carry(from, *move);
    ++moves;
  }
  if (moves == 0) {
    return std::nullopt;
  }
  if (ownership_.ranges_.size() > limits_.mostRanges_ / 2) {
    MergeNeighbours();
  }
  return std::move(ownership_);
}

// Checks both ends: after a server has joined, it can be far below its fair share while no other
// server is far above.
bool
BalanceRound::IsEven() const
{
  const auto most = shares_.Most();
  const auto least = shares_.Least();
  const auto mostPart = shares_.PartOf(most);
  const auto leastPart = shares_.PartOf(least);
  const auto ceiling =
    std::max(limits_.tolerance_ * mostPart, mostPart + kChance * shares_.Noise(most));
  const auto floor =
    std::max(std::min(kLeastPart * leastPart, leastPart - kChance * shares_.Noise(least)),
             kLeastPartAtAll * leastPart);
  return shares_.LoadOf(most) < ceiling && shares_.LoadOf(least) > floor;
}

bool
BalanceRound::IsMovable(const KeyRange& aRange, const std::string& aServer) const
{
  return aRange.owner_ == aServer && aRange.previous_.empty() &&
         aRange.fence_ <= limits_.restedFence_;
}

// The receiver is filled only up to the tolerance of its fair share, because load that it has
// received cannot move on before the former owner has released it. A key that exceeds this limit is
// moved on its own.
std::optional<BalanceRound::Move>
BalanceRound::ChooseMove() const
{
  constexpr double kAnyLoad = std::numeric_limits<double>::infinity();
  const auto from = shares_.Most();
  const auto to = shares_.Least();
  const auto difference = shares_.Difference(from, to);
  const auto leastLoad = kLeastGain * shares_.MeanLevel();
  const auto most = std::min(difference, shares_.Room(to, limits_.tolerance_));
  const auto piece = BestPiece(from, most);
  if (piece && piece->load_ >= leastLoad) {
    return Move{ *piece, to };
  }
  const auto single = HottestKey(from, difference);
  if (MayCut() && single && single->load_ >= leastLoad) {
    return Move{ *single, to };
  }
  const auto strongest = shares_.Strongest();
  const auto hottest = HottestKey(from, kAnyLoad);
  if (hottest && shares_.IsBetterPlace(from, strongest, hottest->load_)) {
    return Move{ *hottest, strongest };
  }
  return std::nullopt;
}

std::optional<BalanceRound::Piece>
BalanceRound::BestPiece(const std::string& aServer, double aMost) const
{
  std::optional<Piece> best;
  for (std::size_t index = 0; index < ownership_.ranges_.size(); ++index) {
    const auto& range = ownership_.ranges_[index];
    if (!IsMovable(range, aServer)) {
      continue;
    }
    const auto piece = PieceUpTo(index, aMost);
    const bool isWhole = piece && piece->last_ == range.last_;
    if (piece && (isWhole || MayCut()) && (!best || piece->load_ > best->load_)) {
      best = piece;
    }
  }
  return best;
}

std::optional<BalanceRound::Piece>
BalanceRound::PieceUpTo(std::size_t aRange, double aMost) const
{
  const auto& range = ownership_.ranges_[aRange];
  KeyNumber low = range.first_;
  KeyNumber high = range.last_ + 1;
  // The part is [first, low); low only advances to ends that fit.
  while (low < high) {
    const auto middle = low + (high - low + 1) / 2;
    if (load_.Of(range.first_, middle - 1) <= aMost) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  if (low == range.first_) {
    return std::nullopt;
  }
  return Piece{ aRange, range.first_, low - 1, load_.Of(range.first_, low - 1) };
}

std::optional<BalanceRound::Piece>
BalanceRound::HottestKey(const std::string& aServer, double aMost) const
{
  std::optional<Piece> hottest;
  for (std::size_t index = 0; index < ownership_.ranges_.size(); ++index) {
    const auto& range = ownership_.ranges_[index];
    if (!IsMovable(range, aServer)) {
      continue;
    }
    for (KeyNumber key = range.first_; key <= range.last_; ++key) {
      const double load = load_.Of(key, key);
      if (load <= aMost && (!hottest || load > hottest->load_)) {
        hottest = Piece{ index, key, key, load };
      }
    }
  }
  return hottest;
}

void
BalanceRound::Carry(const std::string& aFrom, const Move& aMove)
{
  Give(aMove.piece_, aMove.to_);
  shares_.Add(aFrom, -aMove.piece_.load_);
  shares_.Add(aMove.to_, aMove.piece_.load_);
}

void
BalanceRound::Give(const Piece& aPiece, const std::string& aTo)
{
  auto& ranges = ownership_.ranges_;
  const auto range = ranges[aPiece.range_];
  std::vector<KeyRange> parts;
  if (range.first_ < aPiece.first_) {
    parts.push_back(range);
    parts.back().last_ = aPiece.first_ - 1;
  }
  parts.push_back({ aPiece.first_, aPiece.last_, aTo, ++ownership_.lastFence_, range.owner_ });
  if (aPiece.last_ < range.last_) {
    parts.push_back(range);
    parts.back().first_ = aPiece.last_ + 1;
  }
  const auto at = ranges.begin() + static_cast<std::ptrdiff_t>(aPiece.range_);
  ranges.insert(ranges.erase(at), parts.begin(), parts.end());
}

void
BalanceRound::MergeNeighbours()
{
  std::vector<KeyRange> merged;
  for (auto& range : ownership_.ranges_) {
    const bool isMergeable = !merged.empty() && merged.back().last_ + 1 == range.first_ &&
                             merged.back().owner_ == range.owner_ && range.previous_.empty() &&
                             merged.back().previous_.empty();
    if (isMergeable) {
      merged.back().last_ = range.last_;
      merged.back().fence_ = ++ownership_.lastFence_;
    } else {
      merged.push_back(std::move(range));
    }
  }
  ownership_.ranges_ = std::move(merged);
}

} // namespace latchslip
