#pragma once

#include "LibKeys/KeyLoad.h"
#include "LibKeys/KeyOwnership.h"
#include "LibKeys/KeyServer.h"

#include <optional>
#include <string>
#include <vector>

namespace latchslip {

// How readily keys move.
struct KeyBalancerSettings
{
  // The busiest server may have this multiple of the mean.
  double tolerance_ = 1.25;
  // Ranges that one round may move for load, however few servers there are.
  std::size_t leastMoves_ = 8;
};

// Decides which servers own which keys.
class KeyBalancer
{
public:
  explicit KeyBalancer(KeyBalancerSettings aSettings);

  // Gives every key an owner, when none has one yet; fences above aLastFence.
  static KeyOwnership DealAll(const std::string& aService,
                              FenceNumber aLastFence,
                              const std::vector<KeyServer>& aServers);

  // Gives the keys of servers that are not usable to usable ones. No value when
  // there is nothing to change, or nobody to give them to.
  static std::optional<KeyOwnership> Replace(const KeyOwnership& aOwnership,
                                             const std::vector<KeyServer>& aServers,
                                             const KeyLoad& aLoad);

  // Evens out the load. Ranges with fences above aRestedFence have moved lately and
  // stay. No value when the load is even enough.
  std::optional<KeyOwnership> EvenOut(const KeyOwnership& aOwnership,
                                      const std::vector<KeyServer>& aServers,
                                      const KeyLoad& aLoad,
                                      FenceNumber aRestedFence) const;

private:
  KeyBalancerSettings settings_;
};

} // namespace latchslip
