#pragma once

#include "LibConfig/Declaration.h"
#include "LibPlacement/Placement.h"
#include "LibPlacement/ServerReport.h"

#include <map>
#include <string>
#include <vector>

namespace latchslip {

// Load as the holders last reported it, by server name.
struct ServerLoad
{
  double load_ = 0;
  std::map<KeyHash, double> slices_;
  KeyHash hottestKey_ = 0;
  double hottestLoad_ = 0;
};
using LoadTable = std::map<std::string, ServerLoad>;

// How eagerly load is evened out. A move pays when it takes at least
// leastGain_ of the mean load off the busiest server; nothing moves while the
// busiest is within tolerance_ of the mean.
struct RebalancePolicy
{
  double tolerance_ = 0;
  double leastGain_ = 0;
  std::size_t mostMoves_ = 0;

  static RebalancePolicy Of(PlacementProfile aProfile);
};

struct SliceMove
{
  // Set when the slice must first be cut out of a larger one.
  KeyHash start_ = 0;
  bool isSingleKey_ = false;
  bool isHalf_ = false;
  ServerIndex from_ = kNoServer;
  ServerIndex to_ = kNoServer;
  double load_ = 0;
};

// Chooses moves that even out the load among the active servers, greedily and
// with as few moves as possible. Pure: equal inputs give equal moves.
std::vector<SliceMove>
ChooseMoves(const Placement& aPlacement, const LoadTable& aLoads, const RebalancePolicy& aPolicy);

// Largest load over mean load among the active servers; 1 when there is none.
double
ImbalanceOf(const Placement& aPlacement, const LoadTable& aLoads);

} // namespace latchslip
