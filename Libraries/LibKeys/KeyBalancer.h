#pragma once

#include "LibKeys/KeyLoad.h"
#include "LibKeys/KeyOwnership.h"
#include "LibKeys/KeyServer.h"

#include <optional>
#include <string>
#include <vector>

namespace latchslip {

// How eagerly keys are moved to balance load.
struct KeyBalancerSettings
{
  // The most loaded server may carry up to this multiple of its fair share.
  double tolerance_ = 1.25;
  // Ranges that one round may move to balance load, irrespective of the number of servers.
  std::size_t minMoves_ = 8;
};

// Decides which servers own which keys: the initial assignment, the replacement of owners that are
// gone, and rebalancing by load. Each function proposes a new ownership under higher fences;
// OwnershipPlacer commits and enforces it.
class KeyBalancer
{
public:
  explicit KeyBalancer(KeyBalancerSettings aSettings);

  // Assigns all keys of a service that has no owners yet, in equal ranges round-robin over the
  // usable servers, with fences above aLastFence. The result has no ranges when no server is
  // usable.
  static KeyOwnership AssignAll(const std::string& aService,
                                FenceNumber aLastFence,
                                const KeyServers& aServers);

  // Reassigns the ranges of unusable servers to the least loaded usable ones. No value when nothing
  // changes or no server is usable.
  static std::optional<KeyOwnership> ReplaceOwners(const KeyOwnership& aOwnership,
                                                   const KeyServers& aServers,
                                                   const KeyLoad& aLoad);

  // Rebalances the load in one BalanceRound. Ranges with a fence above aMaxMovableFence moved
  // recently and stay. No value when the load is balanced or no move is possible.
  std::optional<KeyOwnership> Rebalance(const KeyOwnership& aOwnership,
                                        const KeyServers& aServers,
                                        const KeyLoad& aLoad,
                                        FenceNumber aMaxMovableFence) const;

private:
  KeyBalancerSettings settings_;
};

} // namespace latchslip
