// The part of FleetMember that knows how fresh the configuration is. An API key that was
// taken away must not be honoured after a bound, by nobody: so keys are honoured for a time
// after each proof that the configuration here is the latest, and no longer. Whoever reads
// the store for others asks it; all others hear it with the answers to what they ask anyway.

#include "LibFleet/FleetMember.h"
#include "LibStore/StoreEpoch.h"

#include <algorithm>

namespace latchslip {

namespace {

// Between two questions to the store. Two that are lost and the way to the others by their
// reports still fit into a bound of some seconds.
constexpr Duration kProofInterval = milliseconds(500);
// The part of the bound for which a proof holds; clocks may run slow by a hundredth or two.
constexpr double kProofPart = 0.95;
// A proof that holds for less than this part of the bound is looked for at once.
constexpr double kLowPart = 0.4;
// Between two reports that only look for one.
constexpr Duration kProofReportInterval = milliseconds(200);

} // namespace

bool
FleetMember::NeedsProofs() const
{
  return settings_.apiKeyBound_ && view_.Routes() && view_.Routes()->HasGroups();
}

bool
FleetMember::IsServing(Instant aNow) const
{
  return IsReady() && (!NeedsProofs() || aNow < apiKeysUntil_);
}

bool
FleetMember::AsksForProofs() const
{
  const bool isFollowing = following_ == Following::Alone || following_ == Following::Closely;
  return isFollowing && !isStoreLost_;
}

void
FleetMember::FollowProofs(Instant aNow)
{
  if (view_.Epoch() != proofEpoch_) {
    proofEpoch_ = view_.Epoch();
    proofsFrom_ = aNow + kReregistrationTime;
  }
  if (!NeedsProofs()) {
    return;
  }
  if (AsksForProofs() && !isProofAskedFor_ && aNow >= nextProof_) {
    isProofAskedFor_ = true;
    nextProof_ = aNow + kProofInterval;
    actions_.ReadConfigurationVersion();
  }
  NoteProof(aNow);
  const auto lowFrom = aNow + Scale(*settings_.apiKeyBound_, kLowPart);
  const bool isLow = apiKeysUntil_ < lowFrom;
  if (isLow && reportedAt_ != Instant::min()) {
    nextReport_ = std::min(nextReport_, reportedAt_ + kProofReportInterval);
  }
}

void
FleetMember::OnConfigurationRead(Instant aNow, Instant aAskedAt, std::optional<RowVersion> aVersion)
{
  isProofAskedFor_ = false;
  const bool isOfThisEpoch = aVersion && EpochOf(*aVersion) == view_.Epoch();
  if (!isOfThisEpoch || view_.Epoch() != proofEpoch_ || aAskedAt < proofsFrom_) {
    return;
  }
  AddProof(aNow, aAskedAt, *aVersion);
}

void
FleetMember::TakeProof(Instant aNow,
                       const std::optional<ConfigurationProof>& aProof,
                       Duration aRoundTrip)
{
  if (aProof) {
    AddProof(aNow, aNow - aRoundTrip - aProof->age_, aProof->version_);
  }
}

void
FleetMember::AddProof(Instant aNow, Instant aAsOf, RowVersion aVersion)
{
  configuration_.OnKnown(view_.ConfigurationVersion());
  configuration_.OnProof(aAsOf, aVersion);
  NoteProof(aNow);
}

void
FleetMember::NoteProof(Instant aNow)
{
  if (!NeedsProofs()) {
    return;
  }
  configuration_.OnKnown(view_.ConfigurationVersion());
  const auto provenAt = configuration_.ProvenAt();
  const auto until =
    provenAt == Instant::min() ? provenAt : provenAt + Scale(*settings_.apiKeyBound_, kProofPart);
  if (until != apiKeysUntil_) {
    apiKeysUntil_ = until;
    actions_.OnApiKeysProven(until);
  }
  if (const bool areProven = aNow < until; areProven != areApiKeysProven_) {
    areApiKeysProven_ = areProven;
    events_.Record(
      areProven ? Event::ApiKeysProven : Event::ApiKeysUnproven,
      "proof_age_us=" +
        (provenAt == Instant::min() ? "-" : std::to_string((aNow - provenAt).count())) +
        " row_version=" + DescribeVersion(configuration_.Known()) +
        " following=" + std::string(kFollowingNames.NameOf(following_)));
  }
}

} // namespace latchslip
