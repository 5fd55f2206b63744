#pragma once

#include "LibKeys/KeyLoad.h"
#include "LibKeys/KeyOwnership.h"
#include "LibKeys/LoadDistribution.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace latchslip {

// Bounds on the changes that one rebalancing round may make.
struct BalanceLimits
{
  // The most loaded server may carry up to this multiple of its fair share.
  double tolerance_ = 1;
  // Ranges are split no further once there are this many.
  std::size_t maxRanges_ = 0;
  // Maximum number of ranges moved in the round.
  std::size_t maxMoves_ = 0;
  // Ranges with a fence above this one moved recently and are in their cooldown; they are not
  // moved.
  FenceNumber maxMovableFence_ = 0;
};

// One rebalancing round: greedily moves ranges, or parts of them, from the most loaded servers to
// the least loaded ones until the load is balanced within the tolerance or a limit is reached. A
// move looks at the ranges of one server only, so that a round grows with the number of servers,
// not with its square. Used by KeyBalancer.
class BalanceRound
{
public:
  // aDistribution is the load of the servers under aOwnership and aLoad. It must not be empty.
  // aOwnership and aLoad must outlive the round.
  BalanceRound(const KeyOwnership& aOwnership,
               LoadDistribution aDistribution,
               const KeyLoad& aLoad,
               BalanceLimits aLimits);

  // May be called once. Returns the new ownership, or no value when the load is balanced or no move
  // is possible.
  std::optional<KeyOwnership> Run();

private:
  // A contiguous part of one range.
  struct RangePart
  {
    // First key of the range.
    KeyNumber range_ = 0;
    KeyNumber first_ = 0;
    KeyNumber last_ = 0;
    double load_ = 0;
  };

  // A part taken from the most loaded server, with the id of the server that receives it.
  struct Move
  {
    RangePart rangePart_;
    std::string to_;
  };

  // Builds the indexes of the ranges.
  void IndexRanges();
  bool IsBalanced() const;
  // Whether a range may be split without exceeding the limit on the number of ranges.
  bool CanSplit() const { return ranges_.size() < limits_.maxRanges_; }
  // Whether the range may be moved away from its owner to balance load: no former owner has yet to
  // release it, and it is not in its cooldown.
  bool IsMovable(const KeyRange& aRange) const;
  bool IsWholeRange(const RangePart& aPart) const;
  // The move off the most loaded server that improves the balance most; no value when no move gains
  // enough to justify the interruption of its keys.
  std::optional<Move> ChooseMove() const;
  // The part of a range of aServer with the highest load of at most aMost.
  std::optional<RangePart> FindBestPart(const std::string& aServer, double aMaxLoad) const;
  // The longest prefix of a range with a load of at most aMost; no value when the first key alone
  // exceeds it.
  std::optional<RangePart> LongestPrefix(const KeyRange& aRange, double aMaxLoad) const;
  // The single key of aServer with the highest load of at most aMost, as a part of its range.
  std::optional<RangePart> FindHottestKey(const std::string& aServer, double aMaxLoad) const;
  // Applies the move to the ownership and to the accounted load of both servers.
  void ApplyMove(const std::string& aFrom, const Move& aMove);
  // Assigns part of a range to another server under a new fence; the remainder keeps its owner and
  // fence.
  void Reassign(const RangePart& aPart, const std::string& aTo);
  void Insert(KeyRange aRange);
  // The first keys of the server's ranges.
  const std::set<KeyNumber>& RangesOf(const std::string& aServer) const;
  // The ownership with the moves made.
  KeyOwnership TakeResult();
  // Merges adjacent ranges of one owner under a new fence. The owner keeps serving the keys under
  // either fence, so the merge does not interrupt them.
  static void MergeAdjacentRanges(KeyOwnership& aOwnership);

  const KeyOwnership& ownership_;
  // The ranges with the moves made so far, by their first key.
  std::map<KeyNumber, KeyRange> ranges_;
  // The first keys of each server's ranges, by owner.
  std::map<std::string, std::set<KeyNumber>> rangesOf_;
  // The highest fence issued so far.
  FenceNumber lastFence_ = 0;
  LoadDistribution distribution_;
  const KeyLoad& load_;
  BalanceLimits limits_;
};

} // namespace latchslip
