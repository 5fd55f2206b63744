#pragma once

#include "LibBase/KeyHash.h"
#include "LibPlacement/Placement.h"
#include "LibStore/Row.h"

#include <cstdint>
#include <string>
#include <vector>

namespace latchslip {

// Reports from the holder of a server to the placer of its service.

struct SliceLoad
{
  KeyHash start_ = 0;
  // Mean number of busy slots over the time span of the report.
  double load_ = 0;

  bool operator==(const SliceLoad&) const = default;
};

struct ServerReport
{
  std::string service_;
  std::string server_;
  // The reporting instance.
  std::string holder_;
  Fence fence_ = 0;
  // Increases with each report of this holder about this server.
  std::uint64_t sequence_ = 0;
  // Every range that this placement version took away has been released.
  RowVersion releasedVersion_ = 0;
  // The server answers this holder.
  bool isReachable_ = false;
  // This holder's grants have certainly expired and are withheld until the placer answers.
  bool isWithheld_ = false;
  // The server has not accepted a command under this holder's fence, so grants of former
  // holders may still be valid.
  bool isUnconfirmed_ = false;
  // The reporter does not hold the server any more and has no work in flight there.
  bool hasStopped_ = false;
  // Whether the load fields are set; a report of a state change carries no load.
  bool hasLoad_ = false;
  double load_ = 0;
  std::vector<SliceLoad> slices_;
  // The hottest key of the server, a candidate for a slice of its own.
  KeyHash hottestKey_ = 0;
  double hottestLoad_ = 0;
};

// The placer's answer to a holder whose grants are withheld: no decision was or will be made
// on that report, so the server keeps its slices.
struct ResumeCommand
{
  std::string service_;
  std::string server_;
  Fence fence_ = 0;
  std::uint64_t sequence_ = 0;
};

} // namespace latchslip
