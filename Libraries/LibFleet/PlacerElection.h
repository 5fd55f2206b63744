#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibStore/Row.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace latchslip {

// The row in the store that names the placer of the fleet.
struct PlacerRow
{
  std::string instance_;
  // Differs between two runs of the same instance.
  std::string run_;
  // Peer address, IP address and port.
  std::string address_;

  bool operator==(const PlacerRow&) const = default;
};

std::string
SerializePlacerRow(const PlacerRow& aRow);
FieldResult<PlacerRow>
ParsePlacerRow(std::string_view aText);

// How much less duty capacity an instance has than the one with the most, from 0 for one that has
// as much to 1 for one that has hardly any.
double
CapacityDeficit(double aCapacity, double aHighestCapacity);

// Leader election: decides when this instance claims the placer role. The placer is the instance
// named by the row in the store. Every write of a placer is conditional on the version of that row,
// so that of two instances that both act as placer only one can write. It does no I/O.
class PlacerElection
{
public:
  // aJitter, 0 to 1, is this instance's jitter, so that instances do not all claim at the same
  // moment. aCapacityDeficit, 0 to 1 as from CapacityDeficit, delays claims of instances with
  // little capacity, so that larger ones claim first.
  PlacerElection(PlacerRow aSelf, double aJitter, double aCapacityDeficit);

  // Updates the delay once the highest duty capacity of the fleet is known.
  void SetCapacityDeficit(double aCapacityDeficit);

  // Sets the current row; no value if there is none.
  void OnRow(Instant aNow, std::optional<PlacerRow> aRow);
  // The placer answered a report and does not need to be replaced; its silence is measured from
  // here.
  void OnPlacerResponsive(Instant aNow);
  // The write of a claim failed.
  void OnClaimFailed(Instant aNow);

  bool IsPlacer() const { return row_ == self_; }
  // Whether to write a claim now: the row is known, and names no placer, an earlier run of this
  // instance, or a placer that is silent.
  bool ShouldClaim(Instant aNow) const;
  // Whether another instance is the placer and has not answered within the silence limit.
  bool IsPlacerSilent(Instant aNow) const;
  const std::optional<PlacerRow>& Current() const { return row_; }
  const PlacerRow& Self() const { return self_; }

private:
  PlacerRow self_;
  double jitter_;
  // Delay of this instance's claims beyond the silence limit.
  Duration claimDelay_{ 0 };
  std::optional<PlacerRow> row_;
  bool isRowKnown_ = false;
  // When the row last changed.
  Instant rowSince_{ 0 };
  Instant placerContactAt_{ 0 };
  Instant noClaimBefore_ = Instant::min();
};

} // namespace latchslip
