#include "LibKeys/KeyBalancer.h"

#include "LibKeys/ServerShares.h"

#include <algorithm>
#include <limits>
#include <map>

namespace latchslip {

namespace {

// Ranges that every service is cut into at the least when it is first dealt:
// busy keys lie close together, so each server gets several distant pieces.
constexpr std::size_t kFirstRanges = 64;
// Ranges beyond this multiple of the servers (and at least the number above)
// are not cut further: each costs an order at every renewal.
constexpr std::size_t kMostRangesPerServer = 8;
// A move must take at least this part of the mean load off the busiest server.
constexpr double kLeastGain = 0.04;
// One range may move in a round for this many servers: keys that get hot lie close
// together, most of them at one server, and are more than the others can take in a
// few moves.
constexpr std::size_t kServersAMove = 2;
// Ranges that one round takes from one server at the most, as many as can be let go
// of together: keys that wait to be let go of have no owner.
constexpr std::size_t kMostTakenFromOne = 64;
// Nothing moves for load while the least busy server has more than this part of
// the mean and the busiest is within its tolerance.
constexpr double kLeastPart = 0.75;
// Loads are told from few requests. Differences of this many standard deviations
// are taken for chance: among 200 equal servers, the busiest and the least busy
// differ from the mean by about three.
constexpr double kChance = 3.5;
// But a server that has less than this part of what it should have is given more.
constexpr double kLeastPartAtAll = 0.25;

// A piece of one range.
struct Piece
{
  std::size_t range_ = 0;
  KeyNumber first_ = 0;
  KeyNumber last_ = 0;
  double load_ = 0;
};

// The longest piece from the beginning of a range whose load is at most aMost;
// empty (last before first) when already the first key has more.
Piece
PieceUpTo(const KeyRange& aRange, std::size_t aIndex, const KeyLoad& aLoad, double aMost)
{
  KeyNumber low = aRange.first_;
  KeyNumber high = aRange.last_ + 1;
  // The piece is [first, low); low only moves to ends that fit.
  while (low < high) {
    const auto middle = low + (high - low + 1) / 2;
    if (aLoad.Of(aRange.first_, middle - 1) <= aMost) {
      low = middle;
    } else {
      high = middle - 1;
    }
  }
  if (low == aRange.first_) {
    return { aIndex, 1, 0, 0 };
  }
  return { aIndex, aRange.first_, low - 1, aLoad.Of(aRange.first_, low - 1) };
}

// Whether a range may be taken from that server for load: it owns the range, no
// former owner has to let go of it first, and it has not moved lately.
bool
IsMovable(const KeyRange& aRange, const std::string& aServer, FenceNumber aRestedFence)
{
  return aRange.owner_ == aServer && aRange.previous_.empty() && aRange.fence_ <= aRestedFence;
}

// The piece of that server whose load comes closest to aMost from below.
std::optional<Piece>
BestPiece(const KeyOwnership& aOwnership,
          const std::string& aServer,
          const KeyLoad& aLoad,
          FenceNumber aRestedFence,
          double aMost,
          bool aMayCut)
{
  std::optional<Piece> best;
  for (std::size_t index = 0; index < aOwnership.ranges_.size(); ++index) {
    const auto& range = aOwnership.ranges_[index];
    if (!IsMovable(range, aServer, aRestedFence)) {
      continue;
    }
    const auto piece = PieceUpTo(range, index, aLoad, aMost);
    const bool isPiece = piece.first_ <= piece.last_;
    const bool isWhole = isPiece && piece.last_ == range.last_;
    if (isPiece && (isWhole || aMayCut) && (!best || piece.load_ > best->load_)) {
      best = piece;
    }
  }
  return best;
}

// Gives a piece of a range to another server; what is left keeps its owner.
void
Give(KeyOwnership& aOwnership, const Piece& aPiece, const std::string& aTo)
{
  const auto range = aOwnership.ranges_[aPiece.range_];
  std::vector<KeyRange> parts;
  if (range.first_ < aPiece.first_) {
    parts.push_back(range);
    parts.back().last_ = aPiece.first_ - 1;
  }
  parts.push_back({ aPiece.first_, aPiece.last_, aTo, ++aOwnership.lastFence_, range.owner_ });
  if (aPiece.last_ < range.last_) {
    parts.push_back(range);
    parts.back().first_ = aPiece.last_ + 1;
  }
  const auto at = aOwnership.ranges_.begin() + static_cast<std::ptrdiff_t>(aPiece.range_);
  aOwnership.ranges_.insert(aOwnership.ranges_.erase(at), parts.begin(), parts.end());
}

// The single key of that server with the most load of those that have at most
// aMost, as a piece.
std::optional<Piece>
HottestKey(const KeyOwnership& aOwnership,
           const std::string& aServer,
           const KeyLoad& aLoad,
           FenceNumber aRestedFence,
           double aMost)
{
  std::optional<Piece> hottest;
  for (std::size_t index = 0; index < aOwnership.ranges_.size(); ++index) {
    const auto& range = aOwnership.ranges_[index];
    if (!IsMovable(range, aServer, aRestedFence)) {
      continue;
    }
    for (KeyNumber key = range.first_; key <= range.last_; ++key) {
      const double load = aLoad.Of(key, key);
      if (load <= aMost && (!hottest || load > hottest->load_)) {
        hottest = Piece{ index, key, key, load };
      }
    }
  }
  return hottest;
}

// Makes one range of neighbours with one owner. The owner holds the keys under
// either fence, so nothing stops for it.
void
MergeNeighbours(KeyOwnership& aOwnership)
{
  std::vector<KeyRange> merged;
  for (auto& range : aOwnership.ranges_) {
    const bool isMergeable = !merged.empty() && merged.back().last_ + 1 == range.first_ &&
                             merged.back().owner_ == range.owner_ && range.previous_.empty() &&
                             merged.back().previous_.empty();
    if (isMergeable) {
      merged.back().last_ = range.last_;
      merged.back().fence_ = ++aOwnership.lastFence_;
    } else {
      merged.push_back(std::move(range));
    }
  }
  aOwnership.ranges_ = std::move(merged);
}

// A piece to be taken from the busiest server, and who gets it.
struct Move
{
  Piece piece_;
  std::string to_;
};

// The move from the busiest server to the least busy one that evens out best; no
// value when none is worth its cost. The receiver is filled up to aTolerance of
// its part only: what it got cannot pass on before the former owner has let go of
// it. A key that has more than that goes alone.
std::optional<Move>
ChooseMove(const KeyOwnership& aOwnership,
           const ServerShares& aShares,
           const KeyLoad& aLoad,
           FenceNumber aRestedFence,
           double aTolerance,
           bool aMayCut)
{
  constexpr double kAnyLoad = std::numeric_limits<double>::infinity();
  const auto from = aShares.Most();
  const auto to = aShares.Least();
  const auto difference = aShares.Difference(from, to);
  const auto leastLoad = kLeastGain * aShares.MeanLevel();
  const auto most = std::min(difference, aShares.Room(to, aTolerance));
  const auto piece = BestPiece(aOwnership, from, aLoad, aRestedFence, most, aMayCut);
  if (piece && piece->load_ >= leastLoad) {
    return Move{ *piece, to };
  }
  const auto single = HottestKey(aOwnership, from, aLoad, aRestedFence, difference);
  if (aMayCut && single && single->load_ >= leastLoad) {
    return Move{ *single, to };
  }
  const auto strongest = aShares.Strongest();
  const auto hottest = HottestKey(aOwnership, from, aLoad, aRestedFence, kAnyLoad);
  if (hottest && aShares.IsBetterPlace(from, strongest, hottest->load_)) {
    return Move{ *hottest, strongest };
  }
  return std::nullopt;
}

// A server that joined may lie far below while no other lies far above.
bool
IsEven(const ServerShares& aShares, double aTolerance)
{
  const auto most = aShares.Most();
  const auto least = aShares.Least();
  const auto mostPart = aShares.PartOf(most);
  const auto leastPart = aShares.PartOf(least);
  const auto ceiling = std::max(aTolerance * mostPart, mostPart + kChance * aShares.Noise(most));
  const auto floor =
    std::max(std::min(kLeastPart * leastPart, leastPart - kChance * aShares.Noise(least)),
             kLeastPartAtAll * leastPart);
  return aShares.LoadOf(most) < ceiling && aShares.LoadOf(least) > floor;
}

} // namespace

KeyBalancer::KeyBalancer(KeyBalancerSettings aSettings)
  : settings_(aSettings)
{
}

KeyOwnership
KeyBalancer::DealAll(const std::string& aService,
                     FenceNumber aLastFence,
                     const std::vector<KeyServer>& aServers)
{
  KeyOwnership ownership;
  ownership.service_ = aService;
  ownership.lastFence_ = aLastFence;
  std::vector<const KeyServer*> usable;
  for (const auto& server : aServers) {
    if (server.isUsable_) {
      usable.push_back(&server);
    }
  }
  if (usable.empty()) {
    return ownership;
  }
  const auto count = std::max(kFirstRanges, usable.size());
  constexpr auto kKeys = static_cast<std::size_t>(kLastKey) + 1;
  for (std::size_t index = 0; index < count; ++index) {
    const auto first = static_cast<KeyNumber>(kKeys * index / count);
    const auto last = static_cast<KeyNumber>(kKeys * (index + 1) / count - 1);
    const auto& owner = usable[index % usable.size()]->id_;
    ownership.ranges_.push_back({ first, last, owner, ++ownership.lastFence_, "" });
  }
  return ownership;
}

std::optional<KeyOwnership>
KeyBalancer::Replace(const KeyOwnership& aOwnership,
                     const std::vector<KeyServer>& aServers,
                     const KeyLoad& aLoad)
{
  ServerShares shares(aOwnership, aServers, aLoad);
  if (shares.IsEmpty()) {
    return std::nullopt;
  }
  auto next = aOwnership;
  bool isChanged = false;
  for (auto& range : next.ranges_) {
    // A range whose former owner may still hold it waits for that first.
    if (FindUsable(aServers, range.owner_) != nullptr || !range.previous_.empty()) {
      continue;
    }
    const auto to = shares.Least();
    shares.Add(to, aLoad.Of(range.first_, range.last_));
    range.previous_ = range.owner_;
    range.owner_ = to;
    range.fence_ = ++next.lastFence_;
    isChanged = true;
  }
  return isChanged ? std::optional(std::move(next)) : std::nullopt;
}

std::optional<KeyOwnership>
KeyBalancer::EvenOut(const KeyOwnership& aOwnership,
                     const std::vector<KeyServer>& aServers,
                     const KeyLoad& aLoad,
                     FenceNumber aRestedFence) const
{
  ServerShares shares(aOwnership, aServers, aLoad);
  if (shares.IsEmpty()) {
    return std::nullopt;
  }
  auto next = aOwnership;
  const auto mostRanges = std::max(2 * kFirstRanges, kMostRangesPerServer * aServers.size());
  const auto mostMoves = std::max(settings_.leastMoves_, aServers.size() / kServersAMove);
  std::map<std::string, std::size_t> taken;
  std::size_t moves = 0;
  while (moves < mostMoves && shares.HasMost() && !IsEven(shares, settings_.tolerance_)) {
    const auto from = shares.Most();
    const auto move = ChooseMove(
      next, shares, aLoad, aRestedFence, settings_.tolerance_, next.ranges_.size() < mostRanges);
    if (!move || ++taken[from] > kMostTakenFromOne) {
      // One key may be all its load, or its ranges are on their way already.
      shares.LeaveOut(from);
      continue;
    }
    Give(next, move->piece_, move->to_);
    shares.Add(from, -move->piece_.load_);
    shares.Add(move->to_, move->piece_.load_);
    ++moves;
  }
  const bool isChanged = moves > 0;
  if (isChanged && next.ranges_.size() > mostRanges / 2) {
    MergeNeighbours(next);
  }
  return isChanged ? std::optional(std::move(next)) : std::nullopt;
}

} // namespace latchslip
