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

  // Takes a report in. One report is a small sample, and moves made on its noise
  // would be churn, so that older reports keep a weight.
  void Blend(const ServerReport& aReport);
};
using LoadTable = std::map<std::string, ServerLoad>;

// The load of a slice goes with it, before the next reports show that.
void
MoveLoad(LoadTable& aLoads, KeyHash aStart, const std::string& aFrom, const std::string& aTo);

// How eagerly load is evened out. Below leastLoad_ busy slots on the busiest
// server nothing waits anywhere, so that a move would be churn for nothing. A move pays when it
// takes at least leastGain_ of the mean load off the busiest server; nothing moves while the
// busiest is within tolerance_ of the mean.
struct RebalancePolicy
{
  double tolerance_ = 0;
  double leastGain_ = 0;
  std::size_t mostMoves_ = 0;
  double leastLoad_ = 0;

  static RebalancePolicy Of(PlacementProfile aProfile, unsigned aSlots);
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
