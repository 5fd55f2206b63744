#pragma once

#include "LibConfig/Declaration.h"
#include "LibPlacement/Placement.h"
#include "LibPlacement/ServerReport.h"

#include <map>
#include <string>
#include <vector>

namespace latchslip {

// Load of a server in busy slots, smoothed over the reports of its holders.
struct ServerLoad
{
  double load_ = 0;
  std::map<KeyHash, double> slices_;
  KeyHash hottestKey_ = 0;
  double hottestLoad_ = 0;

  // Adds a report to an exponential moving average. A single report is a small sample, and
  // moves made on its noise would be churn.
  void AddReport(const ServerReport& aReport);
};
using LoadTable = std::map<std::string, ServerLoad>;

// Moves the load of a slice from one server to another in the table, since reports will show
// the move only later.
void
MoveLoad(LoadTable& aLoads, KeyHash aStart, const std::string& aFrom, const std::string& aTo);

// Hysteresis and limits of load balancing.
//
// Nothing moves while the busiest server has fewer than minLoad_ busy slots, since no
// requests wait then, or while its load is within tolerance_ of the mean. A move must take at
// least minGain_ of the mean load off the busiest server. At most maxMoves_ moves are made
// at once.
struct RebalancePolicy
{
  double tolerance_ = 0;
  double minGain_ = 0;
  std::size_t maxMoves_ = 0;
  double minLoad_ = 0;

  static RebalancePolicy Of(PlacementProfile aProfile, unsigned aSlots);
};

struct SliceMove
{
  // Set if the single key, or the half, must first be split off a larger slice.
  KeyHash start_ = 0;
  bool isSingleKey_ = false;
  bool isHalf_ = false;
  ServerIndex from_ = kNoServer;
  ServerIndex to_ = kNoServer;
  double load_ = 0;
};

// Chooses moves that even out the load of the active servers, greedily and with as few moves
// as possible. Deterministic.
std::vector<SliceMove>
ChooseMoves(const Placement& aPlacement, const LoadTable& aLoads, const RebalancePolicy& aPolicy);

// Returns the largest load divided by the mean load of the active servers; 1 if there is no
// load.
double
ImbalanceOf(const Placement& aPlacement, const LoadTable& aLoads);

} // namespace latchslip
