#pragma once

#include "LibBase/Result.h"
#include "LibBase/Time.h"
#include "LibStore/Row.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace latchslip {

// The row that names the placer of the fleet.
struct PlacerRow
{
  std::string instance_;
  // Differs between two runs of one instance.
  std::string run_;
  // Where the other instances reach it, IP number and port.
  std::string address_;

  bool operator==(const PlacerRow&) const = default;
};

std::string
SerializePlacerRow(const PlacerRow& aRow);
FieldResult<PlacerRow>
ParsePlacerRow(std::string_view aText);

// How weak an instance is beside the strongest, by their parts of a processor: 0 for
// one that has as much, up to 1 for one that has hardly any.
double
WeaknessBeside(double aShare, double aStrongestShare);

// Decides when this instance should make itself the placer. The placer is
// whoever the row names; every write of a placer is conditional on that row, so
// that two that believe it cannot both write. It does no I/O.
class PlacerElection
{
public:
  // aChance, 0 to 1, differs between instances, so that they do not all claim at
  // the same moment. aWeakness is 0 for an instance that has as much processor as
  // any, up to 1 for one that has hardly any: the strong claim first.
  PlacerElection(PlacerRow aSelf, double aChance, double aWeakness);

  // The same, once more is known of the others.
  void SetWeakness(double aWeakness);

  // The row as it stands; nothing when there is none.
  void OnRow(Instant aNow, std::optional<PlacerRow> aRow);
  // The placer answered a report and can do its work.
  void OnPlacerHeard(Instant aNow);
  // A claim ended without success.
  void OnClaimFailed(Instant aNow);

  bool IsPlacer() const { return row_ == self_; }
  bool ShouldClaim(Instant aNow) const;
  // The placer is another instance and has not been heard for a while.
  bool IsPlacerSilent(Instant aNow) const;
  const std::optional<PlacerRow>& Current() const { return row_; }
  const PlacerRow& Self() const { return self_; }

private:
  PlacerRow self_;
  double chance_;
  // How much longer than the strongest instance could this one waits to claim.
  Duration spread_{ 0 };
  std::optional<PlacerRow> row_;
  bool isRowKnown_ = false;
  // Since when the row stands as it does.
  Instant rowSince_{ 0 };
  Instant heardAt_{ 0 };
  Instant notBefore_ = Instant::min();
};

} // namespace latchslip
