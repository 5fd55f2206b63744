// Freshness of the configuration in FleetMember. A revoked API key must be rejected by every
// instance within a bound. Therefore API keys are accepted only for a limited time after each proof
// that the local configuration is the latest, as with a lease. Instances that poll the store on
// behalf of others read proofs from it; all others get them with the responses to their reports and
// fetches.

#include "LibFleet/FleetMember.h"
#include "LibStore/StoreEpoch.h"

#include <algorithm>

namespace latchslip {

namespace {

// Interval between reads of a proof. Two lost reads and the way to the others by their reports
// still fit into a bound of some seconds.
constexpr Duration kProofInterval = milliseconds(500);
// Share of the bound for which a proof is valid; clocks may run slow by a hundredth or two.
constexpr double kProofValidityShare = 0.95;
// A proof whose remaining validity is less than this share of the bound is renewed at once.
constexpr double kRenewalShare = 0.4;
// Interval between reports that are sent only to get a proof.
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
FleetMember::ReadsProofs() const
{
  const bool isPolling =
    pollMode_ == StorePollMode::LongWaits || pollMode_ == StorePollMode::ShortWaits;
  return isPolling && !isStoreLost_;
}

void
FleetMember::RenewProof(Instant aNow)
{
  if (view_.Epoch() != proofEpoch_) {
    proofEpoch_ = view_.Epoch();
    proofsValidFrom_ = aNow + kReregistrationTime;
  }
  if (!NeedsProofs()) {
    return;
  }
  if (ReadsProofs() && !isProofReadPending_ && aNow >= nextProofReadAt_) {
    isProofReadPending_ = true;
    nextProofReadAt_ = aNow + kProofInterval;
    actions_.ReadConfigurationVersion();
  }
  PublishProof(aNow);
  const auto renewBefore = aNow + Scale(*settings_.apiKeyBound_, kRenewalShare);
  const bool isExpiring = apiKeysUntil_ < renewBefore;
  if (isExpiring && reportedAt_ != Instant::min()) {
    nextReport_ = std::min(nextReport_, reportedAt_ + kProofReportInterval);
  }
}

void
FleetMember::OnConfigurationRead(Instant aNow,
                                 Instant aRequestedAt,
                                 std::optional<RowVersion> aVersion)
{
  isProofReadPending_ = false;
  const bool isOfThisEpoch = aVersion && EpochOf(*aVersion) == view_.Epoch();
  if (!isOfThisEpoch || view_.Epoch() != proofEpoch_ || aRequestedAt < proofsValidFrom_) {
    return;
  }
  AddProof(aNow, aRequestedAt, *aVersion);
}

void
FleetMember::OnProofReceived(Instant aNow,
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
  freshness_.OnKnown(view_.ConfigurationVersion());
  freshness_.OnProof(aAsOf, aVersion);
  PublishProof(aNow);
}

void
FleetMember::PublishProof(Instant aNow)
{
  if (!NeedsProofs()) {
    return;
  }
  freshness_.OnKnown(view_.ConfigurationVersion());
  const auto provenAt = freshness_.ProvenAt();
  const auto until = provenAt == Instant::min()
                       ? provenAt
                       : provenAt + Scale(*settings_.apiKeyBound_, kProofValidityShare);
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
        " row_version=" + DescribeVersion(freshness_.KnownVersion()) +
        " following=" + std::string(kStorePollModeNames.NameOf(pollMode_)));
  }
}

} // namespace latchslip
