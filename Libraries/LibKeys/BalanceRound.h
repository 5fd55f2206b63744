#pragma once

#include "LibKeys/KeyLoad.h"
#include "LibKeys/KeyOwnership.h"
#include "LibKeys/ServerShares.h"

#include <cstddef>
#include <optional>
#include <string>

namespace latchslip {

// How far one round of evening out may go.
struct BalanceLimits
{
  // The busiest server may have this multiple of the mean.
  double tolerance_ = 1;
  // With so many ranges none is cut further.
  std::size_t mostRanges_ = 0;
  // Ranges that may move.
  std::size_t mostMoves_ = 0;
  // Ranges with fences above this one have moved lately and stay.
  FenceNumber restedFence_ = 0;
};

// One round of evening out: moves ranges, or pieces of them, from the busiest servers
// to the least busy ones until the load is even enough or a limit is reached.
class BalanceRound
{
public:
  // aShares is the load of the servers by aOwnership and aLoad, and is not empty.
  BalanceRound(const KeyOwnership& aOwnership,
               ServerShares aShares,
               const KeyLoad& aLoad,
               BalanceLimits aLimits);

  // Once only. No value when the load is even enough, or nothing can be moved.
  std::optional<KeyOwnership> Run();

private:
  // A piece of one range.
  struct Piece
  {
    std::size_t range_ = 0;
    KeyNumber first_ = 0;
    KeyNumber last_ = 0;
    double load_ = 0;
  };

  // A piece to be taken from the busiest server, and who gets it.
  struct Move
  {
    Piece piece_;
    std::string to_;
  };

  bool IsEven() const;
  // Whether there may be more ranges than there are.
  bool MayCut() const { return ownership_.ranges_.size() < limits_.mostRanges_; }
  // Whether a range may be taken from that server for load: it owns the range, no
  // former owner has to let go of it first, and it has not moved lately.
  bool IsMovable(const KeyRange& aRange, const std::string& aServer) const;
  // The move from the busiest server to the least busy one that evens out best; no
  // value when none is worth its cost.
  std::optional<Move> ChooseMove() const;
  // The piece of that server whose load comes closest to aMost from below.
  std::optional<Piece> BestPiece(const std::string& aServer, double aMost) const;
  // The longest piece from the beginning of a range whose load is at most aMost; no
  // value when already the first key has more.
  std::optional<Piece> PieceUpTo(std::size_t aRange, double aMost) const;
  // The single key of that server with the most load of those that have at most
  // aMost, as a piece.
  std::optional<Piece> HottestKey(const std::string& aServer, double aMost) const;
  // Takes the piece from a server and counts its load at the new owner.
  void Carry(const std::string& aFrom, const Move& aMove);
  // Gives a piece of a range to another server; what is left keeps its owner.
  void Give(const Piece& aPiece, const std::string& aTo);
  // Makes one range of neighbours with one owner. The owner holds the keys under
  // either fence, so nothing stops for it.
  void MergeNeighbours();

  // As the round has made it so far.
  KeyOwnership ownership_;
  ServerShares shares_;
  const KeyLoad& load_;
  BalanceLimits limits_;
};

} // namespace latchslip
