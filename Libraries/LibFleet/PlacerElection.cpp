#include "LibFleet/PlacerElection.h"

#include "LibConfig/JsonReader.h"

#include <algorithm>

namespace latchslip {

namespace {

// A placer that has not answered for this long counts as failed. Two reports are sent in this time;
// grants are valid several times as long.
constexpr Duration kSilenceLimit = milliseconds(1800);
// Maximum jitter between claims of instances with equal processor shares.
constexpr Duration kMaxJitter = milliseconds(160);
// Additional delay of the weakest instance. It is a report interval, since one instance may have
// missed the placer's last answer by that much earlier than another.
constexpr Duration kMaxCapacityDelay = milliseconds(900);
// Delay after a failed claim, in which the row is read again.
constexpr Duration kClaimRetryDelay = milliseconds(500);

} // namespace

std::string
SerializePlacerRow(const PlacerRow& aRow)
{
  return boost::json::serialize(boost::json::object{
    { "instance", aRow.instance_ }, { "run", aRow.run_ }, { "address", aRow.address_ } });
}

FieldResult<PlacerRow>
ParsePlacerRow(std::string_view aText)
{
  BOOST_OUTCOME_TRY(const auto value, ParseJson(aText, "placer"));
  BOOST_OUTCOME_TRY(const auto reader, JsonReader::Create(value, ""));
  PlacerRow row;
  BOOST_OUTCOME_TRY(row.instance_, reader.Text("instance"));
  BOOST_OUTCOME_TRY(row.run_, reader.Text("run"));
  BOOST_OUTCOME_TRY(row.address_, reader.Text("address"));
  return row;
}

double
CapacityDeficit(double aCapacity, double aHighestCapacity)
{
  return 1 - std::min(1.0, aCapacity / aHighestCapacity);
}

PlacerElection::PlacerElection(PlacerRow aSelf, double aJitter, double aCapacityDeficit)
  : self_(std::move(aSelf))
  , jitter_(aJitter)
{
  SetCapacityDeficit(aCapacityDeficit);
}

void
PlacerElection::SetCapacityDeficit(double aCapacityDeficit)
{
  claimDelay_ = Duration(
    static_cast<Duration::rep>(static_cast<double>(kMaxJitter.count()) * jitter_ +
                               static_cast<double>(kMaxCapacityDelay.count()) * aCapacityDeficit));
}

void
PlacerElection::OnRow(Instant aNow, std::optional<PlacerRow> aRow)
{
  if (isRowKnown_ && aRow == row_) {
    return;
  }
  isRowKnown_ = true;
  row_ = std::move(aRow);
  rowSince_ = aNow;
}

void
PlacerElection::OnPlacerResponsive(Instant aNow)
{
  placerContactAt_ = aNow;
}

void
PlacerElection::OnClaimFailed(Instant aNow)
{
  noClaimBefore_ = aNow + kClaimRetryDelay + claimDelay_;
}

bool
PlacerElection::IsPlacerSilent(Instant aNow) const
{
  return row_ && !IsPlacer() &&
         aNow - std::max(placerContactAt_, rowSince_) >= kSilenceLimit + claimDelay_;
}

bool
PlacerElection::ShouldClaim(Instant aNow) const
{
  if (!isRowKnown_ || IsPlacer() || aNow < noClaimBefore_) {
    return false;
  }
  if (!row_) {
    return aNow - rowSince_ >= claimDelay_;
  }
  // If the row names an earlier run of this instance, that run has certainly ended.
  return row_->instance_ == self_.instance_ || IsPlacerSilent(aNow);
}

} // namespace latchslip
