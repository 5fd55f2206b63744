#pragma once

#include "LibBase/KeyHash.h"
#include "LibPlacement/Placement.h"
#include "LibStore/Row.h"

#include <cstdint>
#include <string>
#include <vector>

namespace latchslip {

// What the holder of a server tells the placer of its service.

struct SliceLoad
{
  KeyHash start_ = 0;
  // Slots kept busy by the slice, as a mean over the report's span.
  double load_ = 0;

  bool operator==(const SliceLoad&) const = default;
};

struct ServerReport
{
  std::string service_;
  std::string server_;
  // The instance that reports.
  std::string holder_;
  Fence fence_ = 0;
  // Rises with each report of this holder about this server.
  std::uint64_t sequence_ = 0;
  // Every range that this placement version took away is released.
  RowVersion releasedVersion_ = 0;
  // The server answers this holder.
  bool isReachable_ = false;
  // This holder's grants have certainly run out and stay withheld until the
  // placer answers.
  bool isWithheld_ = false;
  // The server never accepted an order under this holder's fence, so grants of
  // former holders may still be valid.
  bool isUnconfirmed_ = false;
  // The reporter holds the server no more and has nothing in flight there.
  bool hasStopped_ = false;
  // Load is only valid when set; reports of events carry none.
  bool hasLoad_ = false;
  double load_ = 0;
  std::vector<SliceLoad> slices_;
  // The busiest single key, to be given a slice of its own.
  KeyHash hottestKey_ = 0;
  double hottestLoad_ = 0;
};

// The placer's word to a holder whose grants are withheld: nothing was or will
// be decided on that report, so the server keeps its slices.
struct ResumeOrder
{
  std::string service_;
  std::string server_;
  Fence fence_ = 0;
  std::uint64_t sequence_ = 0;
};

} // namespace latchslip
